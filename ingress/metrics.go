package ingress

import "github.com/prometheus/client_golang/prometheus"

// Refusals counts the clients that a Gate refuses, for Prometheus.
type Refusals struct {
	*prometheus.CounterVec
}

// NewRefusals returns a counter of refusals, to be registered by the caller.
func NewRefusals() Refusals {
	return Refusals{prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "persimmonpick_ingress_refused_total", Help: "Clients refused or disconnected since they held too much, by reason.",
	}, []string{"reason"})}
}

// Count counts a refusal.
func (r Refusals) Count(why Reason) { r.WithLabelValues(string(why)).Inc() }
