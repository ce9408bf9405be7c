package share

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"persimmonpick/fault"
	"persimmonpick/table"
)

// Manager hands out slots of instances to the requests of one entry host.
type Manager struct {
	cfg     Config
	process uint64

	mu     sync.Mutex
	number uint64 // of the last loan asked for
	states map[table.InstanceID]*state
	onFree func(table.Instance)
	closed bool // own slots are neither used nor lent any more
}

// New returns a Manager; Run must be called for loans to be returned.
func New(cfg Config) *Manager {
	return &Manager{
		cfg:     cfg,
		process: rand.Uint64(),
		states:  map[table.InstanceID]*state{},
		onFree:  func(table.Instance) {},
	}
}

// SettleTime is how long a new process of a seat must leave its slots alone after its HostJoined has passed: loans of the process before it last as long.
func (m *Manager) SettleTime() time.Duration {
	return m.cfg.hold()
}

// Close stops the use and the lending of slots that this seat owns; those in use or lent end by themselves.
func (m *Manager) Close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closed = true
}

// Idle says whether no slot of an instance that this seat owns is in use or lent.
func (m *Manager) Idle() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for _, s := range m.states {
		s.dropEnded(now)
		if s.own > 0 || s.lentSlots() > 0 {
			return false
		}
	}
	return true
}

// OnFree sets a function that is called without locks held whenever a slot may have come to hand; call it before any other method.
func (m *Manager) OnFree(f func(table.Instance)) {
	m.onFree = f
}

// Connections returns how many connections this host may have to an instance.
func (m *Manager) Connections(inst table.Instance) int {
	return max(1, inst.Connections/max(1, len(m.cfg.Seats)))
}

// LocalSlots returns how many slots of an instance this host can use without a call.
func (m *Manager) LocalSlots(inst table.Instance) int {
	usable := m.cfg.Usable()
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.state(inst)
	now := time.Now()
	n := s.idleSlots(now)
	if s.owner == m.cfg.Seat {
		n = 0
		if usable {
			n = s.free(now)
		}
	}
	return max(0, min(n, m.Connections(inst)-s.used))
}

// TryAcquire takes a slot that is at hand. Its request must end within MaxRequestTime of a time read before this call.
func (m *Manager) TryAcquire(inst table.Instance) (release func(), ok bool) {
	// Usable is read before the slot is taken: a freeze in between is covered by the bound on the end of the request.
	usable := m.cfg.Usable()
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.state(inst)
	if s.used >= m.Connections(inst) {
		return nil, false
	}
	now := time.Now()
	if s.owner == m.cfg.Seat {
		return m.tryOwn(s, usable, now)
	}
	l := s.idleLoan(now)
	if l == nil {
		return nil, false
	}
	l.used++
	s.used++
	return m.releaser(s, l), true
}

func (m *Manager) tryOwn(s *state, usable bool, now time.Time) (func(), bool) {
	if !usable || m.closed {
		return nil, false
	}
	if s.free(now) <= 0 {
		m.startRecall(s, now, true)
		return nil, false
	}
	s.own++
	s.used++
	return m.releaser(s, nil), true
}

// releaser returns a function that gives the slot back once, however often it is called.
func (m *Manager) releaser(s *state, l *loan) func() {
	var once sync.Once
	return func() {
		once.Do(func() { m.release(s, l) })
	}
}

func (m *Manager) release(s *state, l *loan) {
	m.mu.Lock()
	s.used--
	if l == nil {
		s.own--
	} else {
		now := time.Now()
		l.used--
		l.idle = now
		if l.wanted || !now.Before(l.end) {
			req := s.giveUp(l)
			go m.sendReturn(s, l, req)
		}
	}
	inst := s.inst
	m.mu.Unlock()
	m.signal(s, inst)
}

func (m *Manager) signal(s *state, inst table.Instance) {
	select {
	case s.freed <- struct{}{}:
	default:
	}
	m.onFree(inst)
}

// Acquire takes a slot of an instance, borrowing from its owner or waiting as needed; it fails with fault.Overloaded when ctx ends.
func (m *Manager) Acquire(ctx context.Context, inst table.Instance) (release func(), err error) {
	m.mu.Lock()
	s := m.state(inst)
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

func (m *Manager) state(inst table.Instance) *state {
	s := m.states[inst.ID]
	if s == nil {
		s = &state{
			owner: Owner(m.cfg.Seats, inst.ID),
			freed: make(chan struct{}, 1),
			lent:  map[LoanID]*lent{},
		}
		m.states[inst.ID] = s
	}
	s.inst = inst
	return s
}
