package commands

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"persimmonpick/answer"
	"persimmonpick/fault"
	"persimmonpick/journal"
	"persimmonpick/operator"
	"persimmonpick/table"
)

// deadURL refuses connections: port 1 is reserved and nothing listens on it.
const deadURL = "http://127.0.0.1:1"

type result struct {
	code           int
	stdout, stderr string
}

func run(stdin string, terminal bool, args ...string) result {
	var stdout, stderr bytes.Buffer
	env := Env{Stdin: strings.NewReader(stdin), Stdout: &stdout, Stderr: &stderr, Terminal: terminal}
	code := Run(context.Background(), env, append([]string{"persimmonpick"}, args...))
	return result{code, stdout.String(), stderr.String()}
}

func newTestServer(t *testing.T, handle http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(handle)
	t.Cleanup(server.Close)
	return server.URL
}

// Guards against changed exit codes, and against one that reports an unknown outcome as not run.
func TestExitCodes(t *testing.T) {
	want := map[fault.Kind]int{
		fault.Conflict: 3, fault.Stale: 3, fault.KeyReused: 3, fault.NotFound: 4,
		fault.Overloaded: 5, fault.NoInstance: 5, fault.QuotaExceeded: 5, fault.LogUnavailable: 5,
		fault.NotReady: 5, fault.Stopping: 5, fault.NotCurrent: 5, fault.Capacity: 5,
		fault.StillRunning: 6, fault.OutcomeUnknown: 6, fault.DeadlineExceeded: 6,
		fault.BackendFailed: 6, fault.BadAnswer: 6, fault.PlatformFailed: 6, fault.Internal: 6,
		fault.Invalid: 7, fault.TooLarge: 7, fault.NeverFits: 7,
		fault.Unauthorized: 1, fault.Forbidden: 1,
	}
	for _, kind := range fault.Kinds() {
		is := is.New(t)
		url := newTestServer(t, func(w http.ResponseWriter, _ *http.Request) { answer.Error(w, fault.New(kind, "because")) })
		got := run("", false, "-operators", url, "jobs", "cancel", "-yes", "j1")
		is.Equal(got.code, want[kind]) // kind
		is.True(kind == fault.Internal || strings.Contains(got.stderr, "because ("+kind.String()+")"))
	}
	is := is.New(t)
	for _, args := range [][]string{{"typo"}, {"jobs", "typo"}, {"status"}, {"status", "-typo"}, {"plan", "limit", "x"}, {"-operators", "127.0.0.1", "status"}} {
		is.Equal(run("", false, args...).code, ExitUsage) // args
	}
	is.Equal(run("", false, "check-settings", "missing.json").code, ExitInvalid)
	is.Equal(run("", false).code, ExitOK)
}

// Guards against sending a non-idempotent change twice, reporting a lost response as not run, and giving up a safe call
// at the first dead host.
func TestNextServer(t *testing.T) {
	is := is.New(t)
	var calls atomic.Int32
	aborting := newTestServer(t, func(http.ResponseWriter, *http.Request) {
		calls.Add(1)
		panic(http.ErrAbortHandler) // closes the connection without a response
	})
	live := newTestServer(t, func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		answer.JSON(w, http.StatusOK, operator.Status{Applied: 7})
	})
	got := run("", false, "-operators", deadURL+","+aborting+","+live, "status")
	is.Equal(got.code, ExitOK)
	is.Equal(calls.Load(), int32(2))
	is.True(strings.Contains(got.stdout, "log applied to 7"))

	calls.Store(0)
	got = run("", false, "-operators", deadURL+","+aborting+","+live, "jobs", "cancel", "-yes", "j1")
	is.Equal(got.code, ExitUnknown)
	is.Equal(calls.Load(), int32(1)) // the dead host was skipped; after the aborted call no other host was tried
	is.Equal(run("", false, "-operators", deadURL, "jobs", "cancel", "-yes", "j1").code, ExitNotRun)

	// A plan has an id, so its confirmation may be retried at the next host. If that did not run it, the outcome at the
	// first host is still unknown.
	file := filepath.Join(t.TempDir(), "plan.json")
	is.NoErr(os.WriteFile(file, []byte(`{"ID":"p1","Base":4}`), 0o600))
	calls.Store(0)
	is.Equal(run("", false, "-operators", aborting+","+live, "confirm", "-yes", file).code, ExitOK)
	is.Equal(calls.Load(), int32(2))
	is.Equal(run("", false, "-operators", aborting+","+deadURL, "confirm", "-yes", file).code, ExitUnknown)
	is.Equal(run("{}", false, "submit", "-callers", aborting+","+deadURL, "-idempotency-key", "k", "-").code, ExitUnknown)
}

// Guards against a plan that is confirmed without the operator's consent, and against one that changes on its way
// through a file.
func TestPlanAndConfirm(t *testing.T) {
	is := is.New(t)
	var confirmed []operator.Plan
	url := newTestServer(t, func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/confirm") {
			var p operator.Plan
			is.NoErr(answer.Decode(r, 1<<20, &p))
			confirmed = append(confirmed, p)
			answer.JSON(w, http.StatusOK, operator.Confirmed{ID: p.ID, Offset: 12, InForce: 6, Hosts: 7})
			return
		}
		var in journal.Intent
		is.NoErr(answer.Decode(r, 1<<20, &in))
		answer.JSON(w, http.StatusOK, operator.Plan{ID: "p1", Intent: in, Base: 4, Effects: []string{"effect \x1b[2J"}})
	})
	file := filepath.Join(t.TempDir(), "plan.json")
	got := run("", false, "-operators", url, "plan", "limit", "-out", file, "MaxInFlight", "800")
	is.Equal(got.code, ExitOK)
	is.True(strings.Contains(got.stdout, "effect ?[2J")) // no control bytes reach the terminal
	is.Equal(run("", false, "-operators", url, "confirm", file).code, ExitUsage)
	is.Equal(run("n\n", true, "-operators", url, "confirm", file).code, ExitOther)
	is.Equal(run("", true, "-operators", url, "confirm", file).code, ExitOther)
	is.Equal(len(confirmed), 0)

	got = run("y\n", true, "-operators", url, "confirm", file)
	is.Equal(got.code, ExitOK)
	is.True(strings.Contains(got.stdout, "in force on 6 of 7 entry hosts"))
	is.Equal(confirmed[0].Intent, journal.Intent{Type: journal.SetLimit, Limit: &table.Limit{ID: "MaxInFlight", Value: 800}})
	is.Equal(confirmed[0].Base, table.Offset(4))

	piped := run("", false, "-operators", url, "plan", "drain", "-worker", "w1")
	is.Equal(run(piped.stdout, false, "-operators", url, "confirm", "-").code, ExitUsage)
	is.Equal(run(piped.stdout, false, "-operators", url, "confirm", "-yes", "-").code, ExitOK)
	is.Equal(*confirmed[1].Intent.Drain, table.Drain{Worker: "w1"})
	is.Equal(run("", false, "-operators", url, "drain", "-yes", "r1").code, ExitOK)
	is.Equal(run("", false, "-operators", url, "jobs", "resolve", "-yes", "j1/0", "Rerun").code, ExitOK)
	is.Equal(confirmed[3].Intent.Outcome, journal.ResolveRerun)
}

// Guards against a plan for one field of a kind or team that resets the other fields.
func TestPlanKindKeepsOtherFields(t *testing.T) {
	is := is.New(t)
	kind := table.Kind{ID: "quote", Class: table.LatencyCritical, Service: "quote", Path: "/q", NonIdempotent: true}
	var sent journal.Intent
	url := newTestServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			answer.JSON(w, http.StatusOK, operator.Status{Kinds: []table.Kind{kind}})
			return
		}
		is.NoErr(answer.Decode(r, 1<<20, &sent))
		answer.JSON(w, http.StatusOK, operator.Plan{ID: "p1", Intent: sent})
	})
	is.Equal(run("", false, "-operators", url, "plan", "kind", "-target", "0.999", "quote").code, ExitOK)
	kind.Objective.Target = 0.999
	is.Equal(*sent.Kind, kind)
	is.Equal(run("", false, "-operators", url, "plan", "team", "-cpu", "1.5", "depot").code, ExitOK)
	is.Equal(*sent.Team, table.Team{ID: "depot", Weight: 1, Quota: table.Resources{CPU: 1500}})
}

// Guards against altering a response that is written for a caller, and against -json output that is not valid JSON.
func TestCallerAndOutput(t *testing.T) {
	is := is.New(t)
	url := newTestServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Authorization") == "Bearer secret" && r.Header.Get("Idempotency-Key") == "k1" && r.URL.Path == "/v1/requests/quote" {
			_, _ = w.Write([]byte("\x00\x1b raw"))
			return
		}
		answer.JSON(w, http.StatusOK, operator.JobPage{Jobs: []operator.JobRow{{ID: "j1"}}, Next: "j1"})
	})
	token := filepath.Join(t.TempDir(), "token")
	is.NoErr(os.WriteFile(token, []byte("secret\n"), 0o600))
	got := run("{}", false, "request", "-callers", url, "-token-file", token, "-idempotency-key", "k1", "quote", "-")
	is.Equal(got.stdout, "\x00\x1b raw")
	is.Equal(run("{", false, "submit", "-callers", url, "-").code, ExitInvalid)
	is.Equal(run("{}", false, "submit", "-callers", url, "-").code, ExitOK)

	var page operator.JobPage
	is.NoErr(json.Unmarshal([]byte(run("", false, "-operators", url, "-json", "jobs", "list").stdout), &page))
	is.Equal(page.Jobs[0].ID, table.JobID("j1"))
	is.True(strings.Contains(run("", false, "-operators", url, "jobs", "list").stdout, "-after j1"))
}

// Guards against an operations manual that lacks an error kind or differs from the program in its status, retry or exit
// code.
func TestOperationsPage(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	is.NoErr(err)
	for _, kind := range fault.Kinds() {
		row := kind.Answer()
		retry := map[bool]string{true: "yes", false: "no"}[row.Retry]
		start := fmt.Sprintf("| %s | %d | %s | %s | %d ", kind, row.Status, row.Ran, retry, exitCodeForKind(kind))
		is.True(strings.Contains(string(page), start)) // kind
	}
}

// The command reads logs without any entry host, and writes the page beside its output.
func TestReviewWritesAPage(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "review.html")
	log := `time=2026-12-04T10:00:01.000Z level=INFO msg="job final" Job=a Queue=q State=Completed After=1s Objective=2s`
	got := run(log, false, "review", "-html", file, "-")
	is.Equal(got.code, ExitOK)
	is.True(strings.Contains(got.stdout, "on time"))
	page, err := os.ReadFile(file)
	is.NoErr(err)
	is.True(strings.Contains(string(page), "<svg"))
	is.Equal(run("", false, "review").code, ExitUsage)
}
