package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"persimmonpick/peer"
	"persimmonpick/provider"
	"persimmonpick/table"
)

// maxBufferedReports limits the reports retained for peers. At one report per second from 65 workers it holds a minute.
const maxBufferedReports = 4096

// reportBuffer retains the usage that workers reported to this host for peers to fetch, so that the interference
// estimates of every host include the reports of all workers.
type reportBuffer struct {
	mu   sync.Mutex
	next uint64 // number of the next report
	list []provider.Report
}

// add appends the usage in a report. It drops the task statuses, which only this host needs.
func (r *reportBuffer) add(rep provider.Report) {
	if rep.Taken.IsZero() {
		return
	}
	rep.Statuses = nil
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, rep)
	r.next++
	if len(r.list) > maxBufferedReports {
		r.list = r.list[len(r.list)-maxBufferedReports/2:]
	}
}

// since returns the reports whose number is at least from, and the number to pass to the next call.
func (r *reportBuffer) since(from uint64) ([]provider.Report, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	first := r.next - uint64(len(r.list))
	from = min(max(from, first), r.next)
	return slices.Clone(r.list[from-first:]), r.next
}

func (h *Host) handleReports(args peer.ReportsArgs) peer.ReportsReply {
	if args.Incarnation != "" && args.Incarnation != h.incarnation {
		args.From = 0 // the number is from a previous process of this seat
	}
	list, next := h.reports.since(args.From)
	return peer.ReportsReply{Next: next, Incarnation: h.incarnation, Reports: list}
}

// exchangeReports periodically fetches from each live peer the usage that workers reported to it.
func (h *Host) exchangeReports(ctx context.Context) {
	next := map[table.SeatID]peer.ReportsArgs{}
	every(ctx, h.cfg.Timing.ReportPeriod.D(), func() {
		h.eachLivePeer(func(seat table.SeatID, client *peer.Client) {
			reply, err := h.fetchReports(ctx, client, next[seat])
			if err != nil {
				h.log.Debug("failed to fetch worker reports from a peer", "Seat", seat, "Error", err)
				return
			}
			next[seat] = peer.ReportsArgs{From: reply.Next, Incarnation: reply.Incarnation}
			h.handlePeerReports(reply.Reports)
		})
	})
}

func (h *Host) fetchReports(ctx context.Context, client *peer.Client, args peer.ReportsArgs) (peer.ReportsReply, error) {
	ctx, cancel := context.WithTimeout(ctx, h.cfg.Timing.ReportPeriod.D())
	defer cancel()
	return client.Reports(ctx, args)
}

// handlePeerReports passes reports fetched from a peer to the policy on the control goroutine.
func (h *Host) handlePeerReports(list []provider.Report) {
	if len(list) == 0 {
		return
	}
	c := h.control
	c.onNextTick(func() {
		for _, rep := range list {
			c.proposer.policy.handleReport(c.tables, rep, time.Now())
		}
	})
}
