package dispatch

import (
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Parameters of the interference model.
//
// Tail latencies are modelled as those of a queue: t = s / (1 - load), where tasks on the same worker add to the
// load in proportion to their CPU use. For each latency-critical image a Kalman filter splits the load that a
// reading implies into the load by the task's own users and the load that each best-effort image adds.
const (
	typicalLoad                  = 0.42  // prior load of a latency-critical task by its own users
	typicalPeakLoad              = 0.65  // prior peak load by its own users
	maxLoad                      = 0.97  // readings above this load do not tell how much the queue is overloaded
	readingVariance              = 0.002 // variance of a load reading; tail latencies are coarse
	priorLoadVariance            = 0.04  // prior variance of the load by users
	knownLoadVariance            = 0.002 // variance up to which the load by users counts as known
	loadVariancePerSecond        = 0.01  // variance added per second, since users come and go
	peakDecayPerSecond           = 0.03  // by which the peak load falls per second
	coefficientPrior             = 0.7   // prior coefficient: load added by an image that uses a whole worker
	coefficientPriorVariance     = 1.5   // prior variance of a coefficient
	coefficientVariancePerSecond = 0.002 // variance added per second, in case coefficients change
	mildCoefficient              = 0.5   // upper bound for an image that hardly interferes
	// Lower bound of estimates: values below zero are noise and must be able to rise again soon.
	minCoefficient = -0.2
	// Standard deviations at which a reading is clipped, since faulty workers report arbitrary values.
	outlierSigmas = 3.0
	// Averaging window of the baseline; longer than the usual swings of user load.
	baselineWindow    = 20 * time.Second
	maxBaselineWeight = 0.05 // maximum weight of one reading in the baseline
	typicalBaseline   = 0.4  // prior baseline, as a share of the latency target
	negligibleShare   = 0.01 // share of a worker; best-effort use below it counts as none
	maxImages         = 64   // best-effort images that the model distinguishes
)

// load is the estimated load that users put on the tasks of one latency-critical step. These tasks share their
// users, so their load rises and falls together, which separates it from interference by other tasks on the
// worker.
type load struct {
	mean, variance float64
	peak           float64 // decaying maximum of the mean
	at             time.Time
}

func (l *load) predict(now time.Time) {
	if l.at.IsZero() {
		l.mean, l.variance, l.peak, l.at = typicalLoad, priorLoadVariance, typicalPeakLoad, now
		return
	}
	dt := now.Sub(l.at).Seconds()
	l.variance = min(priorLoadVariance, l.variance+loadVariancePerSecond*dt)
	l.peak = max(l.mean, l.peak-peakDecayPerSecond*dt)
	l.at = now
}

// sensitivity holds the estimated interference coefficients of the tasks of one latency-critical image.
type sensitivity struct {
	baseline   float64 // tail latency without best-effort tasks on the worker, as a share of the target
	baselineAt time.Time
	index      map[string]int
	mean       []float64 // coefficients: load added by an image that uses a whole worker
	variance   [][]float64
	at         time.Time
}

// interferenceModel estimates, by image, how much load best-effort tasks add to latency-critical tasks on the same
// worker.
type interferenceModel struct {
	sensitivities    map[string]*sensitivity
	bestEffortImages map[string]bool // images that were seen on a worker with latency-critical tasks
}

func newInterferenceModel() *interferenceModel {
	return &interferenceModel{sensitivities: map[string]*sensitivity{}, bestEffortImages: map[string]bool{}}
}

func (i *interferenceModel) sensitivityOf(critical string) *sensitivity {
	s := i.sensitivities[critical]
	if s == nil {
		s = &sensitivity{index: map[string]int{}, baseline: typicalBaseline}
		i.sensitivities[critical] = s
	}
	return s
}

// coefficient returns the load that image bestEffort adds to tasks of image critical when it uses a whole worker.
func (i *interferenceModel) coefficient(bestEffort, critical string) float64 {
	s := i.sensitivityOf(critical)
	if n, ok := s.index[bestEffort]; ok {
		return max(0, s.mean[n])
	}
	return coefficientPrior
}

// addedLoad returns the load that the given shares of a worker, by image, add to tasks of image critical.
func (i *interferenceModel) addedLoad(shares map[string]float64, critical string) float64 {
	sum := 0.0
	for bestEffort, x := range shares {
		sum += i.coefficient(bestEffort, critical) * x
	}
	return sum
}

// tolerance returns the share of the known best-effort images that hardly interfere with any of the given
// latency-critical images.
func (i *interferenceModel) tolerance(criticalImages map[string]int) float64 {
	tolerated := 0
	for bestEffort := range i.bestEffortImages {
		if i.allTolerate(criticalImages, bestEffort) {
			tolerated++
		}
	}
	if len(i.bestEffortImages) == 0 {
		return 1
	}
	return float64(tolerated) / float64(len(i.bestEffortImages))
}

// tolerates reports whether tasks of a best-effort image hardly interfere with those of a latency-critical one.
func (i *interferenceModel) tolerates(critical, bestEffort string) bool {
	return i.coefficient(bestEffort, critical) < mildCoefficient
}

// allTolerate reports whether all of the given latency-critical images tolerate a best-effort image.
func (i *interferenceModel) allTolerate(criticalImages map[string]int, bestEffort string) bool {
	for critical := range criticalImages {
		if !i.tolerates(critical, bestEffort) {
			return false
		}
	}
	return true
}

// addImage adds a best-effort image to the model if s does not have it yet.
func (i *interferenceModel) addImage(s *sensitivity, bestEffort string) {
	if s.addImage(bestEffort) {
		i.bestEffortImages[bestEffort] = true
	}
}

// update feeds the model with the tail latency of a task of image critical, as a share of its target, measured
// while the given shares of the worker were in use by best-effort images; l is the load by the task's users.
func (i *interferenceModel) update(l *load, shares map[string]float64, critical string, tail float64, now time.Time) {
	s := i.sensitivityOf(critical)
	sum := 0.0
	for _, x := range shares {
		sum += x
	}
	if sum < negligibleShare {
		s.updateBaseline(tail, now)
	}
	for bestEffort := range shares {
		i.addImage(s, bestEffort)
	}
	s.filterStep(l, shares, s.loadAt(tail), now)
}

func (s *sensitivity) updateBaseline(tail float64, now time.Time) {
	if !s.baselineAt.IsZero() {
		weight := min(maxBaselineWeight, now.Sub(s.baselineAt).Seconds()/baselineWindow.Seconds())
		s.baseline += weight * (min(tail, 1) - s.baseline)
	}
	s.baselineAt = now
}

// loadAt returns the load at which the tail latency has the given value, as a share of the target.
func (s *sensitivity) loadAt(tail float64) float64 {
	return min(maxLoad, max(0, 1-(1-typicalLoad)*s.baseline/max(tail, 1e-3)))
}

// filterStep is one update step of the Kalman filter.
func (s *sensitivity) filterStep(l *load, shares map[string]float64, reading float64, now time.Time) {
	s.predict(now)
	l.predict(now)
	n := len(s.mean)
	gain := make([]float64, n)
	expected := l.mean
	scale := readingVariance + l.variance
	for bestEffort, x := range shares {
		k, ok := s.index[bestEffort]
		if !ok {
			continue
		}
		expected += s.mean[k] * x
		for a := range n {
			gain[a] += s.variance[a][k] * x
		}
	}
	if reading >= maxLoad && expected >= reading {
		return // a saturated queue does not tell by how much it is overloaded
	}
	for bestEffort, x := range shares {
		if k, ok := s.index[bestEffort]; ok {
			scale += x * gain[k]
		}
	}
	most := outlierSigmas * math.Sqrt(scale)
	miss := min(most, max(-most, reading-expected))
	for a := range n {
		if gain[a] == 0 {
			continue
		}
		s.mean[a] = max(minCoefficient, s.mean[a]+gain[a]/scale*miss)
		for b := range n {
			s.variance[a][b] -= gain[a] * gain[b] / scale
		}
	}
	l.mean = max(0, l.mean+l.variance/scale*miss)
	l.variance -= l.variance * l.variance / scale
	l.peak = max(l.peak, l.mean)
}

// addImage adds a best-effort image with the prior coefficient; it returns false if the image is known or the
// model is full.
func (s *sensitivity) addImage(bestEffort string) bool {
	if _, known := s.index[bestEffort]; known || len(s.mean) >= maxImages {
		return false
	}
	s.index[bestEffort] = len(s.mean)
	s.mean = append(s.mean, coefficientPrior)
	for a := range s.variance {
		s.variance[a] = append(s.variance[a], 0)
	}
	s.variance = append(s.variance, make([]float64, len(s.mean)))
	s.variance[len(s.mean)-1][len(s.mean)-1] = coefficientPriorVariance
	return true
}

func (s *sensitivity) predict(now time.Time) {
	if s.at.IsZero() {
		s.at = now
	}
	by := coefficientVariancePerSecond * now.Sub(s.at).Seconds()
	s.at = now
	for a := range s.variance {
		s.variance[a][a] = min(coefficientPriorVariance, s.variance[a][a]+by)
	}
}

// imageEstimates is the handover record of the estimates for one latency-critical image.
type imageEstimates struct {
	Baseline     float64            `cbor:"1,keyasint"`
	Coefficients map[string]float64 `cbor:"2,keyasint"`
	Variance     map[string]float64 `cbor:"3,keyasint"`
}

// encode returns the estimates for the next leader; covariances are left out and estimated anew.
func (i *interferenceModel) encode() ([]byte, error) {
	all := make(map[string]imageEstimates, len(i.sensitivities))
	for critical, s := range i.sensitivities {
		l := imageEstimates{Baseline: s.baseline, Coefficients: map[string]float64{}, Variance: map[string]float64{}}
		for bestEffort, n := range s.index {
			l.Coefficients[bestEffort], l.Variance[bestEffort] = s.mean[n], s.variance[n][n]
		}
		all[critical] = l
	}
	return cbor.Marshal(all)
}

// restore loads the estimates of an earlier leader.
func (i *interferenceModel) restore(data []byte) error {
	var all map[string]imageEstimates
	if err := cbor.Unmarshal(data, &all); err != nil {
		return err
	}
	for critical, l := range all {
		s := i.sensitivityOf(critical)
		s.baseline = l.Baseline
		for bestEffort, f := range l.Coefficients {
			i.addImage(s, bestEffort)
			if n, ok := s.index[bestEffort]; ok {
				s.mean[n], s.variance[n][n] = f, l.Variance[bestEffort]
			}
		}
	}
	return nil
}
