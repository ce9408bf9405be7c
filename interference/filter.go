package interference

import (
	"math"
	"slices"
	"time"

	"persimmonpick/table"
)

// baselinePriorStdDev is the prior standard deviation of the log of the baseline. It is wide, so the first reports of
// a service determine its baseline.
const baselinePriorStdDev = 5.0

// baselineDriftStdDev is the standard deviation that the random walk of the log of the baseline adds in one hour.
const baselineDriftStdDev = 0.05

// filter is a Kalman filter over the interference coefficients of one service at one load level. Index 0 is the
// baseline; index i+1 belongs to kinds[i].
type filter struct {
	cfg      Config
	kinds    []table.KindID
	lastSeen []time.Time // by index of kinds
	mean     []float64
	cov      [][]float64
	updated  time.Time
}

func newFilter(cfg Config, y float64, at time.Time) *filter {
	return &filter{cfg: cfg, mean: []float64{y}, cov: [][]float64{{baselinePriorStdDev * baselinePriorStdDev}}, updated: at}
}

// priorVariance returns the prior variance of the coefficient of a kind.
func (f *filter) priorVariance() float64 {
	return f.cfg.PriorStdDev * f.cfg.PriorStdDev
}

// observe updates the filter with y, the log of a reported p99.
func (f *filter) observe(s Sample, y float64) {
	f.decay(s.Taken)
	x := f.regressors(s.Neighbours, s.Taken)
	covX := make([]float64, len(x))
	variance := f.cfg.NoiseStdDev * f.cfg.NoiseStdDev
	predicted := 0.0
	for i := range x {
		for k := range x {
			covX[i] += f.cov[i][k] * x[k]
		}
		variance += x[i] * covX[i]
		predicted += x[i] * f.mean[i]
	}
	limit := maxInnovation * math.Sqrt(variance)
	innovation := min(max(y-predicted, -limit), limit)
	for i := range x {
		f.mean[i] += covX[i] / variance * innovation
	}
	for i := range x {
		for k := range x {
			f.cov[i][k] -= covX[i] * covX[k] / variance
		}
	}
}

// decay moves the coefficients of the kinds towards their prior, exponentially in the time since the last update, and
// widens the variance of the baseline by its drift.
func (f *filter) decay(at time.Time) {
	elapsed := at.Sub(f.updated)
	if elapsed <= 0 {
		return
	}
	f.updated = at
	retained := math.Exp(-elapsed.Seconds() / f.cfg.DecayTime.Seconds())
	for i := 1; i < len(f.mean); i++ {
		f.mean[i] = f.cfg.PriorMean + retained*(f.mean[i]-f.cfg.PriorMean)
		f.cov[0][i] *= retained
		f.cov[i][0] *= retained
		for k := 1; k < len(f.mean); k++ {
			f.cov[i][k] *= retained * retained
		}
		f.cov[i][i] += (1 - retained*retained) * f.priorVariance()
	}
	f.cov[0][0] = min(f.cov[0][0]+baselineDriftStdDev*baselineDriftStdDev*elapsed.Hours(), baselinePriorStdDev*baselinePriorStdDev)
}

// regressors returns the weight of each coefficient in a sample and adds kinds that have no coefficient yet.
func (f *filter) regressors(ns []Neighbour, at time.Time) []float64 {
	for _, n := range ns {
		if n.Weight > 0 {
			f.lastSeen[f.kindIndex(n.Kind, at)] = at
		}
	}
	x := make([]float64, len(f.mean))
	x[0] = 1
	for _, n := range ns {
		if i := slices.Index(f.kinds, n.Kind); i >= 0 {
			x[i+1] += max(n.Weight, 0)
		}
	}
	return x
}

// kindIndex returns the index of kind k. A new kind replaces the least recently seen one once MaxKinds are tracked.
func (f *filter) kindIndex(k table.KindID, at time.Time) int {
	if i := slices.Index(f.kinds, k); i >= 0 {
		return i
	}
	if len(f.kinds) >= f.cfg.MaxKinds {
		i := f.leastRecentKind()
		f.kinds[i], f.lastSeen[i] = k, at
		f.reset(i + 1)
		return i
	}
	f.kinds = append(f.kinds, k)
	f.lastSeen = append(f.lastSeen, at)
	f.mean = append(f.mean, 0)
	for i := range f.cov {
		f.cov[i] = append(f.cov[i], 0)
	}
	f.cov = append(f.cov, make([]float64, len(f.mean)))
	f.reset(len(f.mean) - 1)
	return len(f.kinds) - 1
}

func (f *filter) leastRecentKind() int {
	first := 0
	for i := range f.lastSeen {
		if f.lastSeen[i].Before(f.lastSeen[first]) {
			first = i
		}
	}
	return first
}

// reset sets coefficient i to its prior, uncorrelated with the others.
func (f *filter) reset(i int) {
	for k := range f.cov {
		f.cov[i][k], f.cov[k][i] = 0, 0
	}
	f.cov[i][i] = f.priorVariance()
	f.mean[i] = f.cfg.PriorMean
}

func (f *filter) knowsAll(ns []Neighbour) bool {
	for _, n := range ns {
		if !slices.Contains(f.kinds, n.Kind) {
			return false
		}
	}
	return true
}

// predict returns the log slowdown that ns cause, and a confidence from 0 to 1: the share of the prior variance
// that the reports have removed.
func (f *filter) predict(ns []Neighbour) (sum, confidence float64) {
	variance, weights := 0.0, 0.0
	for _, n := range ns {
		w := max(n.Weight, 0)
		weights += w * w
		i := slices.Index(f.kinds, n.Kind) + 1
		if i == 0 {
			sum += w * f.cfg.PriorMean
			variance += w * w * f.priorVariance()
			continue
		}
		sum += w * max(f.mean[i], 0) // batch work cannot speed a service up
		variance += w * w * f.cov[i][i]
	}
	if weights == 0 {
		return 0, 1
	}
	return sum, max(0, 1-variance/(weights*f.priorVariance()))
}
