package peer

import (
	"sync"
	"time"

	"persimmonpick/table"
)

// FenceConfig configures a Fence.
type FenceConfig struct {
	Seat     table.SeatID
	Seats    []table.SeatID // all configured seats, including the own one
	LogGrace time.Duration
}

// Fence decides whether this host may act on its tables and whether all other hosts have stopped acting on older ones.
//
// A host acts on its tables when it renews a lease, starts a task or uses a slot.
type Fence struct {
	cfg FenceConfig

	mu           sync.Mutex
	applied      table.Offset
	lastTailRead time.Time // start of the last read that reached the end of the log
	seats        map[table.SeatID]*seatState
}

type seatState struct {
	incarnation table.Incarnation // newest one in the log
	known       bool              // a process has joined the seat
	left        bool
	replacedAt  time.Time // when the log showed that a process was replaced without having left

	reportedBy     table.Incarnation // process that sent the latest heartbeat
	reportedOffset table.Offset      // highest applied offset it reported
	replyBegan     time.Time         // when the latest answered heartbeat was sent
	offsetReports  []offsetReport    // when the seat first reported each offset, pruned after LogGrace
}

type offsetReport struct {
	off table.Offset
	at  time.Time
}

// NewFence returns a fence that is not current until the log has been read to its end or a majority has replied.
func NewFence(cfg FenceConfig) *Fence {
	f := &Fence{cfg: cfg, seats: map[table.SeatID]*seatState{}}
	for _, id := range cfg.Seats {
		f.seats[id] = &seatState{}
	}
	return f
}

// Advance sets the offset that the own tables have applied. tail is the start of a read that reached the end of the
// log, or zero.
func (f *Fence) Advance(applied table.Offset, tail, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if own := f.seats[f.cfg.Seat]; applied > f.applied && own != nil {
		own.recordOffset(applied, now, f.cfg.LogGrace)
	}
	f.applied = applied
	if tail.After(f.lastTailRead) {
		f.lastTailRead = tail
	}
}

// SetHosts sets the processes that hold the seats. A snapshot does not tell when a process that did not leave was
// replaced, so now is used.
func (f *Fence) SetHosts(hosts map[table.SeatID]*table.EntryHost, now time.Time, fromSnapshot bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, h := range hosts {
		s := f.seats[id]
		if s == nil {
			continue
		}
		ungraceful := s.known && !s.left && s.incarnation != h.Incarnation
		if ungraceful || (fromSnapshot && !s.known && h.Displaced) {
			s.replacedAt = now
		}
		s.known = true
		s.left = h.Left
		s.incarnation = h.Incarnation
	}
}

// RecordReply records the reply of a peer to a heartbeat that was sent at began.
func (f *Fence) RecordReply(hb Heartbeat, began, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.recordReport(hb, now)
	if s != nil && began.After(s.replyBegan) {
		s.replyBegan = began
	}
}

// RecordHeartbeat records a heartbeat that a peer sent. It counts for Passed but not for Current, since it does not
// tell when the peer read the log.
func (f *Fence) RecordHeartbeat(hb Heartbeat, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recordReport(hb, now)
}

func (f *Fence) recordReport(hb Heartbeat, now time.Time) *seatState {
	s := f.seats[hb.Seat]
	if s == nil || hb.Seat == f.cfg.Seat {
		return nil
	}
	if s.reportedBy != hb.Incarnation {
		s.reportedBy = hb.Incarnation
		s.reportedOffset = 0
		s.replyBegan = time.Time{}
		s.offsetReports = nil
	}
	if hb.Applied > s.reportedOffset {
		s.reportedOffset = hb.Applied
		s.recordOffset(hb.Applied, now, f.cfg.LogGrace)
	}
	return s
}

// recordOffset adds a report and drops the reports older than grace except the newest of them, which covers all lower
// offsets.
func (s *seatState) recordOffset(off table.Offset, now time.Time, grace time.Duration) {
	s.offsetReports = append(s.offsetReports, offsetReport{off, now})
	keep := 0
	for keep+1 < len(s.offsetReports) && now.Sub(s.offsetReports[keep+1].at) > grace {
		keep++
	}
	s.offsetReports = s.offsetReports[keep:]
}

// firstReportAt returns when the seat first reported an offset of at least off.
func (s *seatState) firstReportAt(off table.Offset) (time.Time, bool) {
	for _, r := range s.offsetReports {
		if r.off >= off {
			return r.at, true
		}
	}
	return time.Time{}, false
}

func (f *Fence) majority() int {
	return len(f.cfg.Seats)/2 + 1
}

// Current reports whether this host may act on its tables at time now.
//
// The own seat does not count towards the majority: otherwise two processes on one seat, one of them replaced and
// partitioned, would both count it.
func (f *Fence) Current(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.lastTailRead.IsZero() && now.Sub(f.lastTailRead) <= f.cfg.LogGrace {
		return true
	}
	n := 0
	for id, s := range f.seats {
		if id == f.cfg.Seat || s.replyBegan.IsZero() {
			continue
		}
		if now.Sub(s.replyBegan) <= f.cfg.LogGrace && s.reportedOffset <= f.applied {
			n++
		}
	}
	return n >= f.majority()
}

// LastTailRead returns the start of the last read that reached the end of the log, or zero.
func (f *Fence) LastTailRead() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastTailRead
}

// Passed reports whether, at time now, no other host can still act on tables that lack offset off.
func (f *Fence) Passed(off table.Offset, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.applied < off {
		return false
	}
	all := true
	n := 0
	var last time.Time
	for id, s := range f.seats {
		if !s.replacedAt.IsZero() && now.Sub(s.replacedAt) <= f.cfg.LogGrace {
			all = false // the replaced process may still act
		}
		at, ok := s.firstReportAt(off)
		switch {
		case ok && (id == f.cfg.Seat || s.reportedBy == s.incarnation):
			n++
			if at.After(last) {
				last = at
			}
		case s.known && !s.left:
			all = false
		}
	}
	if all {
		return true
	}
	return n >= f.majority() && now.Sub(last) > f.cfg.LogGrace
}
