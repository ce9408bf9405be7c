package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"persimmonpick/answer"
	"persimmonpick/burn"
	"persimmonpick/fault"
	"persimmonpick/journal"
	"persimmonpick/table"
)

// fakeControl applies only PlanConfirmed records, and rejects those whose base is not the current version as stale.
type fakeControl struct {
	mu         sync.Mutex
	t          *table.Tables
	proposed   int
	proposeErr error
}

func (c *fakeControl) propose(_ context.Context, records []journal.Record) (journal.Result, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.proposed++
	if c.proposeErr != nil {
		return journal.Result{}, c.proposeErr
	}
	c.t.Applied++
	result := journal.Result{Offset: c.t.Applied, Kinds: []fault.Kind{fault.None}}
	p := records[0].PlanConfirmed
	if p == nil {
		return result, nil
	}
	if p.Base != journal.EntityVersion(c.t, &p.Intent) {
		result.Kinds[0] = fault.Stale
		return result, nil
	}
	if p.Intent.Type == journal.SetLimit {
		l := *p.Intent.Limit
		l.Changed = c.t.Applied
		c.t.Limits[l.ID] = &l
	}
	return result, nil
}

func (c *fakeControl) readTables(_ context.Context, read func(*table.Tables)) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	read(c.t)
	return nil
}

func (c *fakeControl) config() Config {
	return Config{
		Propose:      c.propose,
		ReadTables:   c.readTables,
		CountApplied: func(context.Context, table.Offset) (int, int) { return 7, 7 },
		Hosts:        func() []HostStatus { return []HostStatus{{Seat: "s1", State: HostLive}} },
		Report:       func() burn.Report { return burn.Report{Short: "5m0s", Long: "1h0m0s"} },
		Identity:     func(r *http.Request) string { return r.Header.Get("Test-Operator") },
	}
}

func newFakeControl() *fakeControl {
	t := table.New()
	t.Applied = 10
	t.Workers["w1"] = &table.Worker{ID: "w1", Rack: "r1"}
	t.Workers["w2"] = &table.Worker{ID: "w2", Rack: "r2"}
	t.Instances["i1"] = &table.Instance{ID: "i1", Worker: "w1", Service: "quote"}
	t.Jobs["j1"] = &table.Job{ID: "j1", Team: "a", Kind: "cut", State: table.JobRunning, NonIdempotent: true, Tasks: []table.TaskID{"j1/0"}}
	t.Jobs["j2"] = &table.Job{ID: "j2", Team: "b", Kind: "cut", State: table.JobPending}
	t.Tasks["j1/0"] = &table.Task{ID: "j1/0", Job: "j1", State: table.TaskStarted, Lease: table.Lease{Worker: "w1"}}
	t.Teams["a"] = &table.Team{ID: "a", Weight: 1}
	t.Limits["MaxInFlight"] = &table.Limit{ID: "MaxInFlight", Value: 5, Changed: 4}
	return &fakeControl{t: t}
}

func call(h http.Handler, method, path string, body any) *httptest.ResponseRecorder {
	data, _ := json.Marshal(body)
	r := httptest.NewRequest(method, path, bytes.NewReader(data))
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Test-Operator", "kim")
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

// decodeAnswer decodes the JSON response in w into v.
func decodeAnswer(t *testing.T, w *httptest.ResponseRecorder, v any) {
	t.Helper()
	if err := json.Unmarshal(w.Body.Bytes(), v); err != nil {
		t.Fatalf("%v: %s", err, w.Body)
	}
}

func makePlan(t *testing.T, h http.Handler, in journal.Intent) Plan {
	t.Helper()
	var p Plan
	decodeAnswer(t, call(h, http.MethodPost, "/v1/plans", in), &p)
	return p
}

func confirmFault(t *testing.T, h http.Handler, p Plan) answer.Fault {
	t.Helper()
	var f answer.Fault
	decodeAnswer(t, call(h, http.MethodPost, "/v1/plans/confirm", p), &f)
	return f
}

func jobPage(t *testing.T, h http.Handler, query string) JobPage {
	t.Helper()
	var page JobPage
	decodeAnswer(t, call(h, http.MethodGet, "/v1/jobs?"+query, nil), &page)
	return page
}

func limitIntent(value int64) journal.Intent {
	return journal.Intent{Type: journal.SetLimit, Limit: &table.Limit{ID: "MaxInFlight", Value: value}}
}

// Guards against a plan that takes effect before it is confirmed, and against two conflicting plans both taking effect.
func TestConflictingPlans(t *testing.T) {
	is := is.New(t)
	c := newFakeControl()
	h := NewHandler(c.config())
	first := makePlan(t, h, limitIntent(6))
	second := makePlan(t, h, limitIntent(7))
	is.Equal(c.proposed, 0)
	is.Equal(first.Base, table.Offset(4))
	is.Equal(first.Changes, []Change{{"Value", "5", "6"}})
	is.True(first.ID != second.ID)

	w := call(h, http.MethodPost, "/v1/plans/confirm", second)
	is.Equal(w.Code, http.StatusOK)
	var done Confirmed
	decodeAnswer(t, w, &done)
	is.Equal(done, Confirmed{ID: second.ID, Offset: 11, InForce: 7, Hosts: 7})
	got := confirmFault(t, h, first)
	is.Equal(got.Code, "Stale")
	is.Equal(got.Ran, fault.RanNo)
	is.Equal(c.t.Limits["MaxInFlight"].Value, int64(7))
}

// Guards against a confirmed plan overwriting another one that took effect after it was made.
func TestConflictDecidedByTheLog(t *testing.T) {
	is := is.New(t)
	c := newFakeControl()
	cfg := c.config()
	cfg.Propose = func(ctx context.Context, records []journal.Record) (journal.Result, error) {
		records = append([]journal.Record{{PlanConfirmed: &journal.PlanConfirmed{ID: "other", Intent: limitIntent(9), Base: 4}}}, records...)
		if _, err := c.propose(ctx, records[:1]); err != nil {
			return journal.Result{}, err
		}
		return c.propose(ctx, records[1:])
	}
	h := NewHandler(cfg)
	p := makePlan(t, h, limitIntent(6))
	w := call(h, http.MethodPost, "/v1/plans/confirm", p)
	is.Equal(w.Code, http.StatusConflict)
	is.Equal(c.t.Limits["MaxInFlight"].Value, int64(9))
}

// Guards against reporting a change as not run when the response of the log was lost.
func TestUnknownOutcome(t *testing.T) {
	is := is.New(t)
	c := newFakeControl()
	h := NewHandler(c.config())
	p := makePlan(t, h, limitIntent(6))
	c.proposeErr = context.DeadlineExceeded
	got := confirmFault(t, h, p)
	is.Equal(got.Code, "OutcomeUnknown")
	is.Equal(got.Ran, fault.RanUnknown)
	c.proposeErr = fault.New(fault.LogUnavailable, "outage")
	got = confirmFault(t, h, p)
	is.Equal(got.Ran, fault.RanNo)
	is.True(got.Retry)
}

// Guards against a confirmation that waits indefinitely for a dead entry host or counts it as having applied the plan.
func TestInForceWaitIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cfg := newFakeControl().config()
		cfg.CountApplied = func(context.Context, table.Offset) (int, int) { return 6, 7 }
		h := NewHandler(cfg)
		start := time.Now()
		var done Confirmed
		decodeAnswer(t, call(h, http.MethodPost, "/v1/plans/confirm", makePlan(t, h, limitIntent(6))), &done)
		is.Equal(done.InForce, 6)
		is.Equal(done.Hosts, 7)
		is.Equal(time.Since(start), applyTimeout)
	})
}

// Guards against a drain plan whose effects omit tasks or instances that it affects.
func TestDrainEffects(t *testing.T) {
	is := is.New(t)
	c := newFakeControl()
	p, err := MakePlan(c.t, journal.Intent{Type: journal.SetDrain, Drain: &table.Drain{Rack: "r1"}})
	is.NoErr(err)
	text := strings.Join(p.Effects, "\n")
	for _, part := range []string{"new work: 1 (w1)", "move: 1 (j1/0)", "confirms the stop: 1 (j1/0)", "new requests: 1 (i1)"} {
		is.True(strings.Contains(text, part)) // part
	}
	is.Equal(p.Changes, []Change{{"Exists", "false", "true"}, {"Rack", "", "r1"}})
}

// Guards against malformed or inapplicable intents reaching the log.
func TestRefusedIntents(t *testing.T) {
	c := newFakeControl()
	tests := []struct {
		in   journal.Intent
		kind fault.Kind
	}{
		{journal.Intent{}, fault.Invalid},
		{journal.Intent{Type: "Typo", Limit: &table.Limit{ID: "x"}}, fault.Invalid},
		{journal.Intent{Type: journal.SetLimit}, fault.Invalid},
		{journal.Intent{Type: journal.SetLimit, Limit: &table.Limit{ID: "x"}, Team: &table.Team{}}, fault.Invalid},
		{journal.Intent{Type: journal.SetLimit, Limit: &table.Limit{ID: "x", Value: -1}}, fault.Invalid},
		{journal.Intent{Type: journal.SetDrain, Drain: &table.Drain{Rack: "r1", Worker: "w1"}}, fault.Invalid},
		{journal.Intent{Type: journal.SetDrain, Drain: &table.Drain{Rack: "r9"}}, fault.NotFound},
		{journal.Intent{Type: journal.RemoveDrain, Drain: &table.Drain{Rack: "r1"}}, fault.NotFound},
		{journal.Intent{Type: journal.SetKind, Kind: &table.Kind{ID: "k", Class: table.LatencyCritical}}, fault.Invalid},
		{journal.Intent{Type: journal.SetKind, Kind: &table.Kind{ID: "k", Class: table.Batch, Objective: table.Objective{Target: 1}}}, fault.Invalid},
		{journal.Intent{Type: journal.SetTeam, Team: &table.Team{ID: "a", Weight: 0}}, fault.Invalid},
		{journal.Intent{Type: journal.RemoveTeam, Team: &table.Team{ID: "nobody"}}, fault.NotFound},
		{journal.Intent{Type: journal.RemoveTeam, Team: &table.Team{ID: "a"}}, fault.Conflict}, // has an unfinished job
		{journal.Intent{Type: journal.ResolveTask, Task: "j1/0", Outcome: "Maybe"}, fault.Invalid},
		{journal.Intent{Type: journal.ResolveTask, Task: "j1/0", Outcome: journal.ResolveRerun}, fault.Invalid}, // not Unknown
	}
	for _, test := range tests {
		_, err := MakePlan(c.t, test.in)
		is.New(t).Equal(fault.Of(err), test.kind) // refused
	}
}

// Guards against unbounded lists, misspelt filters that list everything, cross-site requests and unknown operators.
func TestRequests(t *testing.T) {
	is := is.New(t)
	c := newFakeControl()
	h := NewHandler(c.config())
	page := jobPage(t, h, "Limit=1")
	is.Equal(len(page.Jobs), 1)
	is.Equal(page.Next, table.JobID("j1"))
	page = jobPage(t, h, "After=j1")
	is.Equal(page.Jobs[0].ID, table.JobID("j2"))
	is.Equal(page.Next, table.JobID(""))
	page = jobPage(t, h, "Team=a&State=Running")
	is.Equal(len(page.Jobs), 1)
	is.Equal(call(h, http.MethodGet, "/v1/jobs?team=a", nil).Code, http.StatusBadRequest)
	is.Equal(call(h, http.MethodGet, "/v1/jobs?Limit=100000", nil).Code, http.StatusBadRequest)
	var detail JobDetail
	decodeAnswer(t, call(h, http.MethodGet, "/v1/jobs/j1", nil), &detail)
	is.Equal(detail.TaskRows[0].Worker, table.WorkerID("w1"))
	is.Equal(call(h, http.MethodGet, "/v1/jobs/none", nil).Code, http.StatusNotFound)
	is.Equal(call(h, http.MethodDelete, "/v1/jobs/j1", nil).Code, http.StatusOK)
	var workers WorkerPage
	decodeAnswer(t, call(h, http.MethodGet, "/v1/workers?Rack=r1", nil), &workers)
	is.Equal(len(workers.Workers), 1)
	is.Equal(workers.Workers[0].Tasks, 1)
	var status Status
	decodeAnswer(t, call(h, http.MethodGet, "/v1/status", nil), &status)
	is.Equal(status.Jobs[string(table.JobRunning)], 1)
	is.Equal(call(h, http.MethodGet, "/v1/report", nil).Code, http.StatusOK)
	is.Equal(call(h, http.MethodGet, "/v1/report.html", nil).Code, http.StatusOK)
	is.Equal(call(h, http.MethodPost, "/v1/plans", map[string]string{"Typ": "SetLimit"}).Code, http.StatusBadRequest)
	is.Equal(call(h, http.MethodPost, "/v1/plans", strings.Repeat("x", maxBodyBytes)).Code, http.StatusRequestEntityTooLarge)

	r := httptest.NewRequest(http.MethodPost, "/v1/plans", strings.NewReader("{}"))
	r.Header.Set("Test-Operator", "kim")
	r.Header.Set("Content-Type", "text/plain")
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	is.Equal(w.Code, http.StatusBadRequest)
	w = httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/status", nil))
	is.Equal(w.Code, http.StatusUnauthorized)
}
