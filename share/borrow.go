package share

import (
	"context"
	"time"

	"persimmonpick/table"
)

// CanBorrow says whether asking the owner of an instance for slots is worth a call now.
func (m *Manager) CanBorrow(inst table.Instance) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.mayBorrow(m.state(inst), time.Now())
}

func (m *Manager) mayBorrow(s *state, now time.Time) bool {
	if s.owner == m.cfg.Seat {
		return m.mayRecall(s, now)
	}
	if s.calling || now.Before(s.retryAt) {
		return false
	}
	return s.used+s.idleSlots(now) < m.Connections(s.inst)
}

// Borrow asks the owner of an instance for up to want slots and returns how many came; at the owner it asks for idle lent slots and does not wait. It makes no call where Borrowable is false.
func (m *Manager) Borrow(ctx context.Context, inst table.Instance, want int) (int, error) {
	l, s, req := m.beginBorrow(inst, want)
	if l == nil {
		return 0, nil
	}
	ctx, cancel := context.WithTimeout(ctx, m.cfg.callTimeout())
	defer cancel()
	reply, err := m.cfg.Borrow(ctx, s.owner, req)
	n := m.endBorrow(s, l, reply, err)
	if n > 0 {
		m.signal(s, inst)
	}
	return n, err
}

func (m *Manager) beginBorrow(inst table.Instance, want int) (*loan, *state, BorrowRequest) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.state(inst)
	now := time.Now()
	if !m.mayBorrow(s, now) {
		return nil, nil, BorrowRequest{}
	}
	if s.owner == m.cfg.Seat {
		m.startRecall(s, now, true)
		return nil, nil, BorrowRequest{}
	}
	s.calling = true
	m.number++
	id := LoanID{Borrower: m.cfg.Seat, Process: m.process, Number: m.number}
	// The term counts from before the call, so that it ends here before it ends at the owner.
	l := &loan{id: id, end: now.Add(m.cfg.LoanTerm), idle: now}
	room := m.Connections(inst) - s.used - s.idleSlots(now)
	return l, s, BorrowRequest{Loan: id, Instance: inst.ID, Slots: max(1, min(want, room))}
}

func (m *Manager) endBorrow(s *state, l *loan, reply BorrowReply, err error) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	s.calling = false
	now := time.Now()
	if err != nil {
		// The owner may have lent slots although its reply was lost: tell it that none is used.
		s.retryAt = now.Add(m.cfg.callTimeout())
		l.unsent = true
		s.loans = append(s.loans, l)
		return 0
	}
	if reply.Slots <= 0 {
		s.retryAt = now.Add(refusedPause)
		return 0
	}
	l.slots = reply.Slots
	l.idle = now
	s.loans = append(s.loans, l)
	if !now.Before(l.end) {
		return 0
	}
	return l.slots
}

// sendReturn tells the owner; sweep repeats it if it fails.
func (m *Manager) sendReturn(s *state, l *loan, req ReturnRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), m.cfg.callTimeout())
	defer cancel()
	err := m.cfg.Return(ctx, s.owner, req)
	if err != nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if l.slots == req.Keep {
		l.unsent = false
	}
}

// HandleRecall gives the idle slots of an instance back to its owner; if Soon is set, those in use follow at the end of their request.
func (m *Manager) HandleRecall(req RecallRequest) RecallReply {
	m.mu.Lock()
	defer m.mu.Unlock()
	var reply RecallReply
	s := m.states[req.Instance]
	if s == nil {
		return reply
	}
	for _, l := range s.loans {
		l.wanted = l.wanted || req.Soon
		reply.Returns = append(reply.Returns, s.giveUp(l))
	}
	return reply
}

// Run returns borrowed slots that stay idle or whose term ended, until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	tick := time.NewTicker(m.cfg.idleTerm() / 4)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			m.sweep()
		case <-ctx.Done():
			return
		}
	}
}

func (m *Manager) sweep() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for id, s := range m.states {
		s.dropEnded(now)
		m.sweepLoans(s, now)
		if s.used == 0 && !s.calling && len(s.loans) == 0 && len(s.lent) == 0 && m.gone(id) {
			delete(m.states, id)
		}
	}
}

func (m *Manager) sweepLoans(s *state, now time.Time) {
	kept := s.loans[:0]
	for _, l := range s.loans {
		idle := now.Sub(l.idle) >= m.cfg.idleTerm()
		ended := !now.Before(l.end)
		if idle || ended || l.wanted || l.unsent {
			req := s.giveUp(l)
			if l.unsent {
				go m.sendReturn(s, l, req)
			}
		}
		// After the hold the owner has freed the slots by itself.
		forgotten := now.Sub(l.end) >= m.cfg.MaxRequestTime+m.cfg.callTimeout()
		if l.used > 0 || l.slots > 0 || (l.unsent && !forgotten) {
			kept = append(kept, l)
		}
	}
	clear(s.loans[len(kept):])
	s.loans = kept
}

func (m *Manager) gone(id table.InstanceID) bool {
	_, found := m.cfg.Lookup(id)
	return !found
}
