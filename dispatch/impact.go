package dispatch

import (
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// The learning of how much images disturb each other.
//
// Tails follow those of a queue: t = s / (1 - load), where work beside a task adds to its load in proportion. A Kalman filter for each image that serves splits the load that a reading shows into the load of the task's own users and what each image beside it adds.
const (
	typicalLoad   = 0.42             // assumed load of a task that serves by its own users
	typicalPeakLoad   = 0.65             // assumed highest load by its own users, until a task was seen for a while
	maxLoad    = 0.97             // readings say no more about a queue that is full
	readingVariance   = 0.002            // variance of a reading; tails are rough figures
	priorLoadVariance  = 0.04             // variance of the load of tasks that were not seen yet
	knownLoadVariance   = 0.002            // variance up to which a load counts as known
	loadVariancePerSecond   = 0.01             // variance that a second adds, since users come and go
	peakDecayPerSecond    = 0.01             // by which the highest load falls in a second
	coefficientPrior = 0.7              // load that a whole worker of an image adds that was never seen beside another
	coefficientPriorVariance   = 1.5              // variance of the prior
	coefficientVariancePerSecond = 0.002            // variance that a second adds, in case factors change
	mildCoefficient  = 0.5              // up to which an image hardly disturbs
	minCoefficient = -0.2             // estimates below zero are noise, and must not take long to rise again
	outlierSigmas     = 3.0              // standard deviations at which a reading is cut, since sick workers report anything
	baselineWindow = 20 * time.Second // of the usual tail; longer than the waves of users
	maxBaselineWeight   = 0.05             // largest weight of one reading of a tail without work beside it
	typicalBaseline  = 0.4              // tail, as a share of the target, that is assumed before a task was seen alone
	negligibleShare  = 0.01             // share of a worker; less work counts as none
	maxImages   = 64               // of tasks that fill which are told apart
)

// load is what is known of the load that users put on the tasks of one step that serves. These tasks share their users, so their load rises and falls together, which tells it from the impact of neighbors.
type load struct {
	mean, variance float64
	peak           float64 // highest recent mean
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

// sensitivity is what is known of the tasks of one image that serves.
type sensitivity struct {
	baseline    float64 // usual tail without work beside it, as a share of the target
	baselineAt  time.Time
	index    map[string]int
	mean     []float64 // load that a whole worker of an image adds
	variance [][]float64
	at       time.Time
}

// interferenceModel estimates how much tasks that fill add to the load of tasks that serve, by image.
type interferenceModel struct {
	sensitivities map[string]*sensitivity
	bestEffortImages   map[string]bool // images that were ever seen beside tasks that serve
}

func newInterferenceModel() *interferenceModel {
	return &interferenceModel{sensitivities: map[string]*sensitivity{}, bestEffortImages: map[string]bool{}}
}

func (i *interferenceModel) sensitivityOf(serve string) *sensitivity {
	s := i.sensitivities[serve]
	if s == nil {
		s = &sensitivity{index: map[string]int{}, baseline: typicalBaseline}
		i.sensitivities[serve] = s
	}
	return s
}

// coefficient returns the load that a whole worker of fill adds.
func (i *interferenceModel) coefficient(fill, serve string) float64 {
	s := i.sensitivityOf(serve)
	if n, ok := s.index[fill]; ok {
		return max(0, s.mean[n])
	}
	return coefficientPrior
}

// addedLoad returns the load that the given shares of a worker, by image, add to tasks of image serve.
func (i *interferenceModel) addedLoad(shares map[string]float64, serve string) float64 {
	sum := 0.0
	for fill, x := range shares {
		sum += i.coefficient(fill, serve) * x
	}
	return sum
}

// tolerance returns the share of the known images that fill which hardly disturb any of the given images that serve.
func (i *interferenceModel) tolerance(serving map[string]int) float64 {
	borne := 0
	for fill := range i.bestEffortImages {
		bears := true
		for serve := range serving {
			bears = bears && i.coefficient(fill, serve) < mildCoefficient
		}
		if bears {
			borne++
		}
	}
	if len(i.bestEffortImages) == 0 {
		return 1
	}
	return float64(borne) / float64(len(i.bestEffortImages))
}

// addImage makes room for an image that fills which was not seen beside s before.
func (i *interferenceModel) addImage(s *sensitivity, fill string) {
	if s.addImage(fill) {
		i.bestEffortImages[fill] = true
	}
}

// update takes in the tail of a task of image serve, as a share of its target, beside the given shares of work; l is the load of its users.
func (i *interferenceModel) update(l *load, shares map[string]float64, serve string, tail float64, now time.Time) {
	s := i.sensitivityOf(serve)
	sum := 0.0
	for _, x := range shares {
		sum += x
	}
	if sum < negligibleShare {
		s.updateBaseline(tail, now)
	}
	for fill := range shares {
		i.addImage(s, fill)
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

// loadAt returns the load at which a tail, as a share of the target, is as given.
func (s *sensitivity) loadAt(tail float64) float64 {
	return min(maxLoad, max(0, 1-(1-typicalLoad)*s.baseline/max(tail, 1e-3)))
}

// filterStep is one step of the filter.
func (s *sensitivity) filterStep(l *load, shares map[string]float64, reading float64, now time.Time) {
	s.predict(now)
	l.predict(now)
	n := len(s.mean)
	gain := make([]float64, n)
	expected := l.mean
	scale := readingVariance + l.variance
	for fill, x := range shares {
		k, ok := s.index[fill]
		if !ok {
			continue
		}
		expected += s.mean[k] * x
		for a := range n {
			gain[a] += s.variance[a][k] * x
		}
	}
	if reading >= maxLoad && expected >= reading {
		return // a full queue does not say by how much it is over
	}
	for fill, x := range shares {
		if k, ok := s.index[fill]; ok {
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

// addImage makes room for an image that was not seen beside s before; it says whether it was new.
func (s *sensitivity) addImage(fill string) bool {
	if _, known := s.index[fill]; known || len(s.mean) >= maxImages {
		return false
	}
	s.index[fill] = len(s.mean)
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

// imageEstimates is what a leader hands on about the tasks of one image that serves.
type imageEstimates struct {
	Baseline    float64            `cbor:"1,keyasint"`
	Coefficients  map[string]float64 `cbor:"2,keyasint"`
	Variance map[string]float64 `cbor:"3,keyasint"`
}

// encode returns what the next leader needs; covariances are left out and learned anew.
func (i *interferenceModel) encode() ([]byte, error) {
	all := make(map[string]imageEstimates, len(i.sensitivities))
	for serve, s := range i.sensitivities {
		l := imageEstimates{Baseline: s.baseline, Coefficients: map[string]float64{}, Variance: map[string]float64{}}
		for fill, n := range s.index {
			l.Coefficients[fill], l.Variance[fill] = s.mean[n], s.variance[n][n]
		}
		all[serve] = l
	}
	return cbor.Marshal(all)
}

// restore takes what an earlier leader has learned.
func (i *interferenceModel) restore(data []byte) error {
	var all map[string]imageEstimates
	if err := cbor.Unmarshal(data, &all); err != nil {
		return err
	}
	for serve, l := range all {
		s := i.sensitivityOf(serve)
		s.baseline = l.Baseline
		for fill, f := range l.Coefficients {
			i.addImage(s, fill)
			if n, ok := s.index[fill]; ok {
				s.mean[n], s.variance[n][n] = f, l.Variance[fill]
			}
		}
	}
	return nil
}
