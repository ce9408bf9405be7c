package claim

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"persimmonpick/fault"
	"persimmonpick/journal"
	"persimmonpick/route"
	"persimmonpick/table"
)

// Defaults of the Guard fields that are 0.
const (
	DefaultMaxAnswer  = table.Bytes(64 << 10)
	DefaultRecordWait = 250 * time.Millisecond
	DefaultRetryFor   = 10 * time.Minute
)

const (
	// maxOpenKeys bounds the keys held in memory because their request runs or its outcome is not recorded yet.
	maxOpenKeys = 4096
	// maxClaimAttempts bounds the claims proposed by one call of Do while other hosts claim and release the key.
	maxClaimAttempts = 3
)

// Claim identifies a request with an idempotency key.
type Claim struct {
	Team   table.TeamID
	Key    string
	Kind   table.KindID
	Digest uint64 // see the function Digest
}

// Guard runs requests with idempotency keys. Its exported fields are set before the first call.
type Guard struct {
	// Propose returns once the records are applied. fault.OutcomeUnknown means that they may still be
	// applied, but before all later proposals.
	Propose func(context.Context, []journal.Record) (journal.Result, error)
	// ReadTables calls its argument with the tables of this host, which it must not change.
	ReadTables  func(context.Context, func(*table.Tables)) error
	Seat        table.SeatID
	Incarnation table.Incarnation
	MaxAnswer   table.Bytes   // longest response retained for repeats; 0 means DefaultMaxAnswer
	RecordWait  time.Duration // longest wait of a caller for the outcome to be recorded; 0 means DefaultRecordWait
	RetryFor    time.Duration // how long recording or releasing is retried; 0 means DefaultRetryFor

	mu         sync.Mutex
	openClaims map[table.ClaimKey]*openClaim
	background sync.WaitGroup
	unrecorded atomic.Int64 // outcomes that were given up
}

// openClaim is a key whose request runs on this host or whose outcome is not recorded yet.
type openClaim struct {
	claim  Claim
	offset table.Offset
	done   bool // the outcome is known, but not recorded yet
	end    journal.ClaimEnded
}

func (c Claim) key() table.ClaimKey {
	return table.ClaimKey{Team: c.Team, Key: c.Key}
}

// Do claims the key, runs the request and records its outcome. A repeat gets the recorded response, or an
// error that says what is known about the first request.
func (g *Guard) Do(ctx context.Context, c Claim, run func(context.Context) (route.Response, error)) (route.Response, error) {
	e, ans, err := g.openKey(c)
	if e == nil {
		return ans, err
	}
	won, ans, err := g.acquire(ctx, e)
	if !won {
		return ans, err
	}
	return g.run(ctx, e, run)
}

// openKey registers the key on this host. If the key is open already, it returns a nil claim and the reply to
// the repeat.
func (g *Guard) openKey(c Claim) (*openClaim, route.Response, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if known := g.openClaims[c.key()]; known != nil {
		ans, err := known.answerRepeat(c)
		return nil, ans, err
	}
	if len(g.openClaims) >= maxOpenKeys {
		return nil, route.Response{}, fault.New(fault.Overloaded, "%d idempotency keys are open", len(g.openClaims))
	}
	if g.openClaims == nil {
		g.openClaims = map[table.ClaimKey]*openClaim{}
	}
	e := &openClaim{claim: c}
	g.openClaims[c.key()] = e
	return e, route.Response{}, nil
}

func (g *Guard) closeKey(e *openClaim) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.openClaims, e.claim.key())
}

// answerRepeat returns the reply to a repeat of the open claim e.
func (e *openClaim) answerRepeat(c Claim) (route.Response, error) {
	if c.Kind != e.claim.Kind || c.Digest != e.claim.Digest {
		return route.Response{}, keyReusedError(c)
	}
	if !e.done {
		return route.Response{}, stillRunningError(c)
	}
	if e.end.State == table.ClaimNotRun {
		return route.Response{}, fault.New(fault.LogUnavailable, "an earlier claim of key %q is being released", c.Key)
	}
	return recordedResponse(c, e.end.State, e.end.Status, e.end.ContentType, e.end.Answer, e.end.Fault)
}

// acquire proposes the claim. If another request holds the key, it returns the reply to the repeat.
func (g *Guard) acquire(ctx context.Context, e *openClaim) (won bool, ans route.Response, err error) {
	for range maxClaimAttempts {
		result, err := g.Propose(ctx, []journal.Record{g.claimRecord(e.claim)})
		if err != nil {
			return false, route.Response{}, g.claimFailed(e, err)
		}
		kind := result.First()
		if kind == fault.None {
			e.offset = result.Offset
			return true, route.Response{}, nil
		}
		if kind != fault.StillRunning && kind != fault.Conflict {
			g.closeKey(e)
			return false, route.Response{}, fault.New(kind, "key %q", e.claim.Key)
		}
		ans, again, err := g.lookupRepeat(ctx, e.claim)
		if !again {
			g.closeKey(e)
			return false, ans, err
		}
	}
	g.closeKey(e)
	return false, route.Response{}, fault.New(fault.Overloaded, "key %q is claimed and released by others", e.claim.Key)
}

// claimFailed returns the error of a request whose claim failed. A claim that may still be applied is
// released in the background.
func (g *Guard) claimFailed(e *openClaim, cause error) error {
	kind := fault.Of(cause)
	if kind != fault.OutcomeUnknown && kind.Answer().Ran == fault.RanNo {
		g.closeKey(e)
		return cause
	}
	g.setOutcome(e, journal.ClaimEnded{State: table.ClaimNotRun, Fault: fault.LogUnavailable})
	g.runInBackground(func(ctx context.Context) { g.release(ctx, e) })
	return fault.New(fault.LogUnavailable, "key %q could not be claimed: %v", e.claim.Key, cause)
}

func (g *Guard) claimRecord(c Claim) journal.Record {
	return journal.Record{ClaimMade: &journal.ClaimMade{
		Key:         c.key(),
		Kind:        c.Kind,
		Digest:      c.Digest,
		Seat:        g.Seat,
		Incarnation: g.Incarnation,
	}}
}

// setOutcome stores the outcome for repeats on this host until it is recorded.
func (g *Guard) setOutcome(e *openClaim, end journal.ClaimEnded) {
	g.mu.Lock()
	defer g.mu.Unlock()
	end.Key = e.claim.key()
	end.Made = e.offset
	e.end = end
	e.done = true
}
