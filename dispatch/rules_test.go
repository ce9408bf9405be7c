package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"persimmonpick/table"
	"persimmonpick/workload"
)

func TestPlacesThatFit(t *testing.T) {
	is := is.New(t)
	r := newRig()
	other := r.worker("other")
	other.Service = "another"
	small := r.worker("small")
	small.Capacity = table.Resources{CPU: 500, Memory: 64 << 30}
	plain := r.worker("plain")
	marked := r.worker("marked")
	marked.Labels = append(marked.Labels, "gold")
	for _, w := range []WorkerInfo{other, small, plain, marked} {
		r.SetWorker(w, r.now)
	}
	r.answer(nil)
	s := step(4)
	s.Label = "gold"
	s.MaxPerWorker = 3
	r.submit("j", s)
	orders := r.start()
	is.Equal(len(orders), 3) // the fourth may not share the only worker with the label
	for _, o := range orders {
		is.Equal(o.Worker, table.WorkerID("marked"))
	}
	r.submit("large", workload.Step{Count: 1, Need: table.Resources{CPU: 14000, Memory: 1 << 30}})
	orders = r.start()
	is.Equal(len(orders), 1)
	is.Equal(orders[0].Worker, table.WorkerID("plain")) // the other has 13 cores left
}

func TestAttemptsRunOut(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.list("a", "b", "c")
	r.submit("j", step(1))
	number := map[table.WorkerID]ResultNumber{}
	for run := range 3 {
		is.Equal(r.jobs["j"].state.Final(), false)
		o := r.start()[0]
		is.Equal(o.Run, workload.RunNumber(run+1))
		number[o.Worker]++
		looks := map[string]PollReply{"a": {}, "b": {}, "c": {}}
		looks[string(o.Worker)] = PollReply{Ended: []TaskResult{{Number: number[o.Worker], Task: o.Task, Run: o.Run, Cause: EndFailed}}}
		r.answer(looks)
		r.now = r.now.Add(failedWait)
	}
	is.Equal(r.jobs["j"].state, workload.Failed)
	is.Equal(len(r.start()), 0)
}

func TestFailedTaskGoesElsewhere(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.list("a", "b")
	r.submit("j", step(1))
	o := r.start()[0]
	r.answer(map[string]PollReply{string(o.Worker): {Ended: []TaskResult{{Number: 1, Task: o.Task, Run: 1, Cause: EndFailed}}}})
	r.now = r.now.Add(failedWait)
	is.True(r.start()[0].Worker != o.Worker)
}

func TestGangStartsWholeOrNotAtAll(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.list("a")
	gang := step(20)
	gang.Gang = true
	r.submit("j", gang)
	is.Equal(len(r.round()), 0) // 16 of 20 would fit
	r.list("b")
	orders := r.round()
	is.Equal(len(orders), 20)
	r.StartDone(orders[0], RefusedCapacity, r.now)
	for _, o := range orders[1:] {
		is.Equal(o.Run, orders[0].Run)
		r.StartDone(o, Started, r.now)
	}
	is.Equal(len(r.StopOrders(r.now)), 19) // none waits for a member that does not come
}

func TestGangEndsTogether(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.list("a")
	gang := step(3)
	gang.Gang = true
	r.submit("j", gang)
	o := r.start()[0]
	r.answer(map[string]PollReply{"a": {Ended: []TaskResult{{Number: 1, Task: o.Task, Run: o.Run}}}})
	is.Equal(r.jobs["j"].state, workload.Completed)
}

func TestStrayRunsAreStopped(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.list("a")
	r.answer(map[string]PollReply{"a": {Running: []RunningTask{{Task: key("unknown", 0, 0), Run: 2}}}})
	stops := r.StopOrders(r.now)
	is.Equal(len(stops), 1)
	is.Equal(stops[0].Run, workload.RunNumber(2))
}

func TestRunOfAWaitingTaskIsAdopted(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.list("a")
	r.submit("j", step(1))
	r.answer(map[string]PollReply{"a": {Running: []RunningTask{{Task: key("j", 0, 0), Run: 4}}}})
	is.Equal(len(r.start()), 0) // a second run would be one too many
	is.Equal(r.task(key("j", 0, 0)).run, workload.RunNumber(4))
}

func TestCancelledJobStops(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.list("a")
	r.submit("j", step(2))
	r.start()
	r.cancel("j")
	is.Equal(len(r.StopOrders(r.now)), 2)
	is.Equal(len(r.StopOrders(r.now)), 0)
	r.now = r.now.Add(stopAgain + time.Millisecond)
	is.Equal(len(r.StopOrders(r.now)), 2) // until their ends are listed
	r.submit("late", step(1))
	r.cancel("late")
	is.Equal(len(r.start()), 0)
}

func (r *rig) cancel(id string) {
	e := entryOf(r, id)
	e.Cancelled = true
	r.SetEntry(e, r.now)
}

func TestDrainingWorkerIsEmptied(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.list("a")
	endless := step(1)
	endless.LongRunning = true
	r.submit("lasting", endless)
	r.submit("short", step(1))
	r.start()
	r.answer(map[string]PollReply{"a": {Running: []RunningTask{
		{Task: key("lasting", 0, 0), Run: 1, Percent: 100}, {Task: key("short", 0, 0), Run: 1, Percent: 90},
	}}})
	w := r.worker("a")
	w.Draining, w.LeavesIn = true, 3*time.Second
	r.SetWorker(w, r.now)
	r.Decide(r.now)
	stops := r.StopOrders(r.now)
	is.Equal(len(stops), 1) // the other ends in time
	is.Equal(stops[0].Task, key("lasting", 0, 0))
	r.submit("new", step(1))
	is.Equal(len(r.start()), 0)
}

func TestStalledRunMoves(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.list("a", "b")
	r.submit("j", step(1))
	o := r.start()[0]
	for end := r.now.Add(stallAfter + time.Second); r.now.Before(end); {
		look := PollReply{Running: []RunningTask{{Task: o.Task, Run: 1, Percent: 30}}}
		r.answer(map[string]PollReply{string(o.Worker): look})
		r.Decide(r.now)
	}
	is.Equal(len(r.StopOrders(r.now)), 1)
	is.Equal(r.workers[o.Worker].usable(r.now), false) // nothing new goes there for a while
}

// TestFillingTasksGiveWay plays a worker on which tasks that fill raise the tail of one that serves beyond its target.
func TestFillingTasksGiveWay(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.list("a")
	r.submit("s", servingStep(1, "serve"))
	r.start()
	fill := step(2)
	fill.BestEffort, fill.Checkpoints, fill.Image = true, true, "fill"
	r.submit("f", fill)
	is.Equal(len(r.start()), 2)
	look := mixedLook(100*time.Millisecond, 1000)
	began := r.now
	for range 10 {
		r.answer(map[string]PollReply{"a": look})
		if paces := r.ThrottleOrders(r.now); len(paces) > 0 {
			is.Equal(len(paces), 2)
			is.True(paces[0].Percent < fullPace)
			is.True(r.now.Sub(began) < time.Second)
			return
		}
	}
	t.Fatal("the tasks that fill kept their pace")
}

func TestTasksThatServeShareWorkersByImage(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.list("a", "b")
	for i := range 6 {
		r.submit(fmt.Sprintf("j%d", i), servingStep(1, fmt.Sprintf("image%d", i%2)))
		r.start()
	}
	for _, w := range r.workers {
		is.Equal(len(w.byImage), 1)
	}
}

func TestOccurrencesComeWhenTheyAreDue(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.list("a")
	e := entryOf(r, "j")
	e.Submission.Spec.Steps = []workload.Step{step(1)}
	e.Submission.Spec.Repeat, e.Submission.Spec.Interval = 2, 1000
	e.Submission.Spec.FirstStart = table.UnixMillis(r.now.Add(time.Second).UnixMilli())
	r.SetEntry(e, r.now)
	is.Equal(len(r.start()), 0)
	r.now = r.now.Add(time.Second)
	first := r.start()
	is.Equal(len(first), 1)
	r.now = r.now.Add(time.Second)
	r.answer(map[string]PollReply{"a": {Ended: []TaskResult{{Number: 1, Task: first[0].Task, Run: 1}}}})
	is.Equal(r.jobs["j"].state.Final(), false)
	second := r.start()
	is.Equal(len(second), 1)
	is.Equal(second[0].Task.Occurrence, 1)
	r.answer(map[string]PollReply{"a": {Ended: []TaskResult{{Number: 2, Task: second[0].Task, Run: 1}}}})
	is.Equal(r.jobs["j"].state, workload.Completed)
}

// servingStep returns a step of n tasks of one core each that serve with a target of 18 ms.
func servingStep(n int, image string) workload.Step {
	s := step(n)
	s.LongRunning, s.Image, s.LatencyTarget = true, image, 18
	return s
}

// mixedLook is the look at a worker on which task s serves, with the given tail, beside two tasks of f that fill and use cpu each.
func mixedLook(tail time.Duration, cpu table.Millicores) PollReply {
	l := PollReply{Running: []RunningTask{{Task: key("s", 0, 0), Run: 1, Percent: 100, Tail: tail}}}
	for i := range 2 {
		l.Running = append(l.Running, RunningTask{Task: key("f", 0, i), Run: 1, Percent: 10, CPU: cpu})
	}
	return l
}

// newMixedRig returns a rig whose one worker runs a task that serves beside two that fill, and the step of the latter.
func newMixedRig(is *is.I) (*rig, workload.Step) {
	r := newRig()
	r.list("a")
	r.submit("s", servingStep(1, "serve"))
	r.start()
	fill := step(2)
	fill.BestEffort, fill.Image = true, "fill"
	r.submit("f", fill)
	is.Equal(len(r.start()), 2)
	return r, fill
}

// TestYoungRunsGiveWayToo plays runs that end before their usage is ever reported.
func TestYoungRunsGiveWayToo(t *testing.T) {
	is := is.New(t)
	r, fill := newMixedRig(is)
	look := mixedLook(100*time.Millisecond, 0)
	r.answer(map[string]PollReply{"a": look})
	is.Equal(len(r.ThrottleOrders(r.now)), 2)
	r.submit("more", fill)
	is.Equal(len(r.start()), 0) // nothing is added where a target is missed
}

// TestHarmlessImagesGiveWayWhenNothingElseExplainsAMiss plays an image that has never disturbed anything.
func TestHarmlessImagesGiveWayWhenNothingElseExplainsAMiss(t *testing.T) {
	is := is.New(t)
	r, _ := newMixedRig(is)
	r.images.of("serve").add("fill")
	r.images.of("serve").mean[0] = -50 // far below zero after a calm time
	look := mixedLook(40*time.Millisecond, 1000)
	r.answer(map[string]PollReply{"a": look})
	is.Equal(len(r.ThrottleOrders(r.now)), 2)
}

// TestGangThatDoesNotFitLeavesNoTrace plays decisions while a gang waits for room: they are no starts and need no record.
func TestGangThatDoesNotFitLeavesNoTrace(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.list("a")
	gang := step(20)
	gang.Gang = true
	r.submit("j", gang)
	r.round()
	for range 5 {
		r.Decide(r.now)
		is.True(r.Flush(r.now) == nil)
	}
	is.Equal(r.task(key("j", 0, 0)).run, workload.RunNumber(0))
}

// TestDisruptionBudget plays two slow lasting tasks of a step of which one may be missing because of the system.
func TestDisruptionBudget(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.list("a")
	lasting := step(3)
	lasting.LongRunning, lasting.Image, lasting.MaxUnavailable = true, "x", 1
	r.submit("j", lasting)
	r.start()
	at := func(percents ...int) PollReply {
		var l PollReply
		for i, p := range percents {
			l.Running = append(l.Running, RunningTask{Task: key("j", 0, i), Run: 1, Percent: p})
		}
		return l
	}
	r.answer(map[string]PollReply{"a": at(100, 100, 50)})
	for i := range 2 {
		r.task(key("j", 0, i)).stopWhy = whyDisturbs
	}
	is.Equal(len(r.StopOrders(r.now)), 0) // the third is not at work
	r.now = r.now.Add(lookIdle)
	r.answer(map[string]PollReply{"a": at(100, 100, 100)})
	stops := r.StopOrders(r.now)
	is.Equal(len(stops), 1)
	r.answer(map[string]PollReply{"a": {Ended: []TaskResult{{Number: 1, Task: stops[0].Task, Run: 1, Cause: EndStopped}}, Running: at(100, 100, 100).Running[1:]}})
	is.Equal(len(r.StopOrders(r.now)), 0) // the first is not back yet

	// A worker that leaves takes its tasks along, whatever the budget is.
	w := r.worker("a")
	w.Draining, w.LeavesIn = true, 3*time.Second
	r.SetWorker(w, r.now)
	r.Decide(r.now)
	is.True(len(r.StopOrders(r.now)) > 0)
}
