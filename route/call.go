package route

import (
	"context"
	"errors"
	"os"
	"time"

	"persimmonpick/fault"
	"persimmonpick/table"
)

// maxAttempts bounds the attempts of one request, not counting hedges.
const maxAttempts = 3

// call is the state of one request.
type call struct {
	r            *Router
	s            *service
	req          *Request
	tried        map[table.InstanceID]bool
	lastInstance table.Instance
	mayHaveRun   bool // an attempt may have run the request
}

// run makes attempts until one succeeds or no further attempt is allowed.
func (c *call) run(ctx context.Context) (Response, error) {
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
		if out.succeeded() || n == maxAttempts || !c.mayRetry(ctx, &out) {
			return c.finish(ctx, &out)
		}
	}
}

// mayRetry reports whether another attempt is allowed: the last one did not run the request or its kind is
// idempotent, and the retry budget has a token.
func (c *call) mayRetry(ctx context.Context, out *outcome) bool {
	if ctx.Err() != nil || out.abandoned || timedOut(out) {
		return false
	}
	if out.sent && !out.refused && c.req.Kind.NonIdempotent {
		return false
	}
	return c.r.budget.tryWithdraw()
}

// finish returns the response or error for the caller.
func (c *call) finish(ctx context.Context, out *outcome) (Response, error) {
	if out.err == nil && !out.refused {
		return out.response, nil
	}
	if !c.mayHaveRun {
		return Response{}, c.notRunError(ctx, out)
	}
	switch {
	case c.req.Kind.NonIdempotent:
		return Response{}, fault.Wrap(causeWithoutKind(out), fault.OutcomeUnknown, "request %s may have run", c.req.ID)
	case ctx.Err() != nil || timedOut(out):
		return Response{}, fault.Wrap(causeWithoutKind(out), fault.DeadlineExceeded, "request %s was not answered in time", c.req.ID)
	case fault.Of(out.err) == fault.BadAnswer:
		return Response{}, out.err
	}
	return Response{}, fault.Wrap(causeWithoutKind(out), fault.BackendFailed, "request %s was not answered", c.req.ID)
}

// notRunError returns an error of a kind that tells the caller that the request did not run.
func (c *call) notRunError(ctx context.Context, out *outcome) error {
	if out.refused {
		return fault.New(fault.Overloaded, "instance %s refused the request", out.inst.ID)
	}
	if ctx.Err() != nil || timedOut(out) {
		return fault.Wrap(causeWithoutKind(out), fault.Overloaded, "request %s was not sent in time", c.req.ID)
	}
	return fault.Wrap(causeWithoutKind(out), fault.NoInstance, "request %s could not be sent", c.req.ID)
}

// timedOut reports whether an attempt failed at its deadline. This can be visible before the context of the
// request has ended.
func timedOut(out *outcome) bool {
	return errors.Is(out.err, context.DeadlineExceeded) || errors.Is(out.err, os.ErrDeadlineExceeded)
}

// causeWithoutKind returns the error of an attempt without its kind, so that the error for the caller has one
// kind only.
func causeWithoutKind(out *outcome) error {
	if out.err == nil {
		return errors.New("refused by the backend server")
	}
	return errors.New(out.err.Error())
}

// try makes one attempt and, if the kind is idempotent, a hedge after the p95 latency of the kind.
func (c *call) try(ctx context.Context, g grant) outcome {
	results := make(chan outcome, 2)
	attempts := []*attempt{c.startAttempt(ctx, g, results)}
	failed := 0
	hedge, stop := c.hedgeTimer()
	defer stop()
	for {
		select {
		case out := <-results:
			c.mayHaveRun = c.mayHaveRun || (out.sent && !out.refused)
			failed++
			if out.succeeded() || failed == len(attempts) {
				return out
			}
		case <-hedge:
			hedge = nil
			if a := c.startHedge(ctx, results); a != nil {
				attempts = append(attempts, a)
			}
		case <-ctx.Done():
			return c.abandonAttempts(attempts, results)
		}
	}
}

// abandonAttempts ends a call whose caller left or whose deadline passed. Attempts that may have sent bytes
// continue in the background.
func (c *call) abandonAttempts(attempts []*attempt, results chan outcome) outcome {
	sent := false
	for _, a := range attempts {
		if a.abandon() {
			sent = true
		}
	}
	select {
	case out := <-results:
		if out.succeeded() {
			return out
		}
	default:
	}
	c.mayHaveRun = c.mayHaveRun || sent
	return outcome{err: context.DeadlineExceeded, sent: sent, abandoned: true, inst: c.lastInstance}
}

func (c *call) hedgeTimer() (<-chan time.Time, func()) {
	if !c.r.cfg.Hedge || c.req.Kind.NonIdempotent {
		return nil, func() {}
	}
	delay := c.r.latencies.hedgeDelay(c.req.Kind.ID, time.Now())
	if delay == 0 {
		return nil, func() {}
	}
	t := time.NewTimer(delay)
	return t.C, func() { t.Stop() }
}

// startHedge sends a second copy of the request to another instance that has a free local slot, if the retry
// budget allows it.
func (c *call) startHedge(ctx context.Context, results chan outcome) *attempt {
	g, ok := c.r.tryLocalSlot(c.s, c.r.instances(c.req.Kind.Service), c.req, c.tried)
	if !ok {
		return nil
	}
	if c.tried[g.inst.ID] || !c.r.budget.tryWithdraw() {
		g.release()
		return nil
	}
	return c.startAttempt(ctx, g, results)
}

// startAttempt runs an attempt in its own goroutine. The slot stays in use until the backend server has
// finished the request, or until the deadline if that cannot be known.
func (c *call) startAttempt(ctx context.Context, g grant, results chan outcome) *attempt {
	c.tried[g.inst.ID] = true
	c.lastInstance = g.inst
	deadline, _ := ctx.Deadline()
	actx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	a := &attempt{inst: g.inst, deadline: deadline, cancel: cancel}
	c.s.recordStart(g.inst.ID)
	s, req, r := c.s, c.req, c.r
	go func() {
		defer cancel()
		out := a.run(actx, r.transports.get(g.inst), req, int64(r.cfg.MaxAnswer))
		s.recordEnd(&out)
		if out.mayStillRun() {
			// The backend server stops at the deadline according to its own clock.
			time.AfterFunc(time.Until(deadline)+r.cfg.ClockBound, g.release)
		} else {
			g.release()
		}
		results <- out
	}()
	return a
}
