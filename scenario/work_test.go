package scenario

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"persimmonpick/entry"
	"persimmonpick/journal"
	"persimmonpick/standins/platform"
	"persimmonpick/standins/site"
	"persimmonpick/table"
)

// cmdRequest sends a latency-critical request: request e1 quote Status=200 Code=A|B Key=k Body={} Within=5s Token=t.
// With Background=true the script does not wait for the response and ignores it.
func cmdRequest(ts *testscript.TestScript, neg bool, args []string) {
	w := stateOf(ts)
	plain, opts := splitOptions(args)
	header := map[string]string{}
	if key := opts["Key"]; key != "" {
		header["Idempotency-Key"] = key
	}
	body := opts["Body"]
	if body == "" {
		body = "{}"
	}
	status := opts["Status"]
	if status == "" {
		status = "200"
	}
	if opts["Token"] != "" {
		header["Authorization"] = "Bearer " + opts["Token"]
	}
	send := func() error {
		return expectStatus(http.MethodPost, w.callersURL(ts, plain[0])+"/v1/requests/"+plain[1], []byte(body), header, status, opts["Code"])
	}
	if opts["Background"] == "true" {
		go func() { _ = send() }()
		return
	}
	err := retryWithin(ts, opts, send)
	if neg == (err == nil) {
		ts.Fatalf("request: %v", err)
	}
}

// retryWithin repeats f until it succeeds or the period of option Within is over. Without the option f is called once.
func retryWithin(ts *testscript.TestScript, opts map[string]string, f func() error) error {
	if opts["Within"] == "" {
		return f()
	}
	d, err := time.ParseDuration(opts["Within"])
	ts.Check(err)
	return site.Poll(d, f)
}

// cmdSubmit submits a job and stores its id in a variable:
// submit e1 tally JOB RunMillis=500 Tasks=1 Key=k Status=202 Code= CPU=2000 CheckpointEveryMillis=100.
func cmdSubmit(ts *testscript.TestScript, _ bool, args []string) {
	w := stateOf(ts)
	plain, opts := splitOptions(args)
	payload, err := json.Marshal(platform.Payload{
		RunMillis:             table.Millis(intOption(ts, opts, "RunMillis", 200)),
		Result:                "done",
		CheckpointEveryMillis: table.Millis(intOption(ts, opts, "CheckpointEveryMillis", 0)),
		Fail:                  opts["Fail"] == "true",
		NonIdempotent:         plain[1] == "cut-plan",
	})
	ts.Check(err)
	req := entry.JobRequest{
		Kind: table.KindID(plain[1]), Tasks: intOption(ts, opts, "Tasks", 1), Payload: payload,
		Need:    table.Resources{CPU: table.Millicores(intOption(ts, opts, "CPU", 2000)), Memory: 1 << 30},
		RunTime: table.Millis(intOption(ts, opts, "RunMillis", 200)), Urgent: opts["Urgent"] == "true",
	}
	header := map[string]string{}
	if key := opts["Key"]; key != "" {
		header["Idempotency-Key"] = key
	}
	want := opts["Status"]
	if want == "" {
		want = "202"
	}
	err = retryWithin(ts, opts, func() error {
		status, data, err := site.Call(http.MethodPost, w.callersURL(ts, plain[0])+"/v1/jobs", token, req, header)
		if err != nil {
			return err
		}
		if strconv.Itoa(status) != want || !strings.Contains(string(data), opts["Code"]) {
			return fmt.Errorf("submit: status %d, want %s: %s", status, want, data)
		}
		var st entry.JobStatus
		if status == http.StatusAccepted {
			err = json.Unmarshal(data, &st)
			ts.Setenv(plain[2], string(st.ID))
		}
		return err
	})
	ts.Check(err)
}

func (w *scriptState) jobStatus(ts *testscript.TestScript, seat, id string) (entry.JobStatus, error) {
	var st entry.JobStatus
	err := site.Get(w.callersURL(ts, seat)+"/v1/jobs/"+id, token, &st)
	return st, err
}

// cmdJob waits until a job is in a state: job e2 $JOB Finished|Unknown [Task=Started] [Within=10s].
func cmdJob(ts *testscript.TestScript, _ bool, args []string) {
	w := stateOf(ts)
	plain, opts := splitOptions(args)
	if opts["Within"] == "" {
		opts["Within"] = defaultWait.String()
	}
	ts.Check(retryWithin(ts, opts, func() error {
		st, err := w.jobStatus(ts, plain[0], plain[1])
		if err != nil {
			return err
		}
		if len(plain) > 2 && !strings.Contains("|"+plain[2]+"|", "|"+string(st.State)+"|") {
			return fmt.Errorf("job %s is %s, want %s: %+v", plain[1], st.State, plain[2], st.Tasks)
		}
		for _, task := range st.Tasks {
			if opts["Task"] != "" && string(task.State) != opts["Task"] {
				return fmt.Errorf("task %s is %s, want %s", task.ID, task.State, opts["Task"])
			}
		}
		return nil
	}))
}

// cmdPick stores the worker of a job's first task in a variable: pick e1 $JOB WORKER.
func cmdPick(ts *testscript.TestScript, _ bool, args []string) {
	st, err := stateOf(ts).jobStatus(ts, args[0], args[1])
	ts.Check(err)
	if len(st.Tasks) == 0 || st.Tasks[0].Worker == "" {
		ts.Fatalf("job %s has no worker: %+v", args[1], st)
	}
	ts.Setenv(args[2], string(st.Tasks[0].Worker))
}

// cmdCall sends an HTTP request to a listener of a host: call GET e1 callers /v1/jobs/$JOB Status=404
// Token=other-token.
func cmdCall(ts *testscript.TestScript, _ bool, args []string) {
	plain, opts := splitOptions(args)
	url := stateOf(ts).callersURL(ts, plain[1])
	if plain[2] == "operators" {
		url = stateOf(ts).operatorsURL(ts, plain[1])
	}
	header := map[string]string{"Authorization": "Bearer " + opts["Token"]}
	ts.Check(expectStatus(plain[0], url+plain[3], []byte("{}"), header, opts["Status"], opts["Code"]))
}

// cmdCancel cancels a job: cancel e1 $JOB.
func cmdCancel(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(expectStatus(http.MethodDelete, stateOf(ts).callersURL(ts, args[0])+"/v1/jobs/"+args[1], nil, nil, "200", ""))
}

func (w *scriptState) postToPlatform(ts *testscript.TestScript, path string, body any) {
	status, data, err := site.Call(http.MethodPost, w.site.PlatformURL()+path, "", body, nil)
	ts.Check(err)
	if status >= http.StatusBadRequest {
		ts.Fatalf("POST %s: %d %s", path, status, data)
	}
}

// cmdFault injects a fault at the stand-in of the platform: fault '{"Action":"Fail","Target":"Log"}'.
func cmdFault(ts *testscript.TestScript, _ bool, args []string) {
	stateOf(ts).postToPlatform(ts, "/faults", []byte(args[0]))
}

// cmdClear removes all faults of the platform.
func cmdClear(ts *testscript.TestScript, _ bool, _ []string) {
	status, data, err := site.Call(http.MethodDelete, stateOf(ts).site.PlatformURL()+"/faults", "", nil, nil)
	ts.Check(err)
	if status >= http.StatusBadRequest {
		ts.Fatalf("clear: %d %s", status, data)
	}
}

// cmdHosts changes the platform's list of workers and instances: hosts '{"Leaving":["w01"]}'.
func cmdHosts(ts *testscript.TestScript, _ bool, args []string) {
	stateOf(ts).postToPlatform(ts, "/hosts", []byte(args[0]))
}

// cmdTruncate deletes the entries of the record stream below an offset: truncate 100.
func cmdTruncate(ts *testscript.TestScript, _ bool, args []string) {
	off, err := strconv.ParseUint(args[0], 10, 64)
	ts.Check(err)
	stateOf(ts).postToPlatform(ts, "/log/truncate", platform.Truncation{Stream: journal.RecordStream, Before: table.Offset(off)})
}

// cmdViolations checks that the platform's ledger of starts and ends has no violations, such as a task in two places.
func cmdViolations(ts *testscript.TestScript, _ bool, _ []string) {
	var list []platform.Violation
	ts.Check(site.Get(stateOf(ts).site.PlatformURL()+"/ledger/violations", "", &list))
	if len(list) > 0 {
		ts.Fatalf("%d violations: %+v", len(list), list)
	}
}

// cmdRuns checks the number of events of one type for a job's tasks in the platform's ledger:
// runs $JOB Finished 1 [Within=5s] [Worker=w00].
func cmdRuns(ts *testscript.TestScript, _ bool, args []string) {
	plain, opts := splitOptions(args)
	ts.Check(retryWithin(ts, opts, func() error {
		var events []platform.Event
		if err := site.Get(stateOf(ts).site.PlatformURL()+"/ledger", "", &events); err != nil {
			return err
		}
		n := 0
		for _, e := range events {
			if e.Event == plain[1] && (opts["Worker"] == "" || opts["Worker"] == string(e.Worker)) && strings.HasPrefix(string(e.Task), plain[0]+"/") {
				n++
			}
		}
		if strconv.Itoa(n) != plain[2] {
			return fmt.Errorf("ledger has %d %s events of job %s, want %s", n, plain[1], plain[0], plain[2])
		}
		return nil
	}))
}

// cmdLimit changes a limit: limit e1 Name=MaxInFlight Value=5 [Status=200]. The plan may be made and confirmed in
// separate steps: limit e1 Plan=a ..., then limit e2 Confirm=a.
func cmdLimit(ts *testscript.TestScript, _ bool, args []string) {
	w := stateOf(ts)
	plain, opts := splitOptions(args)
	url := w.operatorsURL(ts, plain[0])
	plan := []byte(ts.Getenv("PLAN_" + opts["Confirm"]))
	if opts["Confirm"] == "" {
		data, err := site.MakePlan(url, journal.Intent{Type: journal.SetLimit, Limit: &table.Limit{
			ID: table.LimitID(opts["Name"]), Value: int64(intOption(ts, opts, "Value", 1)),
		}})
		ts.Check(err)
		plan = data
	}
	if opts["Plan"] != "" {
		ts.Setenv("PLAN_"+opts["Plan"], string(plan))
		return
	}
	status := opts["Status"]
	if status == "" {
		status = "200"
	}
	ts.Check(expectStatus(http.MethodPost, url+"/v1/plans/confirm", plan, nil, status, opts["Code"]))
}
