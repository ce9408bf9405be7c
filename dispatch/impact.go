package dispatch

import (
	"time"

	"github.com/fxamacker/cbor/v2"
)

// The learning of how much images disturb each other.
//
// Tails follow those of a queue: t = s / (1 - load), where work beside a task raises its load in proportion. Readings are turned into that raise, and a Kalman filter for each image that serves splits it among the images beside it.
const (
	usualLoad    = 0.45 // assumed load of a task that serves when nothing disturbs it
	raiseMost    = 1.1  // readings say no more about a queue that is full
	raiseLeast   = -0.6
	raiseNoise   = 0.15 // variance of a reading, mostly by the task's own load
	factorPrior  = 1.5  // raise by a whole worker of an image that was never seen beside another
	factorSpread = 25.0 // variance of the prior
	factorDrift  = 0.4  // variance that a second adds, since factors change
	aloneWeight  = 0.05 // of a new reading of a tail without work beside it
	aloneShare   = 0.01 // share of a worker; less work counts as none
	maxImages    = 64   // of tasks that fill which are told apart
)

// sensitivity is what is known of the tasks of one image that serves.
type sensitivity struct {
	alone    float64 // usual tail without work beside it, as a share of the target; 0 if never seen
	index    map[string]int
	mean     []float64
	variance [][]float64
	at       time.Time
}

// impact estimates how much tasks that fill raise the tails of tasks that serve, by image.
type impact struct {
	serving map[string]*sensitivity
}

func newImpact() *impact { return &impact{serving: map[string]*sensitivity{}} }

func (i *impact) of(serve string) *sensitivity {
	s := i.serving[serve]
	if s == nil {
		s = &sensitivity{index: map[string]int{}}
		i.serving[serve] = s
	}
	return s
}

// factor returns the raise that a whole worker of fill would cause, relative to the raise at which the target is missed.
func (i *impact) factor(fill, serve string) float64 {
	s := i.of(serve)
	f := factorPrior
	if n, ok := s.index[fill]; ok {
		f = max(0, s.mean[n])
	}
	return f / s.bearable()
}

// pressure returns the pressure of the given shares of a worker, by image, on tasks of image serve; 1 is where they begin to miss their target at their usual load.
func (i *impact) pressure(shares map[string]float64, serve string) float64 {
	p := 0.0
	for fill, x := range shares {
		p += i.factor(fill, serve) * x
	}
	return p
}

// learn takes in the tail of a task of image serve, as a share of its target, beside the given shares of work.
func (i *impact) learn(shares map[string]float64, serve string, tail float64, now time.Time) {
	s := i.of(serve)
	sum := 0.0
	for _, x := range shares {
		sum += x
	}
	if sum < aloneShare {
		s.learnAlone(tail)
		return
	}
	s.learnRaise(shares, s.raise(tail), now)
}

func (s *sensitivity) learnAlone(tail float64) {
	if s.alone == 0 {
		s.alone = min(tail, aloneDefault)
		return
	}
	s.alone += aloneWeight * (min(tail, 1) - s.alone)
}

// aloneDefault is the tail, as a share of the target, that is assumed before a task was seen alone.
const aloneDefault = 0.4

// raise turns a tail into the raise of the load over the usual one.
func (s *sensitivity) raise(tail float64) float64 {
	alone := s.alone
	if alone == 0 {
		alone = aloneDefault
	}
	load := 1 - (1-usualLoad)*alone/max(tail, 1e-3)
	return min(raiseMost, max(raiseLeast, load/usualLoad-1))
}

// bearable returns the raise at which the target is missed.
func (s *sensitivity) bearable() float64 { return max(0.1, s.raise(1)) }

// learnRaise is one step of the filter.
func (s *sensitivity) learnRaise(shares map[string]float64, raise float64, now time.Time) {
	for fill := range shares {
		s.add(fill)
	}
	s.drift(now)
	n := len(s.mean)
	x := make([]float64, n)
	expected := 0.0
	for fill, share := range shares {
		if k, ok := s.index[fill]; ok {
			x[k] = share
			expected += max(0, s.mean[k]) * share
		}
	}
	if raise >= raiseMost && expected >= raise {
		return // a full queue does not say by how much it is over
	}
	gain := make([]float64, n)
	scale := raiseNoise
	for a := range n {
		for b := range n {
			gain[a] += s.variance[a][b] * x[b]
		}
		scale += x[a] * gain[a]
	}
	miss := raise - expected
	for a := range n {
		s.mean[a] += gain[a] / scale * miss
		for b := range n {
			s.variance[a][b] -= gain[a] * gain[b] / scale
		}
	}
}

func (s *sensitivity) add(fill string) {
	if _, known := s.index[fill]; known || len(s.mean) >= maxImages {
		return
	}
	s.index[fill] = len(s.mean)
	s.mean = append(s.mean, factorPrior)
	for a := range s.variance {
		s.variance[a] = append(s.variance[a], 0)
	}
	s.variance = append(s.variance, make([]float64, len(s.mean)))
	s.variance[len(s.mean)-1][len(s.mean)-1] = factorSpread
}

func (s *sensitivity) drift(now time.Time) {
	if s.at.IsZero() {
		s.at = now
	}
	by := factorDrift * now.Sub(s.at).Seconds()
	s.at = now
	for a := range s.variance {
		s.variance[a][a] = min(factorSpread, s.variance[a][a]+by)
	}
}

// learnedImage is what a leader hands on about the tasks of one image that serves.
type learnedImage struct {
	Alone    float64            `cbor:"1,keyasint"`
	Factors  map[string]float64 `cbor:"2,keyasint"`
	Variance map[string]float64 `cbor:"3,keyasint"`
}

// encode returns what the next leader needs; covariances are left out and learned anew.
func (i *impact) encode() ([]byte, error) {
	all := make(map[string]learnedImage, len(i.serving))
	for serve, s := range i.serving {
		l := learnedImage{Alone: s.alone, Factors: map[string]float64{}, Variance: map[string]float64{}}
		for fill, n := range s.index {
			l.Factors[fill], l.Variance[fill] = s.mean[n], s.variance[n][n]
		}
		all[serve] = l
	}
	return cbor.Marshal(all)
}

// restore takes what an earlier leader has learned.
func (i *impact) restore(data []byte) error {
	var all map[string]learnedImage
	if err := cbor.Unmarshal(data, &all); err != nil {
		return err
	}
	for serve, l := range all {
		s := i.of(serve)
		s.alone = l.Alone
		for fill, f := range l.Factors {
			s.add(fill)
			if n, ok := s.index[fill]; ok {
				s.mean[n], s.variance[n][n] = f, l.Variance[fill]
			}
		}
	}
	return nil
}
