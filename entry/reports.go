package entry

import (
	"context"
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
	if from > r.next {
		from = first // the number is from a previous process of this seat
	}
	if from < first {
		from = first
	}
	list := make([]provider.Report, r.next-from)
	copy(list, r.list[from-first:])
	return list, r.next
}

func (h *Host) handleReports(args peer.ReportsArgs) peer.ReportsReply {
	list, next := h.reports.since(args.From)
	return peer.ReportsReply{Next: next, Reports: list}
}

// exchangeReports periodically fetches from each live peer the usage that workers reported to it.
func (h *Host) exchangeReports(ctx context.Context) {
	next := map[table.SeatID]uint64{}
	every(ctx, h.cfg.Timing.ReportPeriod.D(), func() {
		h.eachLivePeer(func(seat table.SeatID, client *peer.Client) {
			reply, err := h.fetchReports(ctx, client, next[seat])
			if err != nil {
				h.log.Debug("failed to fetch worker reports from a peer", "Seat", seat, "Error", err)
				return
			}
			next[seat] = reply.Next
			h.handlePeerReports(reply.Reports)
		})
	})
}

func (h *Host) fetchReports(ctx context.Context, client *peer.Client, from uint64) (peer.ReportsReply, error) {
	ctx, cancel := context.WithTimeout(ctx, h.cfg.Timing.ReportPeriod.D())
	defer cancel()
	return client.Reports(ctx, peer.ReportsArgs{From: from})
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
