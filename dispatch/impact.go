package dispatch

// The learning of how much images disturb each other. A pressure of 1 is where a task that serves begins to miss its target at a usual load of its own.
const (
	impactUnknown = 2.0  // of a pair that was never seen together, per share of a worker
	impactMost    = 40.0 // keeps one bad reading from ruling out a pair for good
	pressureHigh  = 1.2  // least pressure that a missed target shows
	pressureLow   = 0.5  // most pressure that a tail far below its target shows
	impactUp      = 0.5  // weight of a missed target
	impactDown    = 0.06 // weight of a low tail, which its own low load may explain
	impactLeast   = 0.02 // share of a worker; less work beside it explains nothing
)

// pair is an image of tasks that fill and an image of tasks that serve.
type pair struct {
	fill, serve string
}

// impact estimates how much one worker's share of work of one image presses on tasks of another.
type impact struct {
	factors map[pair]float64
}

func newImpact() *impact { return &impact{factors: map[pair]float64{}} }

func (i *impact) factor(fill, serve string) float64 {
	if f, ok := i.factors[pair{fill, serve}]; ok {
		return f
	}
	return impactUnknown
}

// pressure returns the pressure of the given shares of a worker, by image, on tasks of image serve.
func (i *impact) pressure(shares map[string]float64, serve string) float64 {
	p := 0.0
	for fill, x := range shares {
		p += i.factor(fill, serve) * x
	}
	return p
}

// learn takes in the tail of a task of image serve, as a share of its target, beside the given shares of work.
func (i *impact) learn(shares map[string]float64, serve string, tail float64) {
	sum, squares := 0.0, 0.0
	for _, x := range shares {
		sum += x
		squares += x * x
	}
	if sum < impactLeast {
		return
	}
	p := i.pressure(shares, serve)
	step := 0.0
	switch {
	case tail > 1 && p < pressureHigh:
		step = impactUp * (pressureHigh - p)
	case tail < tailLow && p > pressureLow:
		step = impactDown * (pressureLow - p)
	default:
		return
	}
	for fill, x := range shares {
		f := i.factor(fill, serve) + step*x/squares
		i.factors[pair{fill, serve}] = min(impactMost, max(0, f))
	}
}
