package claim

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"persimmonpick/fault"
	"persimmonpick/journal"
	"persimmonpick/route"
	"persimmonpick/table"
)

// fakeLog applies claims as the log does. fail returns how the nth proposal fails, if it does.
type fakeLog struct {
	mu     sync.Mutex
	tables *table.Tables
	n      int
	fail   func(n int) string
}

func newFakeLog() *fakeLog {
	l := &fakeLog{tables: table.New(), fail: func(int) string { return "" }}
	l.join("s1", "p1")
	l.join("s2", "p2")
	return l
}

func (l *fakeLog) join(seat table.SeatID, process table.Incarnation) {
	l.tables.Hosts[seat] = &table.EntryHost{Seat: seat, Incarnation: process}
}

func (l *fakeLog) guard(seat table.SeatID, process table.Incarnation) *Guard {
	return &Guard{Propose: l.propose, ReadTables: l.look, Seat: seat, Incarnation: process, RetryFor: time.Minute}
}

func (l *fakeLog) look(_ context.Context, f func(*table.Tables)) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(l.tables)
	return nil
}

func (l *fakeLog) propose(_ context.Context, records []journal.Record) (journal.Result, error) {
	time.Sleep(5 * time.Millisecond)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.n++
	how := l.fail(l.n)
	if how == "down" {
		return journal.Result{}, fault.New(fault.LogUnavailable, "down")
	}
	if how == "lost" {
		return journal.Result{}, fault.New(fault.OutcomeUnknown, "lost")
	}
	l.tables.Applied++
	result := journal.Result{Offset: l.tables.Applied, Kinds: []fault.Kind{l.apply(records[0])}}
	if how == "lost reply" {
		return journal.Result{}, fault.New(fault.OutcomeUnknown, "lost")
	}
	return result, nil
}

func (l *fakeLog) apply(r journal.Record) fault.Kind {
	if r.ClaimMade != nil {
		return l.applyClaimMade(r.ClaimMade)
	}
	c := l.tables.Claims[r.ClaimEnded.Key]
	if c == nil || c.Made != r.ClaimEnded.Made || c.State != table.ClaimRunning {
		return fault.Stale
	}
	e := r.ClaimEnded
	c.State, c.Status, c.ContentType, c.Answer, c.Fault = e.State, e.Status, e.ContentType, e.Answer, e.Fault
	return fault.None
}

func (l *fakeLog) applyClaimMade(m *journal.ClaimMade) fault.Kind {
	c := l.tables.Claims[m.Key]
	switch {
	case c == nil || c.State == table.ClaimNotRun:
		l.tables.Claims[m.Key] = &table.Claim{
			ClaimKey: m.Key, Kind: m.Kind, Digest: m.Digest, State: table.ClaimRunning,
			Seat: m.Seat, Incarnation: m.Incarnation, Made: l.tables.Applied,
		}
		return fault.None
	case c.Kind != m.Kind || c.Digest != m.Digest:
		return fault.KeyReused
	case c.State == table.ClaimRunning:
		return fault.StillRunning
	}
	return fault.Conflict
}

func (l *fakeLog) state() table.ClaimState {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.tables.Claims {
		return c.State
	}
	return ""
}

var planClaim = Claim{Team: "t", Key: "k", Kind: "cut-plan", Digest: Digest("cut-plan", "a/b", []byte("body"))}

// runner counts how often a request runs.
type runner struct {
	mu  sync.Mutex
	n   int
	err error
}

func (r *runner) run(context.Context) (route.Response, error) {
	time.Sleep(100 * time.Millisecond)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.n++
	if r.err != nil {
		return route.Response{}, r.err
	}
	return route.Response{Status: 200, Header: http.Header{"Content-Type": {"a/b"}}, Body: []byte("done"), Ran: fault.RanYes}, nil
}

func do(g *Guard, c Claim, r *runner) (string, fault.Kind) {
	ans, err := g.Do(context.Background(), c, r.run)
	return string(ans.Body), fault.Of(err)
}

// Guards against a request that starts before its claim is in the log, a second run on any host, and a
// response that belongs to another team or another request.
func TestRunsOnceAndRepeatsAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newFakeLog()
		r := &runner{}
		g1, g2 := l.guard("s1", "p1"), l.guard("s2", "p2")
		go func() {
			_, _ = g1.Do(context.Background(), planClaim, func(ctx context.Context) (route.Response, error) {
				is.Equal(l.state(), table.ClaimRunning) // claimed before the first byte is sent
				return r.run(ctx)
			})
		}()
		time.Sleep(50 * time.Millisecond)
		_, kind := do(g1, planClaim, r)
		is.Equal(kind, fault.StillRunning)
		_, kind = do(g2, planClaim, r)
		is.Equal(kind, fault.StillRunning)
		time.Sleep(time.Second)
		for _, g := range []*Guard{g1, g2} {
			body, kind := do(g, planClaim, r)
			is.Equal(kind, fault.None)
			is.Equal(body, "done")
			other := planClaim
			other.Digest++
			_, kind = do(g, other, r)
			is.Equal(kind, fault.KeyReused)
		}
		is.Equal(r.n, 1)
		team := planClaim
		team.Team = "other"
		_, kind = do(g2, team, r)
		is.Equal(kind, fault.None) // keys are scoped to a team
		is.Equal(r.n, 2)
	})
}

// Guards against running a request whose claim was not confirmed, and against its key staying claimed.
func TestUnconfirmedClaimIsReleased(t *testing.T) {
	for _, how := range []string{"lost", "lost reply", "down"} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			l := newFakeLog()
			l.fail = func(n int) string { return map[bool]string{true: how}[n <= 4] }
			r := &runner{}
			g1, g2 := l.guard("s1", "p1"), l.guard("s2", "p2")
			_, kind := do(g1, planClaim, r)
			is.Equal(kind, fault.LogUnavailable)
			_, kind = do(g1, planClaim, r)
			is.Equal(kind.Answer().Ran, fault.RanNo)
			is.Equal(r.n, 0)
			is.NoErr(g1.Flush(t.Context()))
			l.fail = func(int) string { return "" }
			is.True(l.state() != table.ClaimRunning)
			body, kind := do(g2, planClaim, r)
			is.Equal(kind, fault.None)
			is.Equal(body, "done")
			is.Equal(r.n, 1)
		})
	}
}

// Guards against releasing a claim that another host holds.
func TestReleaseLeavesOthersAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newFakeLog()
		g1, g2 := l.guard("s1", "p1"), l.guard("s2", "p2")
		l.fail = func(n int) string {
			if n > 1 {
				return ""
			}
			l.tables.Applied++
			l.apply(g2.claimRecord(planClaim)) // another host claims before the release
			return "lost"
		}
		_, kind := do(g1, planClaim, &runner{})
		is.Equal(kind, fault.LogUnavailable)
		is.NoErr(g1.Flush(t.Context()))
		is.Equal(l.state(), table.ClaimRunning)
		is.Equal(l.n, 2) // the release found no claim of its own
	})
}

// Guards against a response that its caller does not get because the log is unavailable, and against an
// outcome that is never recorded.
func TestOutcomeIsRecordedLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newFakeLog()
		l.fail = func(n int) string { return map[bool]string{true: "down"}[n > 1 && n < 8] }
		r := &runner{}
		g1 := l.guard("s1", "p1")
		start := time.Now()
		body, kind := do(g1, planClaim, r)
		is.Equal(kind, fault.None)
		is.Equal(body, "done")
		is.True(time.Since(start) < time.Second)
		is.Equal(l.state(), table.ClaimRunning)
		body, _ = do(g1, planClaim, r) // this host has the response in memory
		is.Equal(body, "done")
		is.NoErr(g1.Flush(t.Context()))
		is.Equal(l.state(), table.ClaimDone)
		is.Equal(r.n, 1)
	})
}

// A stopping host must tell that a key stays taken, since nobody else knows the outcome.
func TestFlushTellsOfOutcomesThatWereGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newFakeLog()
		l.fail = func(n int) string { return map[bool]string{true: "down"}[n > 1] }
		g := l.guard("s1", "p1")
		body, _ := do(g, planClaim, &runner{})
		is.Equal(body, "done")
		is.Equal(fault.Of(g.Flush(t.Context())), fault.LogUnavailable)
		is.Equal(l.state(), table.ClaimRunning)
	})
}

// Guards against reporting "not run" for a request that may have run, a key that stays taken although its
// request did not run, and a second run after the host of the first was lost.
func TestOutcomes(t *testing.T) {
	cases := []struct {
		err   error
		state table.ClaimState
		again fault.Kind
	}{
		{fault.New(fault.Overloaded, "x"), table.ClaimNotRun, fault.None},
		{fault.New(fault.OutcomeUnknown, "x"), table.ClaimUnknown, fault.OutcomeUnknown},
		{fault.New(fault.DeadlineExceeded, "x"), table.ClaimUnknown, fault.OutcomeUnknown},
		{errors.New("x"), table.ClaimUnknown, fault.OutcomeUnknown},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			l := newFakeLog()
			g := l.guard("s1", "p1")
			_, kind := do(g, planClaim, &runner{err: c.err})
			is.Equal(kind, fault.Of(c.err))
			is.Equal(l.state(), c.state)
			_, kind = do(g, planClaim, &runner{})
			is.Equal(kind, c.again)
		})
	}
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newFakeLog()
		l.apply(l.guard("s1", "p0").claimRecord(planClaim)) // p1 has replaced p0
		r := &runner{}
		_, kind := do(l.guard("s2", "p2"), planClaim, r)
		is.Equal(kind, fault.OutcomeUnknown)
		g := l.guard("s2", "p2")
		g.MaxAnswer = 3
		big := planClaim
		big.Key = "big"
		_, kind = do(g, big, r)
		is.Equal(kind, fault.None)
		_, kind = do(g, big, r)
		is.Equal(kind, fault.OutcomeUnknown) // ran, but its response was too large to be retained
		is.Equal(r.n, 1)
	})
}
