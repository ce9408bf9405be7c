package share

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"persimmonpick/fault"
	"persimmonpick/table"
)

// Manager allocates slots of instances to the requests of one entry host.
type Manager struct {
	cfg       Config
	processID uint64

	mu             sync.Mutex
	lastLoanNumber uint64 // of the last loan requested
	instances      map[table.InstanceID]*instanceState
	onFree         func(table.Instance)
	closed         bool // own slots are no longer used or loaned
}

// New returns a Manager; call Run to return borrowed slots.
func New(cfg Config) *Manager {
	return &Manager{
		cfg:       cfg,
		processID: rand.Uint64(),
		instances: map[table.InstanceID]*instanceState{},
		onFree:    func(table.Instance) {},
	}
}

// SettleTime is how long a new process of a seat must not use its slots after its HostJoined record has passed, because
// loans made by the previous process last that long.
func (m *Manager) SettleTime() time.Duration {
	return m.cfg.reclaimAfter()
}

// Close stops using and lending slots that this seat owns; requests and loans in progress run to their end.
func (m *Manager) Close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closed = true
}

// Idle reports whether no slot that this seat owns is in use or loaned.
func (m *Manager) Idle() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for _, s := range m.instances {
		s.dropExpired(now)
		if s.ownUsed > 0 || s.loanedSlots() > 0 {
			return false
		}
	}
	return true
}

// OnFree sets a function that is called, without locks held, whenever a slot may have become free. Call OnFree
// before any other method.
func (m *Manager) OnFree(f func(table.Instance)) {
	m.onFree = f
}

// Connections returns the maximum number of connections from this host to an instance.
func (m *Manager) Connections(inst table.Instance) int {
	return max(1, inst.Connections/max(1, len(m.cfg.Seats)))
}

// LocalSlots returns the number of slots of an instance that this host can use without a call to a peer.
func (m *Manager) LocalSlots(inst table.Instance) int {
	usable := m.cfg.Usable()
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.instance(inst)
	now := time.Now()
	n := s.idleSlots(now)
	if s.owner == m.cfg.Seat {
		n = 0
		if usable {
			n = s.freeSlots(now)
		}
	}
	return max(0, min(n, m.Connections(inst)-s.used))
}

// TryAcquire takes a local slot if there is one. The request must end within MaxRequestTime of a time read before this
// call.
func (m *Manager) TryAcquire(inst table.Instance) (release func(), ok bool) {
	// Read Usable before taking the slot: the limit on the end of the request covers a process freeze in between.
	usable := m.cfg.Usable()
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.instance(inst)
	if s.used >= m.Connections(inst) {
		return nil, false
	}
	now := time.Now()
	if s.owner == m.cfg.Seat {
		return m.tryAcquireOwn(s, usable, now)
	}
	l := s.idleLoan(now)
	if l == nil {
		return nil, false
	}
	l.used++
	s.used++
	return m.releaser(s, l), true
}

func (m *Manager) tryAcquireOwn(s *instanceState, usable bool, now time.Time) (func(), bool) {
	if !usable || m.closed {
		return nil, false
	}
	if s.freeSlots(now) <= 0 {
		m.startRecall(s, now, true)
		return nil, false
	}
	s.ownUsed++
	s.used++
	return m.releaser(s, nil), true
}

// releaser returns an idempotent function that releases the slot.
func (m *Manager) releaser(s *instanceState, l *borrowerLoan) func() {
	var once sync.Once
	return func() {
		once.Do(func() { m.release(s, l) })
	}
}

func (m *Manager) release(s *instanceState, l *borrowerLoan) {
	m.mu.Lock()
	s.used--
	if l == nil {
		s.ownUsed--
	} else {
		now := time.Now()
		l.used--
		l.lastUsed = now
		if l.recalled || !now.Before(l.end) {
			req := s.releaseIdle(l)
			go m.sendReturn(s, l, req)
		}
	}
	inst := s.inst
	m.mu.Unlock()
	m.notifyFree(s, inst)
}

func (m *Manager) notifyFree(s *instanceState, inst table.Instance) {
	select {
	case s.freed <- struct{}{}:
	default:
	}
	m.onFree(inst)
}

// Acquire takes a slot of an instance, borrowing from its owner or waiting as needed. It fails with
// fault.Overloaded when ctx ends.
func (m *Manager) Acquire(ctx context.Context, inst table.Instance) (release func(), err error) {
	m.mu.Lock()
	s := m.instance(inst)
	m.mu.Unlock()
	for ctx.Err() == nil {
		if release, ok := m.TryAcquire(inst); ok {
			return release, nil
		}
		if n, _ := m.Borrow(ctx, inst, 1); n > 0 {
			continue
		}
		select {
		case <-s.freed:
		case <-time.After(pollPeriod):
		case <-ctx.Done():
		}
	}
	return nil, fault.Wrap(context.Cause(ctx), fault.Overloaded, "no slot of instance %s came free in time", inst.ID)
}

func (m *Manager) instance(inst table.Instance) *instanceState {
	s := m.instances[inst.ID]
	if s == nil {
		s = &instanceState{
			owner:      Owner(m.cfg.Seats, inst.ID),
			freed:      make(chan struct{}, 1),
			ownerLoans: map[LoanID]*ownerLoan{},
		}
		m.instances[inst.ID] = s
	}
	s.inst = inst
	return s
}
