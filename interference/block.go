package interference

import (
	"math"
	"slices"
	"time"

	"persimmonpick/table"
)

// The first reports of a service set its base, so the prior of the base says almost nothing.
const baseSpread = 5.0

// baseDrift is the standard deviation that the log of the base gains in one hour.
const baseDrift = 0.05

// block holds the coefficients of one service at one load level; index 0 is the base, index i+1 belongs to kinds[i].
type block struct {
	cfg   Config
	kinds []table.KindID
	used  []time.Time // of each kind
	mean  []float64
	cov   [][]float64
	seen  time.Time
}

func newBlock(cfg Config, y float64, at time.Time) *block {
	return &block{cfg: cfg, mean: []float64{y}, cov: [][]float64{{baseSpread * baseSpread}}, seen: at}
}

func (b *block) prior() float64 {
	return b.cfg.PriorSpread * b.cfg.PriorSpread
}

// observe is one step of a Kalman filter for y, the log of a reported p99.
func (b *block) observe(s Sample, y float64) {
	b.fade(s.Taken)
	x := b.inputs(s.Neighbours, s.Taken)
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
	limit := maxOutlier * math.Sqrt(spread)
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

// fade returns the coefficients of kinds towards their prior as time goes by.
func (b *block) fade(at time.Time) {
	gap := at.Sub(b.seen)
	if gap <= 0 {
		return
	}
	b.seen = at
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
	b.cov[0][0] = min(b.cov[0][0]+baseDrift*baseDrift*gap.Hours(), baseSpread*baseSpread)
}

// inputs returns the weight of each coefficient in a sample, and adds kinds that are new.
func (b *block) inputs(ns []Neighbour, at time.Time) []float64 {
	for _, n := range ns {
		if n.Weight > 0 {
			b.used[b.add(n.Kind, at)] = at
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

// add returns the index of kind k, which takes the place of the one seen least recently where there are too many.
func (b *block) add(k table.KindID, at time.Time) int {
	if i := slices.Index(b.kinds, k); i >= 0 {
		return i
	}
	if len(b.kinds) >= b.cfg.MaxKinds {
		i := b.oldest()
		b.kinds[i], b.used[i] = k, at
		b.reset(i + 1)
		return i
	}
	b.kinds = append(b.kinds, k)
	b.used = append(b.used, at)
	b.mean = append(b.mean, 0)
	for i := range b.cov {
		b.cov[i] = append(b.cov[i], 0)
	}
	b.cov = append(b.cov, make([]float64, len(b.mean)))
	b.reset(len(b.mean) - 1)
	return len(b.kinds) - 1
}

func (b *block) oldest() int {
	first := 0
	for i := range b.used {
		if b.used[i].Before(b.used[first]) {
			first = i
		}
	}
	return first
}

// reset sets coefficient i to its prior.
func (b *block) reset(i int) {
	for k := range b.cov {
		b.cov[i][k], b.cov[k][i] = 0, 0
	}
	b.cov[i][i] = b.prior()
	b.mean[i] = b.cfg.PriorMean
}

func (b *block) knows(ns []Neighbour) bool {
	for _, n := range ns {
		if !slices.Contains(b.kinds, n.Kind) {
			return false
		}
	}
	return true
}

// predict returns the log slowdown that ns cause, and the share of the prior's uncertainty that is gone.
func (b *block) predict(ns []Neighbour) (sum, certain float64) {
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
