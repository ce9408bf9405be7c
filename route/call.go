package route

import (
	"context"
	"errors"
	"os"
	"time"

	"persimmonpick/fault"
	"persimmonpick/table"
)

// maxAttempts bounds the attempts of one request, hedges not counted.
const maxAttempts = 3

// call is the state of one request.
type call struct {
	r     *Router
	s     *service
	req   *Request
	tried map[table.InstanceID]bool
	last  table.Instance
	sent  bool // some attempt may have run the request
}

// serve makes attempts until one may be answered to the caller.
func (c *call) serve(ctx context.Context) (Response, error) {
	var out outcome
	for n := 1; ; n++ {
		g, err := c.r.acquire(ctx, c.s, c.req, c.tried)
		if err != nil && n == 1 {
			return Response{}, err
		}
		if err != nil {
			return c.finish(ctx, &out)
		}
		out = c.try(ctx, g)
		if out.good() || n == maxAttempts || !c.mayRetry(ctx, &out) {
			return c.finish(ctx, &out)
		}
	}
}

// mayRetry allows another attempt where the last one did not run or the kind is idempotent.
func (c *call) mayRetry(ctx context.Context, out *outcome) bool {
	if ctx.Err() != nil || out.abandoned || outOfTime(out) {
		return false
	}
	if out.sent && !out.refused && c.req.Kind.NonIdempotent {
		return false
	}
	return c.r.budget.spend()
}

// finish returns the answer or the error for the caller.
func (c *call) finish(ctx context.Context, out *outcome) (Response, error) {
	if out.err == nil && !out.refused {
		return out.answer, nil
	}
	if !c.sent {
		return Response{}, c.notRun(ctx, out)
	}
	switch {
	case c.req.Kind.NonIdempotent:
		return Response{}, fault.Wrap(cause(out), fault.OutcomeUnknown, "request %s may have run", c.req.ID)
	case ctx.Err() != nil || outOfTime(out):
		return Response{}, fault.Wrap(cause(out), fault.DeadlineExceeded, "request %s was not answered in time", c.req.ID)
	case fault.Of(out.err) == fault.BadAnswer:
		return Response{}, out.err
	}
	return Response{}, fault.Wrap(cause(out), fault.BackendFailed, "request %s was not answered", c.req.ID)
}

// notRun returns an error of a kind that says that the request did not run.
func (c *call) notRun(ctx context.Context, out *outcome) error {
	if out.refused {
		return fault.New(fault.Overloaded, "instance %s refused the request", out.inst.ID)
	}
	if ctx.Err() != nil || outOfTime(out) {
		return fault.Wrap(cause(out), fault.Overloaded, "request %s was not sent in time", c.req.ID)
	}
	return fault.Wrap(cause(out), fault.NoInstance, "request %s could not be sent", c.req.ID)
}

// outOfTime says whether an attempt ended at its deadline, which can be seen before that of the request.
func outOfTime(out *outcome) bool {
	return errors.Is(out.err, context.DeadlineExceeded) || errors.Is(out.err, os.ErrDeadlineExceeded)
}

// cause strips the kind of an attempt's error, so that the kind of the request's error is the only one.
func cause(out *outcome) error {
	if out.err == nil {
		return errors.New("refused by the backend server")
	}
	return errors.New(out.err.Error())
}

// try makes one attempt and, where the kind allows it, a hedge after the usual tail latency.
func (c *call) try(ctx context.Context, g grant) outcome {
	results := make(chan outcome, 2)
	attempts := []*attempt{c.start(ctx, g, results)}
	failed := 0
	hedge, stop := c.hedgeTimer()
	defer stop()
	for {
		select {
		case out := <-results:
			c.sent = c.sent || (out.sent && !out.refused)
			failed++
			if out.good() || failed == len(attempts) {
				return out
			}
		case <-hedge:
			hedge = nil
			if a := c.startHedge(ctx, results); a != nil {
				attempts = append(attempts, a)
			}
		case <-ctx.Done():
			return c.leave(attempts, results)
		}
	}
}

// leave ends the wait of a caller that left or whose time is up; attempts of which bytes were sent run on alone.
func (c *call) leave(attempts []*attempt, results chan outcome) outcome {
	sent := false
	for _, a := range attempts {
		if a.abandon() {
			sent = true
		}
	}
	select {
	case out := <-results:
		if out.good() {
			return out
		}
	default:
	}
	c.sent = c.sent || sent
	return outcome{err: context.DeadlineExceeded, sent: sent, abandoned: true, inst: c.last}
}

func (c *call) hedgeTimer() (<-chan time.Time, func()) {
	if !c.r.cfg.Hedge || c.req.Kind.NonIdempotent {
		return nil, func() {}
	}
	delay := c.r.tails.hedgeDelay(c.req.Kind.ID, time.Now())
	if delay == 0 {
		return nil, func() {}
	}
	t := time.NewTimer(delay)
	return t.C, func() { t.Stop() }
}

// startHedge sends a second copy to another instance with a slot at hand, if the budget allows.
func (c *call) startHedge(ctx context.Context, results chan outcome) *attempt {
	g, ok := c.r.atHand(c.s, c.r.instances(c.req.Kind.Service), c.req, c.tried)
	if !ok {
		return nil
	}
	if c.tried[g.inst.ID] || !c.r.budget.spend() {
		g.release()
		return nil
	}
	return c.start(ctx, g, results)
}

// start runs an attempt on its own: its slot stays in use until the backend server is done with it or the deadline.
func (c *call) start(ctx context.Context, g grant, results chan outcome) *attempt {
	c.tried[g.inst.ID] = true
	c.last = g.inst
	deadline, _ := ctx.Deadline()
	actx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	a := &attempt{inst: g.inst, deadline: deadline, cancel: cancel}
	c.s.begin(g.inst.ID)
	s, req, r := c.s, c.req, c.r
	go func() {
		defer cancel()
		out := a.run(actx, r.transports.get(g.inst), req, int64(r.cfg.MaxAnswer))
		s.end(&out)
		if out.working() {
			// The backend server stops at the deadline by its own clock.
			time.AfterFunc(time.Until(deadline)+r.cfg.ClockBound, g.release)
		} else {
			g.release()
		}
		results <- out
	}()
	return a
}
