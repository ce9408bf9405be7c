package interference

import (
	"math"
	"slices"
	"time"

	"persimmonpick/table"
)

// The first reports of a service set its base, so the prior of the base says almost nothing.
const basePriorStdDev = 5.0

// baseDriftStdDev is the standard deviation that the log of the base gains in one hour.
const baseDriftStdDev = 0.05

// filter holds the coefficients of one service at one load level; index 0 is the base, index i+1 belongs to kinds[i].
type filter struct {
	cfg   Config
	kinds []table.KindID
	lastSeen  []time.Time // of each kind
	mean  []float64
	cov   [][]float64
	updated  time.Time
}

func newFilter(cfg Config, y float64, at time.Time) *filter {
	return &filter{cfg: cfg, mean: []float64{y}, cov: [][]float64{{basePriorStdDev * basePriorStdDev}}, updated: at}
}

func (b *filter) prior() float64 {
	return b.cfg.PriorSpread * b.cfg.PriorSpread
}

// observe is one step of a Kalman filter for y, the log of a reported p99.
func (b *filter) observe(s Sample, y float64) {
	b.decay(s.Taken)
	x := b.regressors(s.Neighbours, s.Taken)
	gain := make([]float64, len(x))
	spread := b.cfg.Noise * b.cfg.Noise
	predicted := 0.0
	for i := range x {
		for k := range x {
			gain[i] += b.cov[i][k] * x[k]
		}
		spread += x[i] * gain[i]
		predicted += x[i] * b.mean[i]
	}
	limit := maxInnovation * math.Sqrt(spread)
	surprise := min(max(y-predicted, -limit), limit)
	for i := range x {
		b.mean[i] += gain[i] / spread * surprise
	}
	for i := range x {
		for k := range x {
			b.cov[i][k] -= gain[i] * gain[k] / spread
		}
	}
}

// decay returns the coefficients of kinds towards their prior as time goes by.
func (b *filter) decay(at time.Time) {
	gap := at.Sub(b.updated)
	if gap <= 0 {
		return
	}
	b.updated = at
	kept := math.Exp(-gap.Seconds() / b.cfg.Forget.Seconds())
	for i := 1; i < len(b.mean); i++ {
		b.mean[i] = b.cfg.PriorMean + kept*(b.mean[i]-b.cfg.PriorMean)
		b.cov[0][i] *= kept
		b.cov[i][0] *= kept
		for k := 1; k < len(b.mean); k++ {
			b.cov[i][k] *= kept * kept
		}
		b.cov[i][i] += (1 - kept*kept) * b.prior()
	}
	b.cov[0][0] = min(b.cov[0][0]+baseDriftStdDev*baseDriftStdDev*gap.Hours(), basePriorStdDev*basePriorStdDev)
}

// regressors returns the weight of each coefficient in a sample, and adds kinds that are new.
func (b *filter) regressors(ns []Neighbour, at time.Time) []float64 {
	for _, n := range ns {
		if n.Weight > 0 {
			b.lastSeen[b.kindIndex(n.Kind, at)] = at
		}
	}
	x := make([]float64, len(b.mean))
	x[0] = 1
	for _, n := range ns {
		if i := slices.Index(b.kinds, n.Kind); i >= 0 {
			x[i+1] += max(n.Weight, 0)
		}
	}
	return x
}

// kindIndex returns the index of kind k, which takes the place of the one seen least recently where there are too many.
func (b *filter) kindIndex(k table.KindID, at time.Time) int {
	if i := slices.Index(b.kinds, k); i >= 0 {
		return i
	}
	if len(b.kinds) >= b.cfg.MaxKinds {
		i := b.leastRecentKind()
		b.kinds[i], b.lastSeen[i] = k, at
		b.reset(i + 1)
		return i
	}
	b.kinds = append(b.kinds, k)
	b.lastSeen = append(b.lastSeen, at)
	b.mean = append(b.mean, 0)
	for i := range b.cov {
		b.cov[i] = append(b.cov[i], 0)
	}
	b.cov = append(b.cov, make([]float64, len(b.mean)))
	b.reset(len(b.mean) - 1)
	return len(b.kinds) - 1
}

func (b *filter) leastRecentKind() int {
	first := 0
	for i := range b.lastSeen {
		if b.lastSeen[i].Before(b.lastSeen[first]) {
			first = i
		}
	}
	return first
}

// reset sets coefficient i to its prior.
func (b *filter) reset(i int) {
	for k := range b.cov {
		b.cov[i][k], b.cov[k][i] = 0, 0
	}
	b.cov[i][i] = b.prior()
	b.mean[i] = b.cfg.PriorMean
}

func (b *filter) knowsAll(ns []Neighbour) bool {
	for _, n := range ns {
		if !slices.Contains(b.kinds, n.Kind) {
			return false
		}
	}
	return true
}

// predict returns the log slowdown that ns cause, and the share of the prior's uncertainty that is gone.
func (b *filter) predict(ns []Neighbour) (sum, certain float64) {
	variance, weights := 0.0, 0.0
	for _, n := range ns {
		w := max(n.Weight, 0)
		weights += w * w
		i := slices.Index(b.kinds, n.Kind) + 1
		if i == 0 {
			sum += w * b.cfg.PriorMean
			variance += w * w * b.prior()
			continue
		}
		sum += w * max(b.mean[i], 0) // batch work does not make a service faster
		variance += w * w * b.cov[i][i]
	}
	if weights == 0 {
		return 0, 1
	}
	return sum, max(0, 1-variance/(weights*b.prior()))
}
