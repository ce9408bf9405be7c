package claim

import (
	"context"
	"time"

	"persimmonpick/fault"
	"persimmonpick/journal"
	"persimmonpick/route"
	"persimmonpick/table"
)

const (
	firstPause   = 50 * time.Millisecond
	longestPause = 5 * time.Second
)

// run carries out a claimed request to its end, even if the caller leaves, and records the outcome.
func (g *Guard) run(ctx context.Context, e *entry, run func(context.Context) (route.Response, error)) (route.Response, error) {
	end := journal.ClaimEnded{State: table.ClaimUnknown, Fault: fault.Internal}
	// Deferred, so that a panic in run is recorded as unknown.
	defer func() {
		g.finish(e, end)
		g.record(ctx, e)
	}()
	runCtx, cancel := detach(ctx)
	defer cancel()
	ans, err := run(runCtx)
	end = g.ended(ans, err)
	return ans, err
}

// detach keeps the deadline of ctx but not its cancellation.
func detach(ctx context.Context) (context.Context, context.CancelFunc) {
	free := context.WithoutCancel(ctx)
	if deadline, ok := ctx.Deadline(); ok {
		return context.WithDeadline(free, deadline)
	}
	return context.WithCancel(free)
}

// ended says what to record of an outcome.
func (g *Guard) ended(ans route.Response, err error) journal.ClaimEnded {
	kind := fault.Of(err)
	if kind != fault.None && kind.Answer().Ran == fault.RanNo {
		return journal.ClaimEnded{State: table.ClaimNotRun, Fault: kind}
	}
	if kind != fault.None {
		return journal.ClaimEnded{State: table.ClaimUnknown, Fault: kind}
	}
	end := journal.ClaimEnded{
		State:       table.ClaimDone,
		Status:      ans.Status,
		ContentType: ans.Header.Get("Content-Type"),
	}
	if table.Bytes(len(ans.Body)) > g.maxAnswer() {
		// It ran, but a repeat cannot be given the answer.
		end.Fault = fault.OutcomeUnknown
		return end
	}
	end.Answer = ans.Body
	return end
}

func (g *Guard) maxAnswer() table.Bytes {
	if g.MaxAnswer > 0 {
		return g.MaxAnswer
	}
	return DefaultMaxAnswer
}

// record proposes the end of e and waits a short time for it; it goes on in the background until then.
func (g *Guard) record(ctx context.Context, e *entry) {
	done := make(chan struct{})
	g.inBackground(func(ctx context.Context) {
		defer close(done)
		g.recordEnd(ctx, e)
	})
	wait := g.RecordWait
	if wait <= 0 {
		wait = DefaultRecordWait
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// recordEnd proposes the end of e until it is folded; any definite answer of the fold ends it.
func (g *Guard) recordEnd(ctx context.Context, e *entry) {
	end := e.end
	g.until(ctx, func() bool {
		_, err := g.Propose(ctx, []journal.Record{{ClaimEnded: &end}})
		return err == nil
	})
	g.close(e)
}

// release ends a claim whose fate is unknown: a second claim is folded after the first one, so its result settles both.
func (g *Guard) release(ctx context.Context, e *entry) {
	defer g.close(e)
	var made table.Offset
	settled := g.until(ctx, func() bool {
		var ok bool
		made, ok = g.ownClaim(ctx, e.claim)
		return ok
	})
	if !settled || made == 0 {
		return
	}
	end := journal.ClaimEnded{Key: e.claim.key(), Made: made, State: table.ClaimNotRun, Fault: fault.LogUnavailable}
	g.until(ctx, func() bool {
		_, err := g.Propose(ctx, []journal.Record{{ClaimEnded: &end}})
		return err == nil
	})
}

// ownClaim returns the offset of the claim that this process holds on the key, 0 if it holds none.
func (g *Guard) ownClaim(ctx context.Context, c Claim) (made table.Offset, ok bool) {
	result, err := g.Propose(ctx, []journal.Record{g.made(c)})
	if err != nil {
		return 0, false
	}
	switch result.First() {
	case fault.None:
		return result.Offset, true
	case fault.StillRunning:
		err = g.Look(ctx, func(t *table.Tables) {
			known := t.Claims[c.key()]
			if known != nil && known.State == table.ClaimRunning && known.Seat == g.Seat && known.Incarnation == g.Incarnation {
				made = known.Made
			}
		})
		return made, err == nil
	}
	return 0, true
}

// until repeats try with growing pauses until it succeeds, or ctx ends.
func (g *Guard) until(ctx context.Context, try func() bool) bool {
	pause := firstPause
	for !try() {
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return false
		}
		pause = min(2*pause, longestPause)
	}
	return true
}

func (g *Guard) inBackground(f func(context.Context)) {
	limit := g.RetryFor
	if limit <= 0 {
		limit = DefaultRetryFor
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	g.background.Go(func() {
		defer cancel()
		f(ctx)
	})
}

// Flush waits until every outcome is recorded, or ctx ends.
func (g *Guard) Flush(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		g.background.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return fault.Wrap(context.Cause(ctx), fault.LogUnavailable, "outcomes of idempotency keys are not recorded")
	}
}
