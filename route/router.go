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

// Config holds the settings of a Router and its connections to the host.
type Config struct {
	Zone           table.ZoneID
	View           func() *table.View
	Slots          *share.Manager
	Dial           func(ctx context.Context, network, address string) (net.Conn, error) // nil means TCP
	Observe        func(Observation)                                                    // may be nil
	MaxAnswer      table.Bytes
	MaxQueue       int // requests per service that may wait for a slot
	RequestTimeout time.Duration
	MaxRequestTime time.Duration
	// ClockBound is the largest error of a backend server's clock. MaxRequestTime of package share is longer
	// by as much.
	ClockBound     time.Duration
	RetryBudget    float64 // retries and hedges as a share of requests
	Hedge          bool
	EjectAfter     int
	EjectFloor     float64
	ZonePreference time.Duration
}

// Router forwards requests whose callers wait to the instances of their service.
type Router struct {
	cfg        Config
	transports *transportPool
	budget     *retryBudget
	latencies  *latencyTracker

	mu            sync.Mutex
	services      map[table.ServiceID]*service
	stopping      bool
	inflight      sync.WaitGroup // one per request being served
	inFlightCount atomic.Int64   // number of requests being served
	pruned        table.Offset   // Applied of the view that transports were last pruned with
}

// New returns a Router. It registers with cfg.Slots to be notified of freed slots.
func New(cfg Config) *Router {
	if cfg.Observe == nil {
		cfg.Observe = func(Observation) {}
	}
	r := &Router{
		cfg:       cfg,
		budget:    newRetryBudget(cfg.RetryBudget),
		latencies: newLatencyTracker(),
		services:  map[table.ServiceID]*service{},
	}
	r.transports = newTransportPool(&r.cfg)
	cfg.Slots.OnFree(r.slotFreed)
	return r
}

// Serve forwards a request and returns the complete response. Otherwise it returns an error whose kind says
// whether the request may have run.
func (r *Router) Serve(ctx context.Context, req Request) (Response, error) {
	start := time.Now()
	if !r.beginRequest() {
		return Response{}, fault.New(fault.Stopping, "this host takes no new requests")
	}
	defer r.endRequest()
	ctx, cancel := context.WithDeadline(ctx, r.deadline(&req, start))
	defer cancel()
	r.budget.deposit()
	c := &call{r: r, s: r.service(req.Kind.Service), req: &req, tried: map[table.InstanceID]bool{}}
	ans, err := c.run(ctx)
	r.observe(c, ans, err, start)
	return ans, err
}

// deadline returns when the request must have ended. Slot loans rely on the limit of MaxRequestTime after arrival.
func (r *Router) deadline(req *Request, start time.Time) time.Time {
	timeout := r.cfg.RequestTimeout
	if req.Kind.Timeout > 0 {
		timeout = time.Duration(req.Kind.Timeout) * time.Millisecond
	}
	d := start.Add(min(timeout, r.cfg.MaxRequestTime))
	if !req.Deadline.IsZero() && req.Deadline.Before(d) {
		// Adding to start, which has a monotonic reading, keeps a step of the wall clock from extending the request.
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
		r.latencies.add(c.req.Kind.ID, now.Sub(start), now)
	}
	r.cfg.Observe(Observation{
		Kind:     c.req.Kind.ID,
		Instance: c.lastInstance.ID,
		Worker:   c.lastInstance.Worker,
		Latency:  now.Sub(start),
		Fault:    kind,
		At:       now,
	})
}

// InFlight returns the number of requests being served.
func (r *Router) InFlight() int {
	return int(r.inFlightCount.Load())
}

// Drain stops accepting requests and waits for those in flight, or returns a fault.Stopping error when ctx ends.
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
		r.transports.retain(func(table.InstanceID) bool { return false })
		return nil
	case <-ctx.Done():
		return fault.Wrap(context.Cause(ctx), fault.Stopping, "requests are still in flight")
	}
}

func (r *Router) beginRequest() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopping {
		return false
	}
	r.inflight.Add(1)
	r.inFlightCount.Add(1)
	return true
}

func (r *Router) endRequest() {
	r.inFlightCount.Add(-1)
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

// instances returns the instances of a service. When the view is newer than the last one seen, it drops the
// transports of instances that are gone.
func (r *Router) instances(id table.ServiceID) []table.Instance {
	v := r.cfg.View()
	if v == nil {
		return nil
	}
	if r.advancePruned(v) {
		open := map[table.InstanceID]bool{}
		for _, list := range v.Instances {
			for _, inst := range list {
				open[inst.ID] = true
			}
		}
		r.transports.retain(func(id table.InstanceID) bool { return open[id] })
	}
	return v.Instances[id]
}

// advancePruned reports whether v is newer than the view that transports were last pruned with, and records it.
func (r *Router) advancePruned(v *table.View) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if v.Applied <= r.pruned {
		return false
	}
	r.pruned = v.Applied
	return true
}
