package fleet

import (
	"encoding/json"
	"net/http"
	"time"

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
	Pending int // jobs that are accepted and have not begun
}

// Status is what operators see of a host.
type Status struct {
	Host     string
	Zone     table.ZoneID
	Ready    bool
	Leader   string // empty if none is known
	Epoch    ledger.Epoch
	ViewAge  table.Millis // of the log; older than a second or two means that the log is out of reach
	Position ledger.Position
	Version  Version // of the configuration in force
	Queues   []QueueStatus
}

// Status returns what operators see of h.
func (h *Host) Status() Status {
	l := h.fold.Leader()
	position, _ := h.fold.Position()
	s := Status{
		Host: h.cfg.Settings.Host, Zone: h.cfg.Settings.Zone, Ready: h.Ready(), Leader: l.Host, Epoch: l.Epoch,
		ViewAge: table.Millis(time.Since(h.fold.Confirmed()).Milliseconds()), Position: position,
	}
	if c := h.config.Load(); c != nil {
		s.Version = c.Version
		for _, q := range c.Queues() {
			s.Queues = append(s.Queues, QueueStatus{q.ID, q.Service, h.fold.Pending(q.ID)})
		}
	}
	return s
}

// pages serves the metrics and the status.
func (h *Host) pages() http.Handler {
	m := http.NewServeMux()
	m.Handle("/metrics", h.metrics.handler())
	m.HandleFunc(PathStatus, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		// The operator may be gone.
		_ = json.NewEncoder(w).Encode(h.Status())
	})
	return m
}
