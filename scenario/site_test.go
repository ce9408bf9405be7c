package scenario

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"persimmonpick/journal"
	"persimmonpick/settings"
	"persimmonpick/standins/site"
	"persimmonpick/table"
)

const (
	token = "scenario-token"
	team  = table.TeamID("vakaoti")
	// defaultWait bounds waits for which a script gives no bound. It is longer than any bound in the requirements.
	defaultWait = 30 * time.Second
)

// scriptState is the state of one running script.
type scriptState struct {
	ts             *testscript.TestScript
	site           *site.Site
	loads          map[string]*load
	marks          map[string]time.Time
	requestBatches int // number of answers commands so far, part of their keys
}

type scriptStateKey struct{}

func setup(env *testscript.Env) error {
	w := &scriptState{loads: map[string]*load{}, marks: map[string]time.Time{}}
	env.Values[scriptStateKey{}] = w
	env.Defer(func() {
		for _, l := range w.loads {
			l.stop()
		}
		if w.site != nil {
			w.site.Stop()
		}
	})
	return nil
}

func stateOf(ts *testscript.TestScript) *scriptState {
	return ts.Value(scriptStateKey{}).(*scriptState)
}

// splitOptions separates arguments of the form Name=Value from positional ones. An argument that begins with a brace is
// JSON and positional.
func splitOptions(args []string) (plain []string, opts map[string]string) {
	opts = map[string]string{}
	for _, a := range args {
		if name, value, ok := strings.Cut(a, "="); ok && !strings.HasPrefix(a, "{") {
			opts[name] = value
			continue
		}
		plain = append(plain, a)
	}
	return plain, opts
}

func intOption(ts *testscript.TestScript, opts map[string]string, name string, otherwise int) int {
	s, ok := opts[name]
	if !ok {
		return otherwise
	}
	n, err := strconv.Atoi(s)
	ts.Check(err)
	return n
}

// shortenTimings shortens the time-outs and periods, in about the proportions of the defaults, so that a script takes
// seconds.
func shortenTimings(cfg *settings.Settings) {
	set := func(d *settings.Duration, v time.Duration) { *d = settings.Duration(v) }
	t := &cfg.Timing
	set(&t.Heartbeat, 50*time.Millisecond)
	set(&t.PeerTimeout, 500*time.Millisecond)
	set(&t.LogGrace, 3*time.Second)
	set(&t.LeaseTerm, 2*time.Second)
	set(&t.ClockBound, 100*time.Millisecond)
	set(&t.HostListPeriod, 200*time.Millisecond)
	set(&t.ReportPeriod, 200*time.Millisecond)
	set(&t.RequestTimeout, 2*time.Second)
	set(&t.MaxRequestTime, 3*time.Second)
	set(&t.LoanTerm, time.Second)
	set(&t.DrainDelay, 300*time.Millisecond)
	set(&t.SnapshotPeriod, 500*time.Millisecond)
}

// setField sets one field of the settings by its path, such as Timing.LeaseTerm. A value that is not valid JSON is
// taken as a string.
func setField(cfg *settings.Settings, path, value string) error {
	data, err := json.Marshal(cfg)
	if err != nil {
		return err
	}
	var tree map[string]any
	if err := json.Unmarshal(data, &tree); err != nil {
		return err
	}
	names := strings.Split(path, ".")
	node := tree
	for _, name := range names[:len(names)-1] {
		node = node[name].(map[string]any)
	}
	last := names[len(names)-1]
	if _, ok := node[last]; !ok {
		return fmt.Errorf("unknown setting %s", path)
	}
	if json.Valid([]byte(value)) {
		node[last] = json.RawMessage(value)
	} else {
		node[last] = value
	}
	data, err = json.Marshal(tree)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, cfg)
}

// cmdSite starts a site of entry hosts, the stand-in of the platform and backend servers:
// site Hosts=3 Workers=4 Instances=3 Timing.LeaseTerm=2s.
// Options with a dot are settings of the hosts. Idle is the number of seats whose hosts are not started.
func cmdSite(ts *testscript.TestScript, _ bool, args []string) {
	w := stateOf(ts)
	_, opts := splitOptions(args)
	cfg := site.Config{
		Dir: ts.Getenv("WORK"), Bin: bin, Service: "quoting",
		Hosts: intOption(ts, opts, "Hosts", 3), Idle: intOption(ts, opts, "Idle", 0),
		Workers: intOption(ts, opts, "Workers", 4), Instances: intOption(ts, opts, "Instances", 3),
		Resources: table.Resources{CPU: 16000, Memory: 60 << 30},
		Zones:     []table.ZoneID{"az1", "az2", "az3"},
		Tokens:    map[string]table.TeamID{token: team, "other-token": "other"},
	}
	var failed error
	cfg.Adjust = func(s *settings.Settings) {
		shortenTimings(s)
		for path, value := range opts {
			if strings.Contains(path, ".") && failed == nil {
				failed = setField(s, path, value)
			}
		}
	}
	s, err := site.Start(cfg)
	w.site = s
	ts.Check(failed)
	ts.Check(err)
	ts.Setenv("BIN", bin)
	for i := range s.Seats[:len(s.Seats)-intOption(ts, opts, "Idle", 0)] {
		w.exportOperatorsURL(ts, i)
	}
}

// exportOperatorsURL sets environment variables with the URLs of the operators' listener of a host, for scripts that
// run the command line.
func (w *scriptState) exportOperatorsURL(ts *testscript.TestScript, i int) {
	url, err := w.site.OperatorsURL(i)
	ts.Check(err)
	seat := string(w.site.Seats[i].ID)
	ts.Setenv("OPERATORS_"+seat, url)
	ts.Setenv("TLS_"+seat, strings.Replace(url, "http:", "https:", 1))
}

func (w *scriptState) seatIndex(ts *testscript.TestScript, seat string) int {
	for i, s := range w.site.Seats {
		if string(s.ID) == seat {
			return i
		}
	}
	ts.Fatalf("unknown entry host %s", seat)
	return 0
}

func (w *scriptState) callersURL(ts *testscript.TestScript, seat string) string {
	url, err := w.site.CallersURL(w.seatIndex(ts, seat))
	ts.Check(err)
	return url
}

func (w *scriptState) operatorsURL(ts *testscript.TestScript, seat string) string {
	url, err := w.site.OperatorsURL(w.seatIndex(ts, seat))
	ts.Check(err)
	return url
}

// cmdReady waits until entry hosts, by default all, are ready: ready [e1 e2].
func cmdReady(ts *testscript.TestScript, _ bool, args []string) {
	w := stateOf(ts)
	if len(args) == 0 {
		for _, s := range w.site.Seats {
			args = append(args, string(s.ID))
		}
	}
	for _, seat := range args {
		ts.Check(w.site.WaitReady(w.seatIndex(ts, seat), defaultWait))
	}
}

// cmdAdmit confirms the plans that add the teams and kinds of the scenarios, and waits until every host answers quotes.
func cmdAdmit(ts *testscript.TestScript, _ bool, _ []string) {
	w := stateOf(ts)
	url := w.operatorsURL(ts, "e1")
	quota := table.Resources{CPU: 1 << 20, Memory: 1 << 40, Accelerators: 8}
	intents := []journal.Intent{
		{Type: journal.SetTeam, Team: &table.Team{ID: team, Weight: 1, Quota: quota}},
		{Type: journal.SetTeam, Team: &table.Team{ID: "other", Weight: 1, Quota: quota}},
		{Type: journal.SetKind, Kind: &table.Kind{
			ID: "quote", Class: table.LatencyCritical, Service: "quoting", Path: "/quote", Timeout: 2000,
			Objective: table.Objective{Target: 0.99, Latency: 200},
		}},
		{Type: journal.SetKind, Kind: &table.Kind{
			ID: "billed", Class: table.LatencyCritical, Service: "quoting", Path: "/billed", Timeout: 2000, NonIdempotent: true,
		}},
		{Type: journal.SetKind, Kind: &table.Kind{ID: "cut-plan", Class: table.Batch, NonIdempotent: true}},
		{Type: journal.SetKind, Kind: &table.Kind{ID: "tally", Class: table.Batch}},
	}
	for _, in := range intents {
		ts.Check(site.Confirm(url, in))
	}
	for _, s := range w.site.Seats {
		ts.Check(site.Poll(defaultWait, func() error {
			return expectStatus(http.MethodPost, w.callersURL(ts, string(s.ID))+"/v1/requests/quote", []byte(`{}`), nil, "200", "")
		}))
	}
}

// expectStatus sends a request and compares the status and, if code is not empty, the error code. Both may list
// alternatives separated by a vertical bar.
func expectStatus(method, url string, body any, header map[string]string, status, code string) error {
	got, data, err := site.Call(method, url, token, body, header)
	if err != nil {
		return err
	}
	if !strings.Contains("|"+status+"|", "|"+strconv.Itoa(got)+"|") {
		return fmt.Errorf("%s %s: status %d, want %s: %s", method, url, got, status, data)
	}
	var f struct{ Code string }
	if code == "" {
		return nil
	}
	if err := json.Unmarshal(data, &f); err != nil || !strings.Contains("|"+code+"|", "|"+f.Code+"|") {
		return fmt.Errorf("%s %s: code %q, want %q: %s", method, url, f.Code, code, data)
	}
	return nil
}

// cmdSignal sends a signal to an entry host, to platform or to a backend server such as backend-0:
// signal e1 kill|stop|cont|term.
func cmdSignal(ts *testscript.TestScript, _ bool, args []string) {
	w := stateOf(ts)
	p := w.process(ts, args[0])
	switch args[1] {
	case "kill":
		p.Kill()
	case "stop":
		ts.Check(p.Signal(syscall.SIGSTOP))
	case "cont":
		ts.Check(p.Signal(syscall.SIGCONT))
	case "term":
		ts.Check(p.Signal(syscall.SIGTERM))
	default:
		ts.Fatalf("unknown signal %s", args[1])
	}
}

func (w *scriptState) process(ts *testscript.TestScript, name string) *site.Process {
	if name == "platform" {
		return w.site.Platform
	}
	if i, ok := strings.CutPrefix(name, "backend-"); ok {
		n, err := strconv.Atoi(i)
		ts.Check(err)
		return w.site.Backends[n]
	}
	return w.site.Hosts[w.seatIndex(ts, name)]
}

// cmdStart starts the processes of seats: start e1 [e2].
func cmdStart(ts *testscript.TestScript, _ bool, args []string) {
	w := stateOf(ts)
	for _, seat := range args {
		i := w.seatIndex(ts, seat)
		ts.Check(w.site.StartHost(i))
		w.exportOperatorsURL(ts, i)
	}
}

// cmdExitCode waits for a process to exit and checks its exit status: exitcode e1 0.
func cmdExitCode(ts *testscript.TestScript, _ bool, args []string) {
	code, err := stateOf(ts).process(ts, args[0]).Wait(defaultWait)
	ts.Check(err)
	if strconv.Itoa(code) != args[1] {
		ts.Fatalf("%s exited with status %d, want %s", args[0], code, args[1])
	}
}

// cmdMark stores the current time under a name: mark fault.
func cmdMark(ts *testscript.TestScript, _ bool, args []string) {
	stateOf(ts).marks[args[0]] = time.Now()
}

// cmdTook prints the time since a mark and fails if it exceeds a bound: took fault 10s.
func cmdTook(ts *testscript.TestScript, _ bool, args []string) {
	d := time.Since(stateOf(ts).marks[args[0]])
	bound, err := time.ParseDuration(args[1])
	ts.Check(err)
	ts.Logf("took %s: %v (bound %v)", args[0], d.Round(time.Millisecond), bound)
	fmt.Fprintf(os.Stderr, "measured %s: %s took %v\n", ts.Name(), args[0], d.Round(time.Millisecond))
	if d > bound {
		ts.Fatalf("%s took %v, longer than %v", args[0], d, bound)
	}
}
