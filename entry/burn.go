package entry

import (
	"context"
	"time"

	"persimmonpick/burn"
	"persimmonpick/fault"
	"persimmonpick/peer"
	"persimmonpick/route"
	"persimmonpick/table"
)

// burnPeriod is the time between exchanges of request counts with peers. A host that crashes loses at most the counts
// of one period.
const burnPeriod = 2 * time.Second

func (h *Host) windows() burn.Windows {
	return burn.Windows{Short: h.cfg.Policy.BurnShortWindow.D(), Long: h.cfg.Policy.BurnLongWindow.D()}
}

func (h *Host) newRecorder() *burn.Recorder {
	return burn.NewRecorder(burn.Config{
		Seat: h.cfg.Seat, Incarnation: h.incarnation, Windows: h.windows(),
		Objective: func(id table.KindID) table.Objective { return h.control.view.Load().Kinds[id].Objective },
	})
}

// observe counts a request in the metrics and in the service-level report.
func (h *Host) observe(o route.Observation) {
	h.metrics.observe(o)
	h.recorder.Observe(o.Kind, o.Instance, o.Worker, o.Latency, o.Fault == fault.None, o.At)
}

// exchangeBurn periodically fetches from each live peer the request counts that this host lacks.
func (h *Host) exchangeBurn(ctx context.Context) {
	every(ctx, burnPeriod, func() {
		now := time.Now()
		h.burnCounts.Put(h.recorder.Snapshot(now), now)
		h.eachLivePeer(func(_ table.SeatID, client *peer.Client) { h.fetchBurn(ctx, client) })
	})
}

// every calls f once per period until ctx ends.
func every(ctx context.Context, period time.Duration, f func()) {
	tick := time.NewTicker(period)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			f()
		}
	}
}

// eachLivePeer calls f for every other seat that is live.
func (h *Host) eachLivePeer(f func(table.SeatID, *peer.Client)) {
	for _, st := range h.group.Status() {
		if client := h.group.Client(st.Seat); client != nil && st.Live {
			f(st.Seat, client)
		}
	}
}

func (h *Host) fetchBurn(ctx context.Context, client *peer.Client) {
	ctx, cancel := context.WithTimeout(ctx, burnPeriod)
	defer cancel()
	reply, err := client.Burn(ctx, peer.BurnArgs{Digest: h.burnCounts.Digest()})
	if err != nil {
		h.log.Debug("failed to fetch request counts from a peer", "Error", err)
		return
	}
	for _, s := range reply.Snapshots {
		h.burnCounts.Put(s, time.Now())
	}
}

func (h *Host) handleBurn(args peer.BurnArgs) peer.BurnReply {
	return peer.BurnReply{Snapshots: h.burnCounts.Newer(args.Digest, time.Now())}
}

// report builds the service-level report from the request counts of all entry hosts.
func (h *Host) report() burn.Report {
	now := time.Now()
	h.burnCounts.Put(h.recorder.Snapshot(now), now)
	v := h.control.view.Load()
	objectives := map[table.KindID]table.Objective{}
	for id, k := range v.Kinds {
		objectives[id] = k.Objective
	}
	return burn.Build(burn.Input{
		Now: now, Windows: h.windows(), Seats: h.seatIDs(), Snapshots: h.burnCounts.All(now), Objectives: objectives,
	})
}
