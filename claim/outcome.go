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
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 5 * time.Second
)

// run runs a claimed request to its end, even if the caller leaves, and records the outcome.
func (g *Guard) run(ctx context.Context, e *openClaim, run func(context.Context) (route.Response, error)) (route.Response, error) {
	end := journal.ClaimEnded{State: table.ClaimUnknown, Fault: fault.Internal}
	// Deferred, so that a panic in run is recorded as an unknown outcome.
	defer func() {
		g.setOutcome(e, end)
		g.recordOutcome(ctx, e)
	}()
	runCtx, cancel := detach(ctx)
	defer cancel()
	ans, err := run(runCtx)
	end = g.endRecord(ans, err)
	return ans, err
}

// detach returns a context with the deadline of ctx but without its cancellation.
func detach(ctx context.Context) (context.Context, context.CancelFunc) {
	detached := context.WithoutCancel(ctx)
	if deadline, ok := ctx.Deadline(); ok {
		return context.WithDeadline(detached, deadline)
	}
	return context.WithCancel(detached)
}

// endRecord returns the record of an outcome.
func (g *Guard) endRecord(ans route.Response, err error) journal.ClaimEnded {
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
		// The request ran, but its response is too large to be retained for repeats.
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

// recordOutcome proposes the outcome of e and waits up to RecordWait for it. After that, proposing goes on in
// the background.
func (g *Guard) recordOutcome(ctx context.Context, e *openClaim) {
	done := make(chan struct{})
	g.runInBackground(func(ctx context.Context) {
		defer close(done)
		g.proposeEnd(ctx, e)
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

// proposeEnd proposes the outcome of e until the proposal is applied. It stops at any definite result, also
// when the record is rejected.
func (g *Guard) proposeEnd(ctx context.Context, e *openClaim) {
	end := e.end
	recorded := g.retry(ctx, func() bool {
		_, err := g.Propose(ctx, []journal.Record{{ClaimEnded: &end}})
		return err == nil
	})
	if !recorded {
		g.unrecorded.Add(1)
	}
	g.closeKey(e)
}

// release ends a claim that may or may not be applied. It proposes the claim a second time: proposals are
// applied in order, so the result of the second also settles the first.
func (g *Guard) release(ctx context.Context, e *openClaim) {
	defer g.closeKey(e)
	var made table.Offset
	settled := g.retry(ctx, func() bool {
		var ok bool
		made, ok = g.ownClaim(ctx, e.claim)
		return ok
	})
	if !settled || made == 0 {
		return
	}
	end := journal.ClaimEnded{Key: e.claim.key(), Made: made, State: table.ClaimNotRun, Fault: fault.LogUnavailable}
	g.retry(ctx, func() bool {
		_, err := g.Propose(ctx, []journal.Record{{ClaimEnded: &end}})
		return err == nil
	})
}

// ownClaim returns the offset of the claim that this process holds on the key, or 0 if it holds none. It
// reports false if that could not be determined.
func (g *Guard) ownClaim(ctx context.Context, c Claim) (made table.Offset, ok bool) {
	result, err := g.Propose(ctx, []journal.Record{g.claimRecord(c)})
	if err != nil {
		return 0, false
	}
	switch result.First() {
	case fault.None:
		return result.Offset, true
	case fault.StillRunning:
		err = g.ReadTables(ctx, func(t *table.Tables) {
			known := t.Claims[c.key()]
			if known != nil && known.State == table.ClaimRunning && known.Seat == g.Seat && known.Incarnation == g.Incarnation {
				made = known.Made
			}
		})
		return made, err == nil
	}
	return 0, true
}

// retry calls try with exponential backoff until it returns true, or returns false when ctx ends.
func (g *Guard) retry(ctx context.Context, try func() bool) bool {
	pause := minRetryDelay
	for !try() {
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return false
		}
		pause = min(2*pause, maxRetryDelay)
	}
	return true
}

func (g *Guard) runInBackground(f func(context.Context)) {
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

// Flush waits until each outcome is recorded or was given up after RetryFor. It returns a fault.LogUnavailable error
// when ctx ends, and if any outcome was given up since the start.
func (g *Guard) Flush(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		g.background.Wait()
		close(done)
	}()
	select {
	case <-done:
		if n := g.unrecorded.Load(); n > 0 {
			return fault.New(fault.LogUnavailable, "%d outcomes of idempotency keys were given up", n)
		}
		return nil
	case <-ctx.Done():
		return fault.Wrap(context.Cause(ctx), fault.LogUnavailable, "outcomes of idempotency keys are not recorded")
	}
}
