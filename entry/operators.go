package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"

	"persimmonpick/operator"
	"persimmonpick/peer"
	"persimmonpick/table"
)

func (h *Host) operatorConfig() operator.Config {
	identity := operator.CertificateName
	if h.cfg.Operators.Plain {
		identity = operator.PlainName
	}
	return operator.Config{
		Propose: h.proposeIfLogReadable, ReadTables: h.control.readTables, CountApplied: h.countApplied,
		Hosts: h.hostStatus, Report: h.report, Identity: identity, Metrics: h.metricsHandler(),
		Unplaceable: func(id table.JobID) string { return h.control.proposer.unplaceable[id] },
	}
}

func (h *Host) metricsHandler() http.Handler {
	prom := promhttp.HandlerFor(h.metrics.registry, promhttp.HandlerOpts{})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.metrics.applied.Set(float64(h.control.appliedOffset()))
		prom.ServeHTTP(w, r)
	})
}

// countApplied returns the number of entry hosts known to have applied off, and the number of hosts that hold a seat. A
// host that does not respond counts only if it reported off before.
func (h *Host) countApplied(_ context.Context, off table.Offset) (int, int) {
	applied, total := 0, 0
	holders := h.control.view.Load().Hosts
	for _, st := range h.group.Status() {
		held, ok := holders[st.Seat]
		if !ok || held.Left {
			continue
		}
		total++
		if st.Applied >= off && st.Incarnation == held.Incarnation {
			applied++
		}
	}
	return applied, total
}

func (h *Host) hostStatus() []operator.HostStatus {
	now := time.Now()
	v := h.control.view.Load()
	working := h.group.Working()
	var list []operator.HostStatus
	for i, st := range h.group.Status() {
		held, known := v.Hosts[st.Seat]
		s := operator.HostStatus{
			Seat: st.Seat, Zone: h.cfg.Seats[i].Zone, Incarnation: held.Incarnation, Address: held.Address,
			State: seatState(st, known, held.Left), Self: st.Seat == h.cfg.Seat,
			Proposer: len(working) > 0 && working[0] == st.Seat, Applied: st.Applied, InFlight: st.InFlight,
		}
		if s.Self {
			s.Current = h.group.Fence.Current(now)
		} else if !st.Heard.IsZero() {
			s.HeardMillis = table.Millis(now.Sub(st.Heard).Milliseconds())
		}
		list = append(list, s)
	}
	return list
}

func seatState(st peer.Status, known, left bool) string {
	switch {
	case st.Live && !st.Stopping:
		return operator.HostLive
	case left:
		return operator.HostLeft
	case known:
		return operator.HostSilent
	}
	return operator.HostAbsent
}
