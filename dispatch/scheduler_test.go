package dispatch

import (
	"io"
	"log/slog"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"persimmonpick/fault"
	"persimmonpick/ledger"
	"persimmonpick/table"
	"persimmonpick/workload"
)

// rig drives a Scheduler with a simulated clock.
type rig struct {
	*Scheduler
	now time.Time
}

const testTerm = 6 * time.Second

func newRig() *rig {
	r := &rig{
		Scheduler: NewScheduler(Config{
			Epoch: 1, LeaseTerm: testTerm, StatusRetention: time.Minute, RemoteFactor: 3, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		}),
		now: time.Unix(1_000_000, 0),
	}
	return r
}

func (r *rig) workerInfo(id string) WorkerInfo {
	return WorkerInfo{
		ID: table.WorkerID(id), Service: "s", Address: id + ":1", Rack: "r1", Labels: []string{"a", "r1"},
		Capacity: table.Resources{CPU: 16000, Memory: 64 << 30}, Incarnation: 1,
	}
}

// addWorkers lists workers and answers their first poll.
func (r *rig) addWorkers(ids ...string) {
	for _, id := range ids {
		r.SetWorker(r.workerInfo(id), r.now)
	}
	r.answerPolls(map[string]PollReply{})
}

// listRunning returns the reply of a worker that runs exactly what is assigned to it.
func (r *rig) listRunning(id table.WorkerID) PollReply {
	l := PollReply{Incarnation: 1, Clock: WorkerClock(r.now.UnixMilli())}
	for k, t := range r.workers[id].tasks {
		l.Running = append(l.Running, RunningTask{Task: k, Run: t.run, Percent: t.percent + 1})
	}
	return l
}

// answerPolls sends all polls that are due and answers them; workers without an entry list what is assigned to
// them.
func (r *rig) answerPolls(replies map[string]PollReply) []PollOrder {
	r.now = r.now.Add(pollPause)
	orders := r.PollOrders(r.now, true)
	for _, o := range orders {
		l, given := replies[string(o.Worker)]
		if !given {
			l = r.listRunning(o.Worker)
		}
		l.Incarnation, l.Clock = 1, WorkerClock(r.now.UnixMilli())
		r.PollDone(o, r.now, l, nil, r.now.Add(time.Millisecond))
	}
	r.now = r.now.Add(time.Millisecond)
	return orders
}

// step returns a step of n tasks of one core each.
func step(n int) workload.Step {
	return workload.Step{Count: n, Need: table.Resources{CPU: 1000, Memory: 1 << 30}, Estimate: 1000}
}

// entryOf returns the log entry of an accepted job without steps.
func entryOf(r *rig, id string) ledger.Entry {
	return ledger.Entry{ID: table.JobID(id), Submission: &workload.Submission{
		Queue:     workload.Queue{ID: "q", Service: "s", MaxAttempts: 3, Stretch: 2, Allowance: 1000},
		Spec:      workload.Spec{Payload: "p"},
		Submitted: table.UnixMillis(r.now.UnixMilli()),
	}}
}

func (r *rig) submit(id string, steps ...workload.Step) {
	e := entryOf(r, id)
	e.Submission.Spec.Steps = steps
	r.SetEntry(e, r.now)
}

// place places tasks and returns the start orders whose records are in the log.
func (r *rig) place() []StartOrder {
	r.now = r.now.Add(time.Millisecond)
	r.Tick(r.now)
	r.Decide(r.now)
	f := r.Flush(r.now)
	if f == nil {
		return nil
	}
	return r.Flushed(f, r.now, true)
}

// placeAndStart places tasks and answers all start orders with Started.
func (r *rig) placeAndStart() []StartOrder {
	orders := r.place()
	for _, o := range orders {
		r.StartDone(o, Started, r.now)
	}
	return orders
}

func key(job string, step, index int) workload.TaskKey {
	return workload.TaskKey{Job: table.JobID(job), Step: step, Index: index}
}

func TestStepsFollowEachOther(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.addWorkers("w")
	second := step(1)
	second.After = []int{0}
	r.submit("j", step(2), second)
	first := r.placeAndStart()
	is.Equal(len(first), 2)
	r.answerPolls(map[string]PollReply{"w": {Ended: []TaskResult{{Number: 1, Task: key("j", 0, 0), Run: 1}}, Running: []RunningTask{{Task: key("j", 0, 1), Run: 1}}}})
	is.Equal(len(r.placeAndStart()), 0) // one task of the first step still runs
	r.answerPolls(map[string]PollReply{"w": {Ended: []TaskResult{{Number: 2, Task: key("j", 0, 1), Run: 1}}}})
	next := r.placeAndStart()
	is.Equal(len(next), 1)
	is.Equal(next[0].Task, key("j", 1, 0))
	r.answerPolls(map[string]PollReply{"w": {Ended: []TaskResult{{Number: 3, Task: key("j", 1, 0), Run: 1}}}})
	is.Equal(r.jobs["j"].state, workload.Completed)
}

func TestResultsAreAcknowledgedOnceWritten(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.addWorkers("w")
	r.submit("j", step(1))
	r.placeAndStart()
	r.answerPolls(map[string]PollReply{"w": {Ended: []TaskResult{{Number: 1, Task: key("j", 0, 0), Run: 1}}}})
	is.Equal(r.answerPolls(nil)[0].Acked, ResultNumber(0)) // its record is not in the log yet
	r.place()
	is.Equal(r.answerPolls(nil)[0].Acked, ResultNumber(1))
}

func TestUnansweredStartWaitsForAPollUnderAHigherToken(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.addWorkers("w")
	r.submit("j", step(1))
	o := r.place()[0]
	r.StartDone(o, StartUnknown, r.now)
	is.Equal(len(r.place()), 0)
	polls := r.answerPolls(map[string]PollReply{"w": {}})
	is.True(polls[0].Token > o.Token)
	again := r.place()
	is.Equal(len(again), 1)       // the order can no longer take effect
	is.Equal(again[0].Run, o.Run) // the same run is meant
}

func TestUnansweredStartThatTookEffectIsKept(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.addWorkers("w")
	r.submit("j", step(1))
	o := r.place()[0]
	r.StartDone(o, StartUnknown, r.now)
	r.answerPolls(map[string]PollReply{"w": {Running: []RunningTask{{Task: o.Task, Run: o.Run}}}})
	is.Equal(len(r.place()), 0)
	is.Equal(r.task(o.Task).phase, running)
}

func TestSilentWorkerKeepsItsTasksUntilTheLeaseEnds(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.addWorkers("a")
	r.submit("j", step(1))
	o := r.placeAndStart()[0]
	r.addWorkers("b")
	silent := func(d time.Duration) (restarted bool) {
		for end := r.now.Add(d); r.now.Before(end); {
			r.now = r.now.Add(100 * time.Millisecond)
			for _, l := range r.PollOrders(r.now, true) {
				if l.Worker == o.Worker {
					r.PollDone(l, r.now, PollReply{}, fault.New(fault.OutcomeUnknown, "silent"), r.now)
					continue
				}
				r.PollDone(l, r.now, r.listRunning(l.Worker), nil, r.now)
			}
			restarted = restarted || len(r.placeAndStart()) > 0
		}
		return restarted
	}
	is.True(!silent(testTerm - 200*time.Millisecond))
	is.True(silent(2 * time.Second)) // polls without an answer do not extend the lease for ever
}

// failPoll answers all polls that are due, that of the given worker with an error of kind k.
func (r *rig) failPoll(id table.WorkerID, k fault.Kind) {
	r.now = r.now.Add(pollPause)
	for _, o := range r.PollOrders(r.now, true) {
		if o.Worker == id {
			r.PollDone(o, r.now, PollReply{}, fault.New(k, "no reply of the worker"), r.now)
		} else {
			r.PollDone(o, r.now, r.listRunning(o.Worker), nil, r.now)
		}
	}
}

func TestAddressOfAnotherIncarnationFreesTasks(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.addWorkers("a")
	r.submit("j", step(1))
	o := r.placeAndStart()[0]
	r.addWorkers("b")
	r.failPoll(o.Worker, fault.NotCurrent)
	again := r.placeAndStart()
	is.Equal(len(again), 1)
	is.Equal(again[0].Worker, table.WorkerID("b"))
}

func TestNextLeaderReachesWorkersWithoutTheList(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.addWorkers("w")
	r.submit("j", step(1))
	r.Decide(r.now)
	f := r.Flush(r.now)
	o := r.Flushed(f, r.now, true)[0]
	records := map[string][]byte{}
	for _, rec := range f.records {
		if name, ok := strings.CutPrefix(rec.Key, "N"); ok {
			records[name] = rec.Value
		}
	}

	next := newRig()
	next.cfg.Epoch = 2
	next.RestoreHandover(records, next.now)
	next.submit("j", step(1))
	polls := next.PollOrders(next.now, true)
	is.Equal(len(polls), 0) // no run is assigned to the worker, and none may start before it is listed
	next.ensureWorker("w", next.now).assign(next.task(o.Task), running)
	polls = next.PollOrders(next.now, true)
	is.Equal(len(polls), 1)
	is.Equal(polls[0].Address, "w:1")
}

// A start may have been answered by the new incarnation before the worker list names it. The runs of the new
// incarnation must then not count as lost.
func TestRestartedWorkerKeepsRunsOfTheNewIncarnation(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.addWorkers("a")
	r.submit("j", step(2))
	r.placeAndStart()
	info := r.workerInfo("a")
	info.Incarnation = 2
	r.SetWorker(info, r.now)
	r.SetWorker(r.workerInfo("b"), r.now)
	r.now = r.now.Add(pollPause)
	polls := map[table.WorkerID]PollOrder{}
	for _, o := range r.PollOrders(r.now, true) {
		polls[o.Worker] = o
	}
	r.PollDone(polls["b"], r.now, r.listRunning("b"), nil, r.now)
	is.Equal(len(r.placeAndStart()), 0) // the runs of the new incarnation are unknown before it is polled
	is.True(polls["a"].Token > r.firstToken())
	r.PollDone(polls["a"], r.now, PollReply{Incarnation: 2, Running: []RunningTask{{Task: key("j", 0, 1), Run: 1}}}, nil, r.now)
	again := r.placeAndStart()
	is.Equal(len(again), 1) // the other one ended with the old incarnation
	is.Equal(again[0].Task, key("j", 0, 0))
}

func TestNextLeaderKeepsRunsOfAnUnknownIncarnation(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.RestoreHandover(map[string][]byte{handoverWorkerPrefix + "a": workerHandoverOf(r, "a")}, r.now)
	r.submit("j", step(1))
	// Started in an incarnation after the handover record.
	r.ensureWorker("a", r.now).assign(r.task(key("j", 0, 0)), running)
	info := r.workerInfo("a")
	info.Incarnation = 5
	r.SetWorker(info, r.now)
	is.Equal(r.task(key("j", 0, 0)).phase, running)
}

func workerHandoverOf(r *rig, id string) []byte {
	w := newWorker(r.workerInfo(id), 1)
	r.changedWorkers = append(r.changedWorkers, w)
	return r.workerRecords()[0].Value
}

// A poll may tell of a new incarnation before the worker list does.
func TestHandoverRecordNamesTheIncarnationThatAPollHasShown(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.addWorkers("a")
	r.place()
	r.now = r.now.Add(pollPause)
	o := r.PollOrders(r.now, true)[0]
	r.PollDone(o, r.now, PollReply{Incarnation: 2}, nil, r.now)
	info := r.workerInfo("a")
	info.Incarnation = 2
	r.SetWorker(info, r.now)

	next := newRig()
	next.RestoreHandover(handoverRecords(r.Flush(r.now)), next.now)
	is.True(next.workers["a"] != nil) // the record was written again
	is.Equal(next.workers["a"].info.Incarnation, table.UnixMillis(2))
}

// handoverRecords returns the handover records of a batch by name.
func handoverRecords(f *Batch) map[string][]byte {
	records := map[string][]byte{}
	if f == nil {
		return records
	}
	for _, rec := range f.records {
		if name, ok := strings.CutPrefix(rec.Key, "N"); ok {
			records[name] = rec.Value
		}
	}
	return records
}

func TestFencedLeaderIsSuperseded(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.addWorkers("a")
	r.submit("j", step(1))
	r.placeAndStart()
	is.True(!r.Superseded())
	r.now = r.now.Add(pollPause)
	o := r.PollOrders(r.now, true)[0]
	old := o
	old.Token--
	r.PollDone(old, r.now, PollReply{}, fault.New(fault.Stale, "fence"), r.now)
	is.True(!r.Superseded()) // the worker has seen a later token of this leader
	r.PollDone(o, r.now, PollReply{}, fault.New(fault.Stale, "fence"), r.now)
	is.True(r.Superseded())
}

// Its former address may belong to another worker.
func TestRunsOfAWorkerThatMovedAreNotLost(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.addWorkers("a")
	r.submit("j", step(1))
	r.placeAndStart()
	r.now = r.now.Add(pollPause)
	o := r.PollOrders(r.now, true)[0]
	info := r.workerInfo("a")
	info.Address = "elsewhere:1"
	r.SetWorker(info, r.now)
	r.PollDone(o, r.now, PollReply{}, fault.New(fault.NotCurrent, "another worker"), r.now)
	is.Equal(r.task(key("j", 0, 0)).phase, running)
}

// Guards against a final state that is deleted as soon as it is written, since the log was away for the retention.
func TestFinalStateIsKeptForItsTimeAfterAnOutage(t *testing.T) {
	is := is.New(t)
	r := newRig()
	status, err := ledger.StatusRecord("j", workload.Status{})
	is.NoErr(err)
	deletes := func(f *Batch) bool {
		return f != nil && slices.ContainsFunc(f.records, func(rec ledger.Record) bool { return rec.Key == status.Key && rec.Value == nil })
	}
	r.addWorkers("w")
	r.submit("j", step(1))
	is.Equal(len(r.placeAndStart()), 1)
	r.list("w", TaskResult{Number: 1, Task: key("j", 0, 0), Run: 1, Cause: EndDone})
	is.Equal(r.jobs["j"].state, workload.Completed)
	r.now = r.now.Add(r.cfg.StatusRetention + time.Second) // another write is in flight
	r.Tick(r.now)
	f := r.Flush(r.now)
	is.True(!deletes(f))
	r.now = r.now.Add(r.cfg.StatusRetention + time.Second)
	r.Tick(r.now)
	is.True(!deletes(r.Flush(r.now)))
	r.Flushed(f, r.now, true)
	r.now = r.now.Add(r.cfg.StatusRetention)
	r.Tick(r.now)
	is.True(!deletes(r.Flush(r.now)))
	r.now = r.now.Add(time.Second)
	r.Tick(r.now)
	is.True(deletes(r.Flush(r.now)))
	is.Equal(len(r.unloggedFinal), 0)
}
