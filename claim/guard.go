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
	// maxOpen bounds the keys that this host keeps in memory because they run or are not yet recorded.
	maxOpen = 4096
	// maxClaims bounds the claims of one call, where other hosts claim and release the key in between.
	maxClaims = 3
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
	open       map[table.ClaimKey]*entry
	background sync.WaitGroup
}

// entry is a key that runs on this host, or whose end is not yet recorded.
type entry struct {
	claim Claim
	made  table.Offset
	done  bool // the outcome is known and waits to be recorded
	end   journal.ClaimEnded
}

func (c Claim) key() table.ClaimKey {
	return table.ClaimKey{Team: c.Team, Key: c.Key}
}

// Do claims the key, runs the request and records the answer; a repeat gets the recorded answer or an error that says what is known.
func (g *Guard) Do(ctx context.Context, c Claim, run func(context.Context) (route.Response, error)) (route.Response, error) {
	e, ans, err := g.enter(c)
	if e == nil {
		return ans, err
	}
	won, ans, err := g.claim(ctx, e)
	if !won {
		return ans, err
	}
	return g.run(ctx, e, run)
}

// enter opens the key on this host, or answers from what this host knows of it.
func (g *Guard) enter(c Claim) (*entry, route.Response, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if known := g.open[c.key()]; known != nil {
		ans, err := known.repeat(c)
		return nil, ans, err
	}
	if len(g.open) >= maxOpen {
		return nil, route.Response{}, fault.New(fault.Overloaded, "%d idempotency keys are open", len(g.open))
	}
	if g.open == nil {
		g.open = map[table.ClaimKey]*entry{}
	}
	e := &entry{claim: c}
	g.open[c.key()] = e
	return e, route.Response{}, nil
}

func (g *Guard) close(e *entry) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.open, e.claim.key())
}

// repeat answers a second request with the key of e.
func (e *entry) repeat(c Claim) (route.Response, error) {
	if c.Kind != e.claim.Kind || c.Digest != e.claim.Digest {
		return route.Response{}, keyReused(c)
	}
	if !e.done {
		return route.Response{}, stillRunning(c)
	}
	if e.end.State == table.ClaimNotRun {
		return route.Response{}, fault.New(fault.LogUnavailable, "an earlier claim of key %q is being released", c.Key)
	}
	return recorded(c, e.end.State, e.end.Status, e.end.ContentType, e.end.Answer, e.end.Fault)
}

// claim proposes the claim; where it does not win, it returns what the repeat gets.
func (g *Guard) claim(ctx context.Context, e *entry) (won bool, ans route.Response, err error) {
	for range maxClaims {
		result, err := g.Propose(ctx, []journal.Record{g.made(e.claim)})
		if err != nil {
			return false, route.Response{}, g.claimFailed(e, err)
		}
		kind := result.First()
		if kind == fault.None {
			e.made = result.Offset
			return true, route.Response{}, nil
		}
		if kind != fault.StillRunning && kind != fault.Conflict {
			g.close(e)
			return false, route.Response{}, fault.New(kind, "key %q", e.claim.Key)
		}
		ans, again, err := g.look(ctx, e.claim)
		if !again {
			g.close(e)
			return false, ans, err
		}
	}
	g.close(e)
	return false, route.Response{}, fault.New(fault.Overloaded, "key %q is claimed and released by others", e.claim.Key)
}

// claimFailed refuses a request whose claim failed; a claim that may still be folded is released.
func (g *Guard) claimFailed(e *entry, cause error) error {
	kind := fault.Of(cause)
	if kind != fault.OutcomeUnknown && kind.Answer().Ran == fault.RanNo {
		g.close(e)
		return cause
	}
	g.finish(e, journal.ClaimEnded{State: table.ClaimNotRun, Fault: fault.LogUnavailable})
	g.inBackground(func(ctx context.Context) { g.release(ctx, e) })
	return fault.New(fault.LogUnavailable, "key %q could not be claimed: %v", e.claim.Key, cause)
}

func (g *Guard) made(c Claim) journal.Record {
	return journal.Record{ClaimMade: &journal.ClaimMade{
		Key:         c.key(),
		Kind:        c.Kind,
		Digest:      c.Digest,
		Seat:        g.Seat,
		Incarnation: g.Incarnation,
	}}
}

// finish keeps the outcome for repeats on this host until it is recorded.
func (g *Guard) finish(e *entry, end journal.ClaimEnded) {
	g.mu.Lock()
	defer g.mu.Unlock()
	end.Key = e.claim.key()
	end.Made = e.made
	e.end = end
	e.done = true
}
