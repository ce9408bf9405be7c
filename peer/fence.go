package peer

import (
	"sync"
	"time"

	"persimmonpick/table"
)

// FenceConfig sets up a Fence.
type FenceConfig struct {
	Seat     table.SeatID
	Seats    []table.SeatID // all configured seats, the own one included
	LogGrace time.Duration
}

// Fence tells whether this host may act on its tables and whether all others have stopped acting on older ones.
//
// A host acts on its tables when it renews a lease, starts a task or uses a slot.
type Fence struct {
	cfg FenceConfig

	mu      sync.Mutex
	applied table.Offset
	tail    time.Time // when the last read that reached the end of the log began
	seats   map[table.SeatID]*seatState
}

type seatState struct {
	incarnation table.Incarnation // newest known from the log
	known       bool              // a process has ever joined
	left        bool
	replaced    time.Time // when the fold showed that a process which had not left was replaced

	reporter   table.Incarnation // process that sent the newest report
	reported   table.Offset      // applied offset of that report
	began      time.Time         // when the answered heartbeat began
	reachedLog []reach           // when the seat first reported offsets that somebody waits for
}

type reach struct {
	off table.Offset
	at  time.Time
}

// NewFence returns a fence that is not current until the log was read to its end or a majority answered.
func NewFence(cfg FenceConfig) *Fence {
	f := &Fence{cfg: cfg, seats: map[table.SeatID]*seatState{}}
	for _, id := range cfg.Seats {
		f.seats[id] = &seatState{}
	}
	return f
}

// Advance tells the fence how far the own tables are; tail is the time at which a read that reached the end of the log began, or zero.
func (f *Fence) Advance(applied table.Offset, tail, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if own := f.seats[f.cfg.Seat]; applied > f.applied && own != nil {
		own.reached(applied, now, f.cfg.LogGrace)
	}
	f.applied = applied
	if tail.After(f.tail) {
		f.tail = tail
	}
}

// SetHosts tells the fence who holds the seats; when a displaced process was replaced is not known from a snapshot, so that counts as now.
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
			s.replaced = now
		}
		s.known = true
		s.left = h.Left
		s.incarnation = h.Incarnation
	}
}

// RecordReply records the reply of a peer to a heartbeat that began at the given time.
func (f *Fence) RecordReply(hb Heartbeat, began, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.report(hb, now)
	if s != nil && began.After(s.began) {
		s.began = began
	}
}

// RecordHeartbeat records a heartbeat that a peer sent on its own; it counts for Passed but not for Current.
func (f *Fence) RecordHeartbeat(hb Heartbeat, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.report(hb, now)
}

func (f *Fence) report(hb Heartbeat, now time.Time) *seatState {
	s := f.seats[hb.Seat]
	if s == nil || hb.Seat == f.cfg.Seat {
		return nil
	}
	if s.reporter != hb.Incarnation {
		s.reporter = hb.Incarnation
		s.reported = 0
		s.began = time.Time{}
		s.reachedLog = nil
	}
	if hb.Applied > s.reported {
		s.reported = hb.Applied
		s.reached(hb.Applied, now, f.cfg.LogGrace)
	}
	return s
}

// reached notes a report and drops those older than grace but for the newest of them, which answers for all lower offsets.
func (s *seatState) reached(off table.Offset, now time.Time, grace time.Duration) {
	s.reachedLog = append(s.reachedLog, reach{off, now})
	keep := 0
	for keep+1 < len(s.reachedLog) && now.Sub(s.reachedLog[keep+1].at) > grace {
		keep++
	}
	s.reachedLog = s.reachedLog[keep:]
}

// reachedAt returns when the seat first reported an offset of at least off.
func (s *seatState) reachedAt(off table.Offset) (time.Time, bool) {
	for _, r := range s.reachedLog {
		if r.off >= off {
			return r.at, true
		}
	}
	return time.Time{}, false
}

func (f *Fence) majority() int {
	return len(f.cfg.Seats)/2 + 1
}

// Current says whether this host may act on its tables at time now.
//
// The own seat does not count towards the majority: two processes on one seat, one of them replaced and cut off, would otherwise both count it.
func (f *Fence) Current(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.tail.IsZero() && now.Sub(f.tail) <= f.cfg.LogGrace {
		return true
	}
	n := 0
	for id, s := range f.seats {
		if id == f.cfg.Seat || s.began.IsZero() {
			continue
		}
		if now.Sub(s.began) <= f.cfg.LogGrace && s.reported <= f.applied {
			n++
		}
	}
	return n >= f.majority()
}

// LastTailRead returns when the last read that reached the end of the log began, or zero.
func (f *Fence) LastTailRead() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tail
}

// Passed says whether no other host acts any more, at time now, on tables that lack offset off.
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
		if !s.replaced.IsZero() && now.Sub(s.replaced) <= f.cfg.LogGrace {
			all = false // the replaced process may still act
		}
		at, ok := s.reachedAt(off)
		switch {
		case ok && (id == f.cfg.Seat || s.reporter == s.incarnation):
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
