package entry

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"persimmonpick/ingress"
	"persimmonpick/route"
)

// metrics holds the collectors that the operators' listener exposes at /metrics.
type metrics struct {
	registry    *prometheus.Registry
	inFlight    prometheus.Gauge
	requests    *prometheus.CounterVec
	latency     *prometheus.HistogramVec
	errors      *prometheus.CounterVec
	refused     ingress.Refusals
	applied     prometheus.Gauge
	unplaceable prometheus.Gauge
}

func newMetrics() *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		inFlight: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "persimmonpick_requests_in_flight", Help: "Requests of callers being served.",
		}),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "persimmonpick_requests_total", Help: "Requests of waiting callers by kind and outcome.",
		}, []string{"kind", "code"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "persimmonpick_request_seconds", Help: "Time from a request's arrival to its whole answer.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 14),
		}, []string{"kind"}),
		errors: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "persimmonpick_errors_total", Help: "Requests answered with an error, by its code.",
		}, []string{"code"}),
		refused: ingress.NewRefusals(),
		applied: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "persimmonpick_applied_offset", Help: "Last offset of the log that was folded.",
		}),
		unplaceable: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "persimmonpick_jobs_that_fit_nowhere", Help: "Jobs that fit no worker as the site is now.",
		}),
	}
	m.registry.MustRegister(
		m.inFlight, m.requests, m.latency, m.errors, m.refused, m.applied, m.unplaceable,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return m
}

func (m *metrics) observe(o route.Observation) {
	m.requests.WithLabelValues(string(o.Kind), o.Fault.String()).Inc()
	m.latency.WithLabelValues(string(o.Kind)).Observe(o.Latency.Seconds())
}
