package share

import (
	"context"
	"time"

	"persimmonpick/table"
)

// CanBorrow reports whether Borrow would make a call for slots of an instance now.
func (m *Manager) CanBorrow(inst table.Instance) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.canBorrow(m.instance(inst), time.Now())
}

func (m *Manager) canBorrow(s *instanceState, now time.Time) bool {
	if s.owner == m.cfg.Seat {
		return m.canRecall(s, now)
	}
	if s.borrowing || now.Before(s.retryAt) {
		return false
	}
	return s.used+s.idleSlots(now) < m.Connections(s.inst)
}

// Borrow requests up to want slots from the owner of an instance and returns the number of slots loaned. At the owner
// it starts a recall of loaned slots without waiting for it. It makes no call if CanBorrow is false.
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
		m.notifyFree(s, inst)
	}
	return n, err
}

func (m *Manager) beginBorrow(inst table.Instance, want int) (*borrowerLoan, *instanceState, BorrowRequest) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.instance(inst)
	now := time.Now()
	if !m.canBorrow(s, now) {
		return nil, nil, BorrowRequest{}
	}
	if s.owner == m.cfg.Seat {
		m.startRecall(s, now, true)
		return nil, nil, BorrowRequest{}
	}
	s.borrowing = true
	m.lastLoanNumber++
	id := LoanID{Borrower: m.cfg.Seat, Process: m.processID, Number: m.lastLoanNumber}
	// The term starts before the call, so that it ends here before it ends at the owner.
	l := &borrowerLoan{id: id, end: now.Add(m.cfg.LoanTerm), lastUsed: now}
	room := m.Connections(inst) - s.used - s.idleSlots(now)
	return l, s, BorrowRequest{Loan: id, Instance: inst.ID, Slots: max(1, min(want, room))}
}

func (m *Manager) endBorrow(s *instanceState, l *borrowerLoan, reply BorrowReply, err error) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	s.borrowing = false
	now := time.Now()
	if err != nil {
		// The owner may have lent slots although its reply was lost: return them.
		s.retryAt = now.Add(m.cfg.callTimeout())
		l.unconfirmed = true
		s.borrowerLoans = append(s.borrowerLoans, l)
		return 0
	}
	if reply.Slots <= 0 {
		s.retryAt = now.Add(refusedBackoff)
		return 0
	}
	l.slots = reply.Slots
	l.lastUsed = now
	s.borrowerLoans = append(s.borrowerLoans, l)
	if !now.Before(l.end) {
		return 0
	}
	return l.slots
}

// sendReturn sends req to the owner; sweep repeats it after a failure.
func (m *Manager) sendReturn(s *instanceState, l *borrowerLoan, req ReturnRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), m.cfg.callTimeout())
	defer cancel()
	err := m.cfg.Return(ctx, s.owner, req)
	if err != nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if l.slots == req.Keep {
		l.unconfirmed = false
	}
}

// HandleRecall returns the idle slots of an instance to its owner. If Soon is set, slots in use are returned when their
// request ends.
func (m *Manager) HandleRecall(req RecallRequest) RecallReply {
	m.mu.Lock()
	defer m.mu.Unlock()
	var reply RecallReply
	s := m.instances[req.Instance]
	if s == nil {
		return reply
	}
	for _, l := range s.borrowerLoans {
		l.recalled = l.recalled || req.Soon
		reply.Returns = append(reply.Returns, s.releaseIdle(l))
	}
	return reply
}

// Run returns borrowed slots that are idle or expired, until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	tick := time.NewTicker(m.cfg.idleTimeout() / 4)
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
	for id, s := range m.instances {
		s.dropExpired(now)
		m.sweepLoans(s, now)
		if s.used == 0 && !s.borrowing && len(s.borrowerLoans) == 0 && len(s.ownerLoans) == 0 && m.removed(id) {
			delete(m.instances, id)
		}
	}
}

func (m *Manager) sweepLoans(s *instanceState, now time.Time) {
	kept := s.borrowerLoans[:0]
	for _, l := range s.borrowerLoans {
		idle := now.Sub(l.lastUsed) >= m.cfg.idleTimeout()
		ended := !now.Before(l.end)
		if idle || ended || l.recalled || l.unconfirmed {
			req := s.releaseIdle(l)
			if l.unconfirmed {
				go m.sendReturn(s, l, req)
			}
		}
		// From then on the owner has reclaimed the slots, so the return need not be repeated.
		reclaimed := now.Sub(l.end) >= m.cfg.MaxRequestTime+m.cfg.callTimeout()
		if l.used > 0 || l.slots > 0 || (l.unconfirmed && !reclaimed) {
			kept = append(kept, l)
		}
	}
	clear(s.borrowerLoans[len(kept):])
	s.borrowerLoans = kept
}

func (m *Manager) removed(id table.InstanceID) bool {
	_, found := m.cfg.Lookup(id)
	return !found
}
