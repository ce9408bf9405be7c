package route

import (
	"context"
	"time"

	"persimmonpick/fault"
	"persimmonpick/table"
)

const (
	// maxParallelBorrows is how many owners are asked at once for slots of one service. With several calls in
	// flight, an owner that is down does not delay the others.
	maxParallelBorrows = 4
	// slotPollInterval bounds the wait for slots that become free without a signal, for instance when an
	// owner may be asked again.
	slotPollInterval = 2 * time.Millisecond
	// maxPickAttempts bounds the attempts to take a local slot, which other goroutines may take first, before
	// the request is queued.
	maxPickAttempts = 8
)

// acquire returns a slot for a request, immediately or after waiting in the queue.
func (r *Router) acquire(ctx context.Context, s *service, req *Request, tried map[table.InstanceID]bool) (grant, error) {
	instances := r.instances(req.Kind.Service)
	if len(instances) == 0 {
		return grant{}, fault.New(fault.NoInstance, "service %s has no instance", req.Kind.Service)
	}
	if s.queue.length() == 0 {
		if g, ok := r.tryLocalSlot(s, instances, req, tried); ok {
			return g, nil
		}
	}
	return r.waitForSlot(ctx, s, req, tried)
}

func (r *Router) waitForSlot(ctx context.Context, s *service, req *Request, tried map[table.InstanceID]bool) (grant, error) {
	w := &waiter{req: req, tried: tried, ready: make(chan grant, 1)}
	deadline, _ := ctx.Deadline()
	start, err := s.queue.enqueue(w, r.cfg.MaxQueue, time.Until(deadline), s.typicalLatency())
	if err != nil {
		return grant{}, err
	}
	if start {
		go r.grantSlots(s, req.Kind.Service)
	}
	select {
	case g := <-w.ready:
		return g, nil
	case <-ctx.Done():
	}
	if !s.queue.remove(w) {
		g := <-w.ready
		g.release()
	}
	s.queue.signal()
	return grant{}, fault.Wrap(context.Cause(ctx), fault.Overloaded, "no slot of service %s came free in time", req.Kind.Service)
}

// grantSlots grants slots to the waiters of a service in order of arrival, until there are none.
func (r *Router) grantSlots(s *service, id table.ServiceID) {
	tick := time.NewTicker(slotPollInterval)
	defer tick.Stop()
	for {
		w, n := s.queue.head()
		if w == nil {
			return
		}
		instances := r.instances(id)
		if g, ok := r.tryLocalSlot(s, instances, w.req, w.tried); ok {
			if !s.queue.grantTo(w, g, s.typicalLatency()) {
				g.release()
			}
			continue
		}
		r.borrowSlots(s, instances, w, n)
		select {
		case <-s.queue.wake:
		case <-tick.C:
		}
	}
}

// tryLocalSlot takes a slot that is available on this host without a call to its owner.
func (r *Router) tryLocalSlot(s *service, instances []table.Instance, req *Request, tried map[table.InstanceID]bool) (grant, bool) {
	has := func(inst table.Instance) bool { return r.cfg.Slots.LocalSlots(inst) > 0 }
	for range maxPickAttempts {
		inst, ok := s.pick(instances, req, tried, has)
		if !ok {
			break
		}
		// Another goroutine may have taken the slot since the pick.
		if release, ok := r.cfg.Slots.TryAcquire(inst); ok {
			return grant{inst, release}, true
		}
	}
	return grant{}, false
}

// borrowSlots asks slot owners for slots on behalf of n waiters.
func (r *Router) borrowSlots(s *service, instances []table.Instance, w *waiter, n int) {
	want := (n + maxParallelBorrows - 1) / maxParallelBorrows
	asked := map[table.InstanceID]bool{}
	usable := func(inst table.Instance) bool {
		return !asked[inst.ID] && r.cfg.Slots.CanBorrow(inst)
	}
	for s.queue.startBorrow(maxParallelBorrows) {
		inst, ok := s.pick(instances, w.req, w.tried, usable)
		if !ok {
			s.queue.cancelBorrow()
			return
		}
		asked[inst.ID] = true
		go func() {
			defer s.queue.endBorrow()
			// After a failed call, package share makes CanBorrow report false for some time.
			_, _ = r.cfg.Slots.Borrow(context.Background(), inst, want)
		}()
	}
}
