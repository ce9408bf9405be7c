package interference

import (
	"math"
	"time"

	"persimmonpick/table"
)

// numLevels is the number of load levels; each has coefficients of its own.
const numLevels = 4

// Defaults of Config.
const (
	defaultPriorMean   = 0.2  // log slowdown by a kind that uses the whole worker, weight 1
	defaultPriorStdDev = 0.8  // standard deviation of the log slowdown
	defaultNoiseStdDev = 0.35 // standard deviation of the log of one reported p99
	defaultDecayTime   = 12 * time.Hour
	defaultMaxServices = 64
	defaultMaxKinds    = 32
)

// maxInnovation bounds the innovation of one report, in standard deviations, so that a single outlier changes the
// coefficients little.
const maxInnovation = 3.0

// maxSlowdown bounds the slowdown factor that Estimate returns.
const maxSlowdown = 20.0

// Config holds the parameters of a model; zero fields take defaults.
type Config struct {
	// PriorMean is the log slowdown assumed for a kind that uses the whole worker (weight 1) and has no reports
	// yet; a negative value means 0.
	PriorMean   float64
	PriorStdDev float64       // standard deviation of the prior
	NoiseStdDev float64       // standard deviation of the log of one reported p99
	DecayTime   time.Duration // time constant with which coefficients return to the prior without new reports
	MaxServices int           // limit on the filters retained, as a number of services with a filter for each load level
	MaxKinds    int           // limit on the batch kinds retained for each service and load level
}

func (c Config) withDefaults() Config {
	if c.PriorMean == 0 {
		c.PriorMean = defaultPriorMean
	}
	c.PriorMean = max(c.PriorMean, 0)
	if c.PriorStdDev <= 0 {
		c.PriorStdDev = defaultPriorStdDev
	}
	if c.NoiseStdDev <= 0 {
		c.NoiseStdDev = defaultNoiseStdDev
	}
	if c.DecayTime <= 0 {
		c.DecayTime = defaultDecayTime
	}
	if c.MaxServices <= 0 {
		c.MaxServices = defaultMaxServices
	}
	if c.MaxKinds <= 0 {
		c.MaxKinds = defaultMaxKinds
	}
	return c
}

// Sample is one latency report of an instance, with its neighbours at the time the report was taken.
type Sample struct {
	Taken      time.Time
	Service    table.ServiceID
	Load       float64 // share of the slots of the instance in use, 0 to 1
	P99        time.Duration
	Neighbours []Neighbour
}

// Model holds the interference estimates. It is not safe for concurrent use.
//
// The log of p99 is modelled as a baseline for each service and load level, plus a coefficient for each batch kind
// times the weight of the kind. A Kalman filter tracks the coefficients, so they shrink to the prior where
// there is little data and return to it without new reports.
type Model struct {
	cfg     Config
	filters map[filterKey]*filter
}

type filterKey struct {
	service table.ServiceID
	level   int
}

// NewModel returns a model without observations, whose estimates are those of the prior.
func NewModel(cfg Config) *Model {
	return &Model{cfg: cfg.withDefaults(), filters: map[filterKey]*filter{}}
}

// Observe updates the model with one report; a report without a p99 is ignored.
func (m *Model) Observe(s Sample) {
	if s.P99 <= 0 {
		return
	}
	y := math.Log(s.P99.Seconds())
	k := filterKey{s.Service, loadLevel(s.Load)}
	f := m.filters[k]
	if f == nil {
		m.evictOldest()
		f = newFilter(m.cfg, y, s.Taken)
		m.filters[k] = f
	}
	f.observe(s, y)
}

// Estimate returns the factor by which ns raise the p99 of a service at a load, and a confidence from 0 (prior
// only) to 1.
func (m *Model) Estimate(service table.ServiceID, ns []Neighbour, load float64) (slowdown, confidence float64) {
	f := m.nearest(filterKey{service, loadLevel(load)}, ns)
	if f == nil {
		return math.Exp(m.cfg.PriorMean * totalWeight(ns)), 0
	}
	sum, certainty := f.predict(ns)
	return min(math.Exp(sum), maxSlowdown), certainty
}

// nearest returns the filter of the load level nearest to that of k that has coefficients for all of ns. If
// there is none it returns the filter of k, which may be nil.
func (m *Model) nearest(k filterKey, ns []Neighbour) *filter {
	own := m.filters[k]
	for distance := range numLevels {
		for _, l := range [2]int{k.level + distance, k.level - distance} {
			if f := m.filters[filterKey{k.service, l}]; f != nil && f.knowsAll(ns) {
				return f
			}
		}
	}
	return own
}

// evictOldest drops the least recently updated filter once the limit on filters is reached.
func (m *Model) evictOldest() {
	if len(m.filters) < m.cfg.MaxServices*numLevels {
		return
	}
	var oldest filterKey
	var at time.Time
	for k, f := range m.filters {
		if at.IsZero() || f.updated.Before(at) || (f.updated.Equal(at) && k.less(oldest)) {
			oldest, at = k, f.updated
		}
	}
	delete(m.filters, oldest)
}

func (k filterKey) less(o filterKey) bool {
	if k.service != o.service {
		return k.service < o.service
	}
	return k.level < o.level
}

func loadLevel(load float64) int {
	return min(max(int(load*numLevels), 0), numLevels-1)
}

func totalWeight(ns []Neighbour) float64 {
	sum := 0.0
	for _, n := range ns {
		sum += max(n.Weight, 0)
	}
	return sum
}
