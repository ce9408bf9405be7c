package entry

import (
	"log/slog"

	"persimmonpick/ingress"
	"persimmonpick/settings"
)

// newGate returns the gate for all listeners of a host.
func newGate(s settings.Settings, m *metrics, logger *slog.Logger) *ingress.Gate {
	l := s.Limits
	return ingress.New(ingress.Config{
		Limits: ingress.Limits{
			Held: l.MaxHeld, Connections: l.MaxConnections, Unfinished: l.MaxUnfinished, Header: l.MaxHeader,
			Rate: l.MinRate, Grace: s.Timing.MaxRequestTime.D() + headerTimeout,
		},
		Refused: m.refused.Count, Logger: logger,
	})
}
