package interference

import (
	"math"
	"time"

	"persimmonpick/table"
)

// Levels of load; coefficients are learned for each.
const numLevels = 4

// Defaults of Config.
const (
	defaultPriorMean   = 0.2  // log slowdown by a kind that fills the worker
	defaultPriorStdDev = 0.8  // standard deviation of that
	defaultNoiseStdDev       = 0.35 // of the log of one reported p99
	defaultDecayTime      = 12 * time.Hour
	defaultMaxServices = 64
	defaultMaxKinds    = 32
)

// maxInnovation bounds the surprise of one report in standard deviations, so that one wild report moves little.
const maxInnovation = 3.0

// maxSlowdown bounds a prediction.
const maxSlowdown = 20.0

// Config adjusts a model; zero fields take defaults.
type Config struct {
	PriorMean   float64       // log slowdown by a kind that fills the worker that is assumed where nothing is known; below 0 means none
	PriorSpread float64       // standard deviation of that
	Noise       float64       // standard deviation of the log of one reported p99
	Forget      time.Duration // time after which an estimate without new reports is uncertain again
	MaxServices int           // most services kept
	MaxKinds    int           // most batch kinds kept for each service and load level
}

func (c Config) withDefaults() Config {
	if c.PriorMean == 0 {
		c.PriorMean = defaultPriorMean
	}
	c.PriorMean = max(c.PriorMean, 0)
	if c.PriorSpread <= 0 {
		c.PriorSpread = defaultPriorStdDev
	}
	if c.Noise <= 0 {
		c.Noise = defaultNoiseStdDev
	}
	if c.Forget <= 0 {
		c.Forget = defaultDecayTime
	}
	if c.MaxServices <= 0 {
		c.MaxServices = defaultMaxServices
	}
	if c.MaxKinds <= 0 {
		c.MaxKinds = defaultMaxKinds
	}
	return c
}

// Sample is one report of an instance with the neighbours it had when the report was taken.
type Sample struct {
	Taken      time.Time
	Service    table.ServiceID
	Load       float64 // share of slots in use, 0 to 1
	P99        time.Duration
	Neighbours []Neighbour
}

// Model holds the estimates; one goroutine owns it.
//
// The log of p99 is a base for each service and load level plus a coefficient for each batch kind times its weight. The coefficients are a Kalman filter, so they shrink to the prior where data is thin and return to it without new reports.
type Model struct {
	cfg    Config
	filters map[filterKey]*filter
}

type filterKey struct {
	service table.ServiceID
	level   int
}

// NewModel returns a model that knows the prior only.
func NewModel(cfg Config) *Model {
	return &Model{cfg: cfg.withDefaults(), filters: map[filterKey]*filter{}}
}

// Observe learns from one report.
func (m *Model) Observe(s Sample) {
	if s.P99 <= 0 {
		return
	}
	y := math.Log(s.P99.Seconds())
	k := filterKey{s.Service, loadLevel(s.Load)}
	b := m.filters[k]
	if b == nil {
		m.evictOldest()
		b = newFilter(m.cfg, y, s.Taken)
		m.filters[k] = b
	}
	b.observe(s, y)
}

// Estimate returns the factor on the p99 of a service that ns cause at a load, and a confidence from 0 (prior) to 1.
func (m *Model) Estimate(service table.ServiceID, ns []Neighbour, load float64) (slowdown, confidence float64) {
	b := m.nearest(filterKey{service, loadLevel(load)}, ns)
	if b == nil {
		return math.Exp(m.cfg.PriorMean * totalWeight(ns)), 0
	}
	sum, certain := b.predict(ns)
	return min(math.Exp(sum), maxSlowdown), certain
}

// nearest returns the block of k, or of the nearest load level that knows all of ns if k does not.
func (m *Model) nearest(k filterKey, ns []Neighbour) *filter {
	own := m.filters[k]
	for distance := range numLevels {
		for _, l := range [2]int{k.level + distance, k.level - distance} {
			if b := m.filters[filterKey{k.service, l}]; b != nil && b.knowsAll(ns) {
				return b
			}
		}
	}
	return own
}

// evictOldest drops the block that was used least recently once there are too many.
func (m *Model) evictOldest() {
	if len(m.filters) < m.cfg.MaxServices*numLevels {
		return
	}
	var oldest filterKey
	var at time.Time
	for k, b := range m.filters {
		if at.IsZero() || b.updated.Before(at) || (b.updated.Equal(at) && k.less(oldest)) {
			oldest, at = k, b.updated
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
