package fleet

import (
	"context"
	"encoding/json"
	"net/http"

	"persimmonpick/ledger"
	"persimmonpick/table"
	"persimmonpick/workload"
)

// PathStatus is the path of the status on the metrics address.
const PathStatus = "/status"

// QueueStatus is what a host knows of one queue.
type QueueStatus struct {
	Queue   workload.QueueID
	Service table.ServiceID
	Pending int // jobs that are accepted and have not begun; -1 if that cannot be told
}

// Status is what operators see of a host.
type Status struct {
	Host     string
	Zone     table.ZoneID
	Ready    bool
	Leader   string // empty if none is known
	Epoch    ledger.Epoch
	Source   string       // host that is asked instead of the log; empty where this one reads the log
	ViewAge  table.Millis // of the log, where this host reads it; older than a second or two means that the log is out of reach
	Position ledger.Position
	Version  Version // of the configuration in force
	Queues   []QueueStatus
}

// Status returns what operators see of h.
func (h *Host) Status(ctx context.Context) Status {
	l := h.standby.Leader()
	position, _ := h.view.Position()
	s := Status{
		Host: h.cfg.Settings.Host, Zone: h.cfg.Settings.Zone, Ready: h.Ready(), Leader: l.Host, Epoch: l.Epoch,
		Source: h.standby.Source(), Position: position,
	}
	if s.Source == "" {
		s.ViewAge = table.Millis(h.view.Age().Milliseconds())
	}
	if c := h.config.Load(); c != nil {
		s.Version = c.Version
		for _, q := range c.Queues() {
			n, err := h.jobs.Pending(ctx, q.ID)
			if err != nil {
				n = -1 // the desk has logged why
			}
			s.Queues = append(s.Queues, QueueStatus{q.ID, q.Service, n})
		}
	}
	return s
}

// monitoringHandler serves the metrics and the status.
func (h *Host) monitoringHandler() http.Handler {
	m := http.NewServeMux()
	m.Handle("/metrics", h.metrics.handler())
	m.HandleFunc(PathStatus, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		// The operator may be gone.
		_ = json.NewEncoder(w).Encode(h.Status(r.Context()))
	})
	return m
}
