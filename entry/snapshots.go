package entry

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"persimmonpick/fault"
	"persimmonpick/journal"
	"persimmonpick/peer"
	"persimmonpick/provider"
	"persimmonpick/table"
)

// snapshotTimeout limits the time for writing a snapshot, which takes about 40 s for the final tasks of 24 hours at the
// design target. An abandoned snapshot does no harm, as a later one replaces it.
const snapshotTimeout = 2 * time.Minute

// snapshotWriter periodically writes the tables to the log. It does so even if nothing has changed, because the log's
// retention removes older snapshots.
type snapshotWriter struct {
	ctx        context.Context
	log        provider.Log
	period     time.Duration
	onNextTick func(func())
	logger     *slog.Logger
	wg         *sync.WaitGroup

	writing   bool
	lastStart time.Time
}

func (s *snapshotWriter) run(t *table.Tables, now time.Time) {
	if s.lastStart.IsZero() {
		s.lastStart = now
	}
	if s.writing || now.Sub(s.lastStart) < s.period {
		return
	}
	s.writing = true
	s.lastStart = now
	copied := journal.CloneTables(t)
	s.wg.Go(func() {
		ctx, cancel := context.WithTimeout(s.ctx, snapshotTimeout)
		defer cancel()
		began := time.Now()
		err := journal.WriteSnapshot(ctx, s.log, copied)
		if err != nil {
			s.logger.Warn("snapshot not written", "Applied", copied.Applied, "Error", err)
		} else {
			s.logger.Info("snapshot written", "Applied", copied.Applied, "Took", time.Since(began))
		}
		s.onNextTick(func() { s.writing = false })
	})
}

// tablesFromPeer fetches the tables of the live peer that has applied the highest offset.
func (h *Host) tablesFromPeer(ctx context.Context) (*table.Tables, error) {
	var best peer.Status
	for _, st := range h.group.Status() {
		if st.Live && st.Seat != h.cfg.Seat && st.Applied > best.Applied {
			best = st
		}
	}
	client := h.group.Client(best.Seat)
	if client == nil {
		return nil, fault.New(fault.NotReady, "no live peer has tables")
	}
	reply, err := client.Snapshot(ctx, peer.SnapshotArgs{Seat: h.cfg.Seat})
	if err != nil {
		return nil, err
	}
	return journal.DecodeSnapshot(reply.Chunks)
}

// handleSnapshot returns the tables of this host to a peer.
func (h *Host) handleSnapshot(peer.SnapshotArgs) (peer.SnapshotReply, error) {
	var copied *table.Tables
	err := h.control.readTables(h.ctx, func(t *table.Tables) { copied = journal.CloneTables(t) })
	if err != nil {
		return peer.SnapshotReply{}, err
	}
	if copied.Applied == 0 {
		return peer.SnapshotReply{}, fault.New(fault.NotReady, "this host has no tables")
	}
	chunks, err := journal.EncodeSnapshot(copied)
	return peer.SnapshotReply{Applied: copied.Applied, Chunks: chunks}, err
}
