package fleet

import (
	"context"
	"encoding/json"
	"net/http"

	"persimmonpick/ledger"
	"persimmonpick/table"
	"persimmonpick/workload"
)

// PathStatus is the path of the status page on the metrics address.
const PathStatus = "/status"

// QueueStatus is the status of one queue.
type QueueStatus struct {
	Queue   workload.QueueID
	Service table.ServiceID
	Pending int // accepted jobs that have not begun; -1 if unknown
}

// Status is the status of a host, written as JSON on the status page.
type Status struct {
	Host     string
	Zone     table.ZoneID
	Ready    bool
	Leader   string // empty if unknown
	Epoch    ledger.Epoch
	Source   string       // host that is queried instead of the log; empty if this host is a log reader
	ViewAge  table.Millis // of a log reader; more than about 2 s means that the log is unreachable; -1 if unknown
	Position ledger.Position
	Version  Version // of the configuration in force
	Queues   []QueueStatus
}

// Status returns the current status of h.
func (h *Host) Status(ctx context.Context) Status {
	l := h.standby.Leader()
	position, _ := h.view.Position()
	s := Status{
		Host: h.cfg.Settings.Host, Zone: h.cfg.Settings.Zone, Ready: h.Ready(), Leader: l.Host, Epoch: l.Epoch,
		Source: h.standby.Source(), Position: position,
	}
	if s.Source == "" {
		s.ViewAge = -1
		if age := h.view.Age(); age != table.UnknownAge {
			s.ViewAge = table.Millis(age.Milliseconds())
		}
	}
	if c := h.config.Load(); c != nil {
		s.Version = c.Version
		for _, q := range c.Queues() {
			n, err := h.jobs.Pending(ctx, q.ID)
			if err != nil {
				n = -1 // Pending has logged the error
			}
			s.Queues = append(s.Queues, QueueStatus{q.ID, q.Service, n})
		}
	}
	return s
}

// monitoringHandler serves the metrics and the status page.
func (h *Host) monitoringHandler() http.Handler {
	m := http.NewServeMux()
	m.Handle("/metrics", h.metrics.handler())
	m.HandleFunc(PathStatus, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		// A write error means that the client has disconnected.
		_ = json.NewEncoder(w).Encode(h.Status(r.Context()))
	})
	return m
}
