package dispatch

import (
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"persimmonpick/fault"
	"persimmonpick/ledger"
	"persimmonpick/table"
	"persimmonpick/workload"
)

// rig drives a board with a clock of its own.
type rig struct {
	*Scheduler
	now time.Time
}

const testTerm = 6 * time.Second

func newRig() *rig {
	r := &rig{
		Scheduler: NewScheduler(Config{
			Epoch: 1, Term: testTerm, StatusKept: time.Minute, Far: 3, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		}),
		now: time.Unix(1_000_000, 0),
	}
	return r
}

func (r *rig) worker(id string) WorkerInfo {
	return WorkerInfo{
		ID: table.WorkerID(id), Service: "s", Address: id + ":1", Rack: "r1", Labels: []string{"a", "r1"},
		Capacity: table.Resources{CPU: 16000, Memory: 64 << 30}, Born: 1,
	}
}

// list adds workers that have answered a look.
func (r *rig) list(ids ...string) {
	for _, id := range ids {
		r.SetWorker(r.worker(id), r.now)
	}
	r.answer(map[string]PollReply{})
}

// listing is the answer of a worker that runs what the board believes.
func (r *rig) listing(id table.WorkerID) PollReply {
	l := PollReply{Born: 1, Clock: WorkerClock(r.now.UnixMilli())}
	for k, t := range r.workers[id].tasks {
		l.Running = append(l.Running, RunningTask{Task: k, Run: t.run, Percent: t.percent + 1})
	}
	return l
}

// answer sends all looks that are due and answers them; workers without an entry list what the board believes.
func (r *rig) answer(looks map[string]PollReply) []PollOrder {
	r.now = r.now.Add(lookPause)
	orders := r.PollOrders(r.now, true)
	for _, o := range orders {
		l, told := looks[string(o.Worker)]
		if !told {
			l = r.listing(o.Worker)
		}
		l.Born, l.Clock = 1, WorkerClock(r.now.UnixMilli())
		r.PollDone(o, r.now, l, nil, r.now.Add(time.Millisecond))
	}
	r.now = r.now.Add(time.Millisecond)
	return orders
}

// step returns a step of n tasks of one core each.
func step(n int) workload.Step {
	return workload.Step{Count: n, Need: table.Resources{CPU: 1000, Memory: 1 << 30}, Estimate: 1000}
}

// entryOf returns the entry of an accepted job without steps.
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

// round places tasks and returns the orders whose records are in the log.
func (r *rig) round() []StartOrder {
	r.now = r.now.Add(time.Millisecond)
	r.Tick(r.now)
	r.Decide(r.now)
	f := r.Flush(r.now)
	if f == nil {
		return nil
	}
	return r.Flushed(f, r.now, true)
}

// start places tasks and has all of them start.
func (r *rig) start() []StartOrder {
	orders := r.round()
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
	r.list("w")
	second := step(1)
	second.After = []int{0}
	r.submit("j", step(2), second)
	first := r.start()
	is.Equal(len(first), 2)
	r.answer(map[string]PollReply{"w": {Ended: []TaskResult{{Number: 1, Task: key("j", 0, 0), Run: 1}}, Running: []RunningTask{{Task: key("j", 0, 1), Run: 1}}}})
	is.Equal(len(r.start()), 0) // one task of the first step still runs
	r.answer(map[string]PollReply{"w": {Ended: []TaskResult{{Number: 2, Task: key("j", 0, 1), Run: 1}}}})
	next := r.start()
	is.Equal(len(next), 1)
	is.Equal(next[0].Task, key("j", 1, 0))
	r.answer(map[string]PollReply{"w": {Ended: []TaskResult{{Number: 3, Task: key("j", 1, 0), Run: 1}}}})
	is.Equal(r.jobs["j"].state, workload.Completed)
}

func TestEndingsAreAcknowledgedOnceWritten(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.list("w")
	r.submit("j", step(1))
	r.start()
	r.answer(map[string]PollReply{"w": {Ended: []TaskResult{{Number: 1, Task: key("j", 0, 0), Run: 1}}}})
	is.Equal(r.answer(nil)[0].Acked, ResultNumber(0)) // its record is not in the log yet
	r.round()
	is.Equal(r.answer(nil)[0].Acked, ResultNumber(1))
}

func TestUnansweredStartWaitsForALookUnderAHigherToken(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.list("w")
	r.submit("j", step(1))
	o := r.round()[0]
	r.StartDone(o, StartUnknown, r.now)
	is.Equal(len(r.round()), 0)
	looks := r.answer(map[string]PollReply{"w": {}})
	is.True(looks[0].Token > o.Token)
	again := r.round()
	is.Equal(len(again), 1) // the order cannot take effect any more
	is.Equal(again[0].Run, o.Run+1)
}

func TestUnansweredStartThatTookEffectIsKept(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.list("w")
	r.submit("j", step(1))
	o := r.round()[0]
	r.StartDone(o, StartUnknown, r.now)
	r.answer(map[string]PollReply{"w": {Running: []RunningTask{{Task: o.Task, Run: o.Run}}}})
	is.Equal(len(r.round()), 0)
	is.Equal(r.task(o.Task).phase, running)
}

func TestSilentWorkerKeepsItsTasksUntilTheLeaseEnds(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.list("a")
	r.submit("j", step(1))
	o := r.start()[0]
	r.list("b")
	silent := func(d time.Duration) (restarted bool) {
		for end := r.now.Add(d); r.now.Before(end); {
			r.now = r.now.Add(100 * time.Millisecond)
			for _, l := range r.PollOrders(r.now, true) {
				if l.Worker == o.Worker {
					r.PollDone(l, r.now, PollReply{}, fault.New(fault.OutcomeUnknown, "silent"), r.now)
					continue
				}
				r.PollDone(l, r.now, r.listing(l.Worker), nil, r.now)
			}
			restarted = restarted || len(r.start()) > 0
		}
		return restarted
	}
	is.True(!silent(testTerm - 200*time.Millisecond))
	is.True(silent(2 * time.Second)) // looks without an answer do not put the end off for ever
}

func TestAddressOfAnotherLifeFreesTasks(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.list("a")
	r.submit("j", step(1))
	o := r.start()[0]
	r.list("b")
	r.now = r.now.Add(lookPause)
	for _, l := range r.PollOrders(r.now, true) {
		if l.Worker == o.Worker {
			r.PollDone(l, r.now, PollReply{}, fault.New(fault.NotCurrent, "another life"), r.now)
		}
	}
	again := r.start()
	is.Equal(len(again), 1)
	is.Equal(again[0].Worker, table.WorkerID("b"))
}

func TestNextLeaderReachesWorkersWithoutTheList(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.list("w")
	r.submit("j", step(1))
	r.Decide(r.now)
	f := r.Flush(r.now)
	o := r.Flushed(f, r.now, true)[0]
	notes := map[string][]byte{}
	for _, rec := range f.records {
		if name, ok := strings.CutPrefix(rec.Key, "N"); ok {
			notes[name] = rec.Value
		}
	}

	next := newRig()
	next.cfg.Epoch = 2
	next.RestoreHandover(notes, next.now)
	next.submit("j", step(1))
	looks := next.PollOrders(next.now, true)
	is.Equal(len(looks), 0) // nothing runs there as far as this board knows, and nothing may start before it is listed
	next.ghost("w", next.now).hold(next.task(o.Task), running)
	looks = next.PollOrders(next.now, true)
	is.Equal(len(looks), 1)
	is.Equal(looks[0].Address, "w:1")
}

// A start may have been answered by the new life before the list of workers names it.
func TestRestartedWorkerKeepsWhatItsNewLifeRuns(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.list("a")
	r.submit("j", step(2))
	r.start()
	info := r.worker("a")
	info.Born = 2
	r.SetWorker(info, r.now)
	r.list("b")
	is.Equal(len(r.start()), 0) // what the new life runs is not known before it was asked
	r.now = r.now.Add(lookPause)
	for _, o := range r.PollOrders(r.now, true) {
		if o.Worker != "a" {
			r.PollDone(o, r.now, r.listing(o.Worker), nil, r.now)
			continue
		}
		is.True(o.Token > r.firstToken())
		r.PollDone(o, r.now, PollReply{Born: 2, Running: []RunningTask{{Task: key("j", 0, 1), Run: 1}}}, nil, r.now)
	}
	again := r.start()
	is.Equal(len(again), 1) // the other one ended with the old life
	is.Equal(again[0].Task, key("j", 0, 0))
}

func TestNextLeaderDoesNotTakeARestartForNews(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.RestoreHandover(map[string][]byte{noteWorker + "a": workerNoteOf(r, "a")}, r.now)
	r.submit("j", step(1))
	r.ghost("a", r.now).hold(r.task(key("j", 0, 0)), running) // started in a life after the note
	info := r.worker("a")
	info.Born = 5
	r.SetWorker(info, r.now)
	is.Equal(r.task(key("j", 0, 0)).phase, running)
}

func workerNoteOf(r *rig, id string) []byte {
	w := newWorker(r.worker(id), 1)
	r.fresh = append(r.fresh, w)
	return r.rosterNotes()[0].Value
}

func TestFencedLeaderGivesNoMoreOrders(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.list("a")
	r.submit("j", step(1))
	r.start()
	is.True(!r.Superseded())
	r.now = r.now.Add(lookPause)
	o := r.PollOrders(r.now, true)[0]
	old := o
	old.Token--
	r.PollDone(old, r.now, PollReply{}, fault.New(fault.Stale, "fence"), r.now)
	is.True(!r.Superseded()) // the worker has seen a later token of this leader
	r.PollDone(o, r.now, PollReply{}, fault.New(fault.Stale, "fence"), r.now)
	is.True(r.Superseded())
}
