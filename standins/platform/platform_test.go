package platform

import (
	"context"
	"errors"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"persimmonpick/fault"
	api "persimmonpick/provider"
	"persimmonpick/standins/harness"
	"persimmonpick/table"
)

var ctx = context.Background()

// newTestServer returns a stand-in with two workers of four cores each, and a client that calls its HTTP handler.
func newTestServer(cfg Config) (*Server, api.Platform) {
	for _, id := range []table.WorkerID{"w1", "w2"} {
		cfg.Workers = append(cfg.Workers, api.WorkerInfo{ID: id, Rack: "r1", Zone: "z1", Capacity: table.Resources{CPU: 4000, Memory: 1 << 30}})
	}
	s := New(cfg)
	return s, api.Dial(api.Config{URL: "http://platform", Timeout: time.Second, Transport: RoundTripper{s.Handler()}})
}

func startRequest(task table.TaskID, token table.Token, payload string, lease time.Duration) api.StartRequest {
	return api.StartRequest{
		Task: task, Token: token, Need: table.Resources{CPU: 2000},
		Payload: []byte(payload), Until: time.Now().Add(lease),
	}
}

func taskStates(t *testing.T, p api.Platform, w table.WorkerID) map[table.TaskID]api.RunState {
	t.Helper()
	rep, err := p.Workers.Report(ctx, w)
	is.New(t).NoErr(err)
	m := map[table.TaskID]api.RunState{}
	for _, s := range rep.Statuses {
		m[s.Task] = s.State
	}
	return m
}

func violatedRules(s *Server) []Rule {
	var rules []Rule
	for _, v := range s.Violations() {
		rules = append(rules, v.Rule)
	}
	return rules
}

// Guards against a task running past the end of its lease, and against a renewal that does not extend the lease.
func TestLeaseExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		_, p := newTestServer(Config{})
		is.NoErr(p.Workers.Start(ctx, "w1", startRequest("a", 1, `{"RunMillis":10000}`, time.Second)))
		is.NoErr(p.Workers.Start(ctx, "w1", startRequest("b", 2, `{"RunMillis":1500}`, time.Second)))
		time.Sleep(900 * time.Millisecond)
		is.NoErr(p.Workers.Renew(ctx, "w1", []api.Renewal{{Task: "b", Token: 2, Until: time.Now().Add(time.Second)}}))
		time.Sleep(time.Second)
		is.Equal(taskStates(t, p, "w1"), map[table.TaskID]api.RunState{"a": api.RunStopped, "b": api.RunFinished})
		is.Equal(fault.Of(p.Workers.Start(ctx, "w1", startRequest("a", 1, "", time.Second))), fault.Stale)
		is.Equal(fault.Of(p.Workers.Start(ctx, "w1", startRequest("c", 3, "", 0))), fault.Stale)
	})
}

// Guards against a worker that starts a task under an old or stopped token, or starts it again when a start is
// repeated.
func TestTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, p := newTestServer(Config{})
		const long = `{"RunMillis":1000,"Result":"ok"}`
		is.NoErr(p.Workers.Start(ctx, "w1", startRequest("a", 5, long, time.Minute)))
		is.NoErr(p.Workers.Start(ctx, "w1", startRequest("a", 5, long, time.Minute)))
		is.Equal(fault.Of(p.Workers.Start(ctx, "w1", startRequest("a", 4, long, time.Minute))), fault.Stale)
		time.Sleep(400 * time.Millisecond)
		st, err := p.Workers.Stop(ctx, "w1", "a", 5)
		is.NoErr(err)
		is.Equal(st.State, api.RunStopped)
		is.Equal(string(st.Checkpoint), `{"DoneMillis":400}`)
		is.Equal(fault.Of(p.Workers.Start(ctx, "w1", startRequest("a", 5, long, time.Minute))), fault.Stale)
		st, err = p.Workers.Stop(ctx, "w1", "b", 7)
		is.NoErr(err)
		is.Equal(st.State, api.RunUnaccepted)
		is.Equal(fault.Of(p.Workers.Start(ctx, "w1", startRequest("b", 7, long, time.Minute))), fault.Stale)
		resumed := startRequest("a", 9, long, time.Minute)
		resumed.Checkpoint = []byte(`{"DoneMillis":400}`)
		is.NoErr(p.Workers.Start(ctx, "w2", resumed))
		time.Sleep(600 * time.Millisecond)
		is.Equal(taskStates(t, p, "w2")["a"], api.RunFinished)
		is.Equal(len(s.Ledger()), 4) // Start, Stopped, Resume, Finished
		is.Equal(len(violatedRules(s)), 0)
	})
}

// Guards against rule violations that the ledger does not detect.
func TestViolations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, p := newTestServer(Config{ListLag: 1000})
		const once = `{"RunMillis":1000,"NonIdempotent":true}`
		is.NoErr(p.Workers.Start(ctx, "w1", startRequest("a", 1, once, time.Minute)))
		time.Sleep(500 * time.Millisecond)
		is.NoErr(p.Workers.Start(ctx, "w2", startRequest("a", 2, once, time.Minute)))
		time.Sleep(1500 * time.Millisecond)
		is.Equal(violatedRules(s), []Rule{TwoPlaces, RanTwice, FinishedTwice})
		is.NoErr(p.Workers.Start(ctx, "w1", startRequest("b", 3, once, time.Minute)))
		is.NoErr(p.Workers.Start(ctx, "w1", startRequest("c", 4, once, time.Minute)))
		is.Equal(fault.Of(p.Workers.Start(ctx, "w1", startRequest("d", 5, once, time.Minute))), fault.Capacity)
		s.ChangeHosts(HostChange{Leaving: []table.WorkerID{"w2"}})
		l, err := p.Hosts.List(ctx)
		is.NoErr(err)
		is.True(!l.Workers[1].Leaving) // the list is ListLag old
		time.Sleep(time.Second)
		l, err = p.Hosts.List(ctx)
		is.NoErr(err)
		is.True(l.Workers[1].Leaving)
		time.Sleep(5001 * time.Millisecond)
		is.NoErr(p.Workers.Start(ctx, "w2", startRequest("e", 6, "", time.Minute)))
		is.Equal(violatedRules(s)[3:], []Rule{OverCapacity, StartLeaving})
	})
}

// Guards against worker faults that do not have their documented effect. RunSlow halves the speed, Freeze suspends the
// task, Throttle halves its share, Kill fails it, and FailStarts fails the next start.
func TestWorkerFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, p := newTestServer(Config{})
		add := func(f harness.Fault) int {
			id, err := s.Faults.Add(f)
			is.NoErr(err)
			return id
		}
		is.NoErr(p.Workers.Start(ctx, "w1", startRequest("a", 1, `{"RunMillis":1000}`, time.Minute)))
		slow := add(harness.Fault{Action: RunSlow, Worker: "w1", Factor: 2})
		time.Sleep(time.Second)
		s.Faults.Remove(slow)
		add(harness.Fault{Action: Freeze, Worker: "w1", For: 2000})
		_, err := p.Workers.Report(ctx, "w1") // the client times out after 1 s
		is.Equal(fault.Of(err), fault.PlatformFailed)
		is.True(errors.Is(err, context.DeadlineExceeded))
		time.Sleep(1200 * time.Millisecond)
		is.Equal(taskStates(t, p, "w1")["a"], api.RunRunning) // 500 ms done under RunSlow, frozen for 2 s, then 200 ms more
		is.NoErr(p.Workers.Throttle(ctx, "w1", "a", 1, 0.5))
		time.Sleep(500 * time.Millisecond)
		is.Equal(taskStates(t, p, "w1")["a"], api.RunRunning) // 950 ms done
		kill := add(harness.Fault{Action: Kill, Worker: "w1"})
		is.Equal(fault.Of(p.Workers.Renew(ctx, "w1", nil)), fault.PlatformFailed)
		s.Faults.Remove(kill)
		is.Equal(taskStates(t, p, "w1")["a"], api.RunFailed)
		add(harness.Fault{Action: FailStarts, Worker: "w2"})
		is.NoErr(p.Workers.Start(ctx, "w2", startRequest("b", 2, "", time.Minute)))
		is.Equal(taskStates(t, p, "w2")["b"], api.RunFailed)
		_, err = s.Faults.Add(harness.Fault{Action: "Typo"})
		is.Equal(fault.Of(err), fault.Invalid)
	})
}

// Guards against log outages that are reported under the wrong error kind, and against appends with a lost response
// that get lost or are reported as definitely failed.
func TestLogFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, p := newTestServer(Config{RetainEntries: 2, AppendsPerSecond: 10})
		add := func(f harness.Fault) {
			_, err := s.Faults.Add(f)
			is.NoErr(err)
		}
		add(harness.Fault{Action: LoseReply, Target: "Log.Append", Count: 1})
		add(harness.Fault{Action: Late, Target: "Log.Append", Count: 1, Delay: 500})
		for range 2 {
			_, err := p.Log.Append(ctx, "s", []byte("x"))
			is.Equal(fault.Of(err), fault.LogUnavailable)
			is.True(strings.Contains(err.Error(), "outcome is unknown"))
		}
		page, err := p.Log.Read(ctx, "s", 2, 10, time.Second) // waits for the late append
		is.NoErr(err)
		is.Equal(page.Entries, []api.Entry{{Offset: 2, Data: []byte("x")}})
		_, err = p.Log.Append(ctx, "s", []byte("y"))
		is.Equal(fault.Of(err), fault.Overloaded) // 10 appends/s with a burst of 1
		time.Sleep(100 * time.Millisecond)
		off, err := p.Log.Append(ctx, "s", []byte("y"))
		is.NoErr(err)
		is.Equal(off, table.Offset(3))
		_, err = p.Log.Read(ctx, "s", 1, 10, 0)
		is.Equal(fault.Of(err), fault.NotFound) // RetainEntries is 2
		time.AfterFunc(time.Second, func() { add(harness.Fault{Action: Fail, Target: "Log"}) })
		_, err = p.Log.Read(ctx, "s", 4, 10, time.Minute)
		is.Equal(fault.Of(err), fault.LogUnavailable) // an outage ends a waiting read
		_, err = p.Hosts.List(ctx)
		is.NoErr(err)
	})
}

// Guards against the protocol failing over TCP, where a lost reply is a closed connection. The client must not
// retry then.
func TestOverTCP(t *testing.T) {
	is := is.New(t)
	s := New(Config{})
	srv := httptest.NewServer(s.Handler())
	defer srv.Close()
	p := api.Dial(api.Config{URL: srv.URL})
	_, err := s.Faults.Add(harness.Fault{Action: LoseReply, Target: "Log.Append", Count: 1})
	is.NoErr(err)
	_, err = p.Log.Append(ctx, "s", []byte("x"))
	is.Equal(fault.Of(err), fault.LogUnavailable)
	page, err := p.Log.Read(ctx, "s", 1, 1, 0)
	is.NoErr(err)
	is.Equal(page.End, table.Offset(2)) // one entry: the append took effect and was not retried
}
