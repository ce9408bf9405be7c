package route

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"persimmonpick/fault"
	"persimmonpick/share"
	"persimmonpick/table"
)

// Config holds what a Router needs from its host.
type Config struct {
	Zone           table.ZoneID
	View           func() *table.View
	Slots          *share.Manager
	Dial           func(ctx context.Context, network, address string) (net.Conn, error) // nil dials TCP
	Observe        func(Observation)                                                    // may be nil
	MaxAnswer      table.Bytes
	MaxQueue       int // requests that may wait for a slot, per service
	RequestTimeout time.Duration
	MaxRequestTime time.Duration
	ClockBound     time.Duration // error of a backend server's clock; share's MaxRequestTime is longer by as much
	RetryBudget    float64       // retries and hedges as a share of requests
	Hedge          bool
	EjectAfter     int
	EjectFloor     float64
	ZonePreference time.Duration
}

// Router serves requests whose callers wait.
type Router struct {
	cfg        Config
	transports *transports
	budget     *budget
	tails      *tails

	mu       sync.Mutex
	services map[table.ServiceID]*service
	stopping bool
	inflight sync.WaitGroup // requests
	serving  atomic.Int64   // the same as a number
	pruned   table.Offset   // Applied of the view that transports were last pruned for
}

// New returns a Router; it registers with cfg.Slots to learn of freed slots.
func New(cfg Config) *Router {
	if cfg.Observe == nil {
		cfg.Observe = func(Observation) {}
	}
	r := &Router{
		cfg:      cfg,
		budget:   newBudget(cfg.RetryBudget),
		tails:    newTails(),
		services: map[table.ServiceID]*service{},
	}
	r.transports = newTransports(&r.cfg)
	cfg.Slots.OnFree(r.slotFreed)
	return r
}

// Serve forwards a request and returns the whole answer, or an error that says whether the request may have run.
func (r *Router) Serve(ctx context.Context, req Request) (Response, error) {
	start := time.Now()
	if !r.enter() {
		return Response{}, fault.New(fault.Stopping, "this host takes no new requests")
	}
	defer r.leave()
	ctx, cancel := context.WithDeadline(ctx, r.deadline(&req, start))
	defer cancel()
	r.budget.earn()
	c := &call{r: r, s: r.service(req.Kind.Service), req: &req, tried: map[table.InstanceID]bool{}}
	ans, err := c.serve(ctx)
	r.observe(c, ans, err, start)
	return ans, err
}

// deadline returns when the request must have ended; MaxRequestTime from arrival is what the loans of slots rely on.
func (r *Router) deadline(req *Request, start time.Time) time.Time {
	timeout := r.cfg.RequestTimeout
	if req.Kind.Timeout > 0 {
		timeout = time.Duration(req.Kind.Timeout) * time.Millisecond
	}
	d := start.Add(min(timeout, r.cfg.MaxRequestTime))
	if !req.Deadline.IsZero() && req.Deadline.Before(d) {
		// The monotonic clock of start keeps a step of the wall clock from extending the request.
		d = start.Add(req.Deadline.Sub(start))
	}
	return d
}

func (r *Router) observe(c *call, ans Response, err error, start time.Time) {
	now := time.Now()
	kind := fault.Of(err)
	if err == nil && ans.Status >= 500 {
		kind = fault.BackendFailed
	}
	if err == nil {
		r.tails.add(c.req.Kind.ID, now.Sub(start), now)
	}
	r.cfg.Observe(Observation{
		Kind:     c.req.Kind.ID,
		Instance: c.last.ID,
		Worker:   c.last.Worker,
		Latency:  now.Sub(start),
		Fault:    kind,
		At:       now,
	})
}

// InFlight returns the number of requests being served.
func (r *Router) InFlight() int {
	return int(r.serving.Load())
}

// Drain stops taking new requests and waits for those in flight until ctx ends.
func (r *Router) Drain(ctx context.Context) error {
	r.mu.Lock()
	r.stopping = true
	r.mu.Unlock()
	done := make(chan struct{})
	go func() {
		r.inflight.Wait()
		close(done)
	}()
	select {
	case <-done:
		r.transports.keep(func(table.InstanceID) bool { return false })
		return nil
	case <-ctx.Done():
		return fault.Wrap(context.Cause(ctx), fault.Stopping, "requests are still in flight")
	}
}

func (r *Router) enter() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopping {
		return false
	}
	r.inflight.Add(1)
	r.serving.Add(1)
	return true
}

func (r *Router) leave() {
	r.serving.Add(-1)
	r.inflight.Done()
}

func (r *Router) service(id table.ServiceID) *service {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[id]
	if s == nil {
		s = newService(&r.cfg)
		r.services[id] = s
	}
	return s
}

func (r *Router) slotFreed(inst table.Instance) {
	r.service(inst.Service).queue.signal()
}

// instances returns the instances of a service, and drops the transports of instances that a newer view no longer has.
func (r *Router) instances(id table.ServiceID) []table.Instance {
	v := r.cfg.View()
	if v == nil {
		return nil
	}
	if r.newer(v) {
		open := map[table.InstanceID]bool{}
		for _, list := range v.Instances {
			for _, inst := range list {
				open[inst.ID] = true
			}
		}
		r.transports.keep(func(id table.InstanceID) bool { return open[id] })
	}
	return v.Instances[id]
}

func (r *Router) newer(v *table.View) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if v.Applied <= r.pruned {
		return false
	}
	r.pruned = v.Applied
	return true
}
