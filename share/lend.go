package share

import (
	"context"
	"time"

	"persimmonpick/fault"
	"persimmonpick/table"
)

// HandleBorrow lends free slots of an instance that this seat owns; a repeated call gets the same reply.
func (m *Manager) HandleBorrow(req BorrowRequest) (BorrowReply, error) {
	if Owner(m.cfg.Seats, req.Instance) != m.cfg.Seat {
		return BorrowReply{}, fault.New(fault.Conflict, "seat %s does not own instance %s", m.cfg.Seat, req.Instance)
	}
	inst, found := m.cfg.Lookup(req.Instance)
	if !found {
		return BorrowReply{}, fault.New(fault.NotFound, "instance %s is not in use", req.Instance)
	}
	if !m.cfg.Usable() {
		return BorrowReply{}, fault.New(fault.NotCurrent, "seat %s may not lend slots", m.cfg.Seat)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return BorrowReply{}, fault.New(fault.Stopping, "seat %s lends no more slots", m.cfg.Seat)
	}
	s := m.instance(inst)
	now := time.Now()
	free := s.freeSlots(now)
	if l := s.ownerLoans[req.Loan]; l != nil {
		return BorrowReply{Slots: l.slots}, nil
	}
	n := max(0, min(req.Slots, free))
	if n == 0 {
		m.startRecall(s, now, false)
	}
	if n > 0 {
		s.ownerLoans[req.Loan] = &ownerLoan{slots: n, end: now.Add(m.cfg.reclaimAfter())}
	}
	return BorrowReply{Slots: n}, nil
}

// HandleReturn takes back slots of a loan; it never raises a loan and never frees a slot twice.
func (m *Manager) HandleReturn(req ReturnRequest) {
	m.mu.Lock()
	s := m.instances[req.Instance]
	if s == nil || s.owner != m.cfg.Seat {
		m.mu.Unlock()
		return
	}
	m.takeBack(s, req, time.Now())
	inst := s.inst
	m.mu.Unlock()
	m.notifyFree(s, inst)
}

func (m *Manager) takeBack(s *instanceState, req ReturnRequest, now time.Time) {
	l := s.ownerLoans[req.Loan]
	if l == nil {
		// The Borrow call may still arrive after its Return; this entry makes it grant no slots.
		s.ownerLoans[req.Loan] = &ownerLoan{end: now.Add(m.cfg.reclaimAfter())}
		return
	}
	l.slots = max(0, min(l.slots, req.Keep))
}

// startRecall recalls idle slots of an instance from its borrowers, at most once per recallInterval. If soon is
// set, it also recalls slots in use, which are returned when their request ends.
func (m *Manager) startRecall(s *instanceState, now time.Time, soon bool) {
	if !m.canRecall(s, now) {
		return
	}
	s.lastRecall = now
	seats := map[table.SeatID]bool{}
	for id, l := range s.ownerLoans {
		if l.slots > 0 {
			seats[id.Borrower] = true
		}
	}
	if len(seats) == 0 {
		return
	}
	s.recalling = true
	go m.recall(s, RecallRequest{Instance: s.inst.ID, Soon: soon}, seats)
}

func (m *Manager) canRecall(s *instanceState, now time.Time) bool {
	return m.cfg.Recall != nil && len(s.ownerLoans) > 0 && !s.recalling && now.Sub(s.lastRecall) >= recallInterval
}

func (m *Manager) recall(s *instanceState, req RecallRequest, seats map[table.SeatID]bool) {
	done := make(chan struct{})
	for seat := range seats {
		go func() {
			m.recallFrom(seat, req)
			done <- struct{}{}
		}()
	}
	for range seats {
		<-done
	}
	m.mu.Lock()
	s.recalling = false
	m.mu.Unlock()
}

func (m *Manager) recallFrom(seat table.SeatID, req RecallRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), m.cfg.callTimeout())
	defer cancel()
	reply, err := m.cfg.Recall(ctx, seat, req)
	if err != nil {
		return
	}
	for _, ret := range reply.Returns {
		m.HandleReturn(ret)
	}
}
