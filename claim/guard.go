package claim

import (
	"context"
	"sync"
	"time"

	"persimmonpick/fault"
	"persimmonpick/journal"
	"persimmonpick/route"
	"persimmonpick/table"
)

// The defaults of Guard.
const (
	DefaultMaxAnswer  = table.Bytes(64 << 10)
	DefaultRecordWait = 250 * time.Millisecond
	DefaultRetryFor   = 10 * time.Minute
)

const (
	// maxOpenKeys bounds the keys that this host keeps in memory because they run or are not yet recorded.
	maxOpenKeys = 4096
	// maxClaimAttempts bounds the claims of one call, where other hosts claim and release the key in between.
	maxClaimAttempts = 3
)

// Claim identifies a request with an idempotency key.
type Claim struct {
	Team   table.TeamID
	Key    string
	Kind   table.KindID
	Digest uint64 // see Digest
}

// Guard runs requests with idempotency keys; its fields are set before the first call.
type Guard struct {
	// Propose returns once the records were folded; fault.OutcomeUnknown means that they still may be, ahead of all later proposals.
	Propose     func(context.Context, []journal.Record) (journal.Result, error)
	Look        func(context.Context, func(*table.Tables)) error
	Seat        table.SeatID
	Incarnation table.Incarnation
	MaxAnswer   table.Bytes   // longest answer kept for repeats; 0 takes the default
	RecordWait  time.Duration // how long a caller waits for its answer to be recorded; 0 takes the default
	RetryFor    time.Duration // how long recording is retried; 0 takes the default

	mu         sync.Mutex
	openClaims map[table.ClaimKey]*openClaim
	background sync.WaitGroup
}

// openClaim is a key that runs on this host, or whose end is not yet recorded.
type openClaim struct {
	claim  Claim
	offset table.Offset
	done   bool // the outcome is known and waits to be recorded
	end    journal.ClaimEnded
}

func (c Claim) key() table.ClaimKey {
	return table.ClaimKey{Team: c.Team, Key: c.Key}
}

// Do claims the key, runs the request and records the answer; a repeat gets the recorded answer or an error that says what is known.
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

// openKey opens the key on this host, or answers from what this host knows of it.
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

// answerRepeat answers a second request with the key of e.
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
	return recordedAnswer(c, e.end.State, e.end.Status, e.end.ContentType, e.end.Answer, e.end.Fault)
}

// acquire proposes the acquire; where it does not win, it returns what the repeat gets.
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

// claimFailed refuses a request whose claim failed; a claim that may still be folded is released.
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

// setOutcome keeps the outcome for repeats on this host until it is recorded.
func (g *Guard) setOutcome(e *openClaim, end journal.ClaimEnded) {
	g.mu.Lock()
	defer g.mu.Unlock()
	end.Key = e.claim.key()
	end.Made = e.offset
	e.end = end
	e.done = true
}
