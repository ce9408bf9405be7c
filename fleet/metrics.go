package fleet

import (
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"persimmonpick/dispatch"
	"persimmonpick/fault"
	"persimmonpick/ingress"
	"persimmonpick/table"
)

// metrics holds the Prometheus metrics of one host.
type metrics struct {
	registry *prometheus.Registry
	answers  *prometheus.HistogramVec
	calls    *prometheus.HistogramVec
	events   *prometheus.CounterVec
	zones    *prometheus.GaugeVec
	refused  ingress.Refusals

	mu   sync.Mutex
	last dispatch.Counts
}

// latencyBuckets are in seconds, from a local answer to the longest deadline of callers.
var latencyBuckets = []float64{.002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5}

func newMetrics() *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		answers: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "persimmonpick_answer_seconds", Help: "Time to answer callers.", Buckets: latencyBuckets,
		}, []string{"call", "kind"}),
		calls: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "persimmonpick_worker_call_seconds", Help: "Time until workers answer, without the wait of looks.", Buckets: latencyBuckets,
		}, []string{"call"}),
		events: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "persimmonpick_dispatch_total", Help: "Events of the dispatcher while this host leads.",
		}, []string{"event"}),
		zones: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "persimmonpick_zone_tasks", Help: "Tasks left in an availability zone that is evacuated, while this host leads.",
		}, []string{"zone"}),
	}
	m.refused = ingress.NewRefusals()
	m.registry.MustRegister(m.answers, m.calls, m.events, m.zones, m.refused)
	return m
}

func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

func (m *metrics) observeAnswer(what string, k fault.Kind, took time.Duration) {
	m.answers.WithLabelValues(what, k.String()).Observe(took.Seconds())
}

func (m *metrics) observeWorkerCall(what string, took time.Duration) {
	m.calls.WithLabelValues(what).Observe(took.Seconds())
}

// setZoneTasks sets the number of tasks that are left in each availability zone that is evacuated.
func (m *metrics) setZoneTasks(left map[table.ZoneID]int) {
	m.zones.Reset()
	for z, n := range left {
		m.zones.WithLabelValues(string(z)).Set(float64(n))
	}
}

// addCounts adds the increase of c since the last call; lower counts come from a new scheduler, which starts at zero.
func (m *metrics) addCounts(c dispatch.Counts) {
	m.mu.Lock()
	defer m.mu.Unlock()
	before := m.last
	if c.Starts < before.Starts || c.Ended < before.Ended {
		before = dispatch.Counts{}
	}
	m.last = c
	for event, n := range map[string]int{
		"start": c.Starts - before.Starts, "refused": c.Refused - before.Refused, "unknown": c.Unknown - before.Unknown,
		"ended": c.Ended - before.Ended, "failed": c.Failed - before.Failed, "stalled": c.Stalled - before.Stalled,
		"moved": c.Moved - before.Moved, "lost": c.Lost - before.Lost, "completed": c.Completed - before.Completed,
		"cancelled": c.Cancelled - before.Cancelled, "crashed": c.Crashes - before.Crashes, "given_up": c.GivenUp - before.GivenUp,
	} {
		if n > 0 {
			m.events.WithLabelValues(event).Add(float64(n))
		}
	}
}
