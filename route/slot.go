package route

import (
	"context"
	"time"

	"persimmonpick/fault"
	"persimmonpick/table"
)

const (
	// parallelBorrows is how many owners are asked at once for one service, so that a dead owner does not hold up the others.
	parallelBorrows = 4
	// pumpPeriod bounds the wait for slots that come free without a signal, such as after the pause of an owner.
	pumpPeriod = 2 * time.Millisecond
	// maxPicks bounds the choices that lose their slot to another goroutine before the request joins the queue.
	maxPicks = 8
)

// acquire returns a slot for a request, at once or after its turn in the queue.
func (r *Router) acquire(ctx context.Context, s *service, req *Request, tried map[table.InstanceID]bool) (grant, error) {
	instances := r.instances(req.Kind.Service)
	if len(instances) == 0 {
		return grant{}, fault.New(fault.NoInstance, "service %s has no instance", req.Kind.Service)
	}
	if s.queue.length() == 0 {
		if g, ok := r.atHand(s, instances, req, tried); ok {
			return g, nil
		}
	}
	return r.wait(ctx, s, req, tried)
}

func (r *Router) wait(ctx context.Context, s *service, req *Request, tried map[table.InstanceID]bool) (grant, error) {
	w := &waiter{req: req, tried: tried, ready: make(chan grant, 1)}
	deadline, _ := ctx.Deadline()
	start, err := s.queue.join(w, r.cfg.MaxQueue, time.Until(deadline), s.usual())
	if err != nil {
		return grant{}, err
	}
	if start {
		go r.pump(s, req.Kind.Service)
	}
	select {
	case g := <-w.ready:
		return g, nil
	case <-ctx.Done():
	}
	if !s.queue.leave(w) {
		g := <-w.ready
		g.release()
	}
	s.queue.signal()
	return grant{}, fault.Wrap(context.Cause(ctx), fault.Overloaded, "no slot of service %s came free in time", req.Kind.Service)
}

// pump hands slots to the waiters of a service in order, until none waits.
func (r *Router) pump(s *service, id table.ServiceID) {
	tick := time.NewTicker(pumpPeriod)
	defer tick.Stop()
	for {
		w, n := s.queue.head()
		if w == nil {
			return
		}
		instances := r.instances(id)
		if g, ok := r.atHand(s, instances, w.req, w.tried); ok {
			if !s.queue.give(w, g) {
				g.release()
			}
			continue
		}
		r.borrow(s, instances, w, n)
		select {
		case <-s.queue.wake:
		case <-tick.C:
		}
	}
}

// atHand takes a slot that needs no call.
func (r *Router) atHand(s *service, instances []table.Instance, req *Request, tried map[table.InstanceID]bool) (grant, bool) {
	has := func(inst table.Instance) bool { return r.cfg.Slots.LocalSlots(inst) > 0 }
	for range maxPicks {
		inst, ok := s.pick(instances, req, tried, has)
		if !ok {
			break
		}
		// Another goroutine may have taken the slot in between.
		if release, ok := r.cfg.Slots.TryAcquire(inst); ok {
			return grant{inst, release}, true
		}
	}
	return grant{}, false
}

// borrow asks owners for slots on behalf of n waiters.
func (r *Router) borrow(s *service, instances []table.Instance, w *waiter, n int) {
	want := (n + parallelBorrows - 1) / parallelBorrows
	asked := map[table.InstanceID]bool{}
	usable := func(inst table.Instance) bool {
		return !asked[inst.ID] && r.cfg.Slots.CanBorrow(inst)
	}
	for s.queue.startBorrow(parallelBorrows) {
		inst, ok := s.pick(instances, w.req, w.tried, usable)
		if !ok {
			s.queue.cancelBorrow()
			return
		}
		asked[inst.ID] = true
		go func() {
			defer s.queue.endBorrow()
			// A failed call is not repeated before the pause that share keeps.
			_, _ = r.cfg.Slots.Borrow(context.Background(), inst, want)
		}()
	}
}
