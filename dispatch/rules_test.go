package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"persimmonpick/fault"
	"persimmonpick/table"
	"persimmonpick/workload"
)

func TestPlacesThatFit(t *testing.T) {
	is := is.New(t)
	r := newRig()
	other := r.workerInfo("other")
	other.Service = "another"
	small := r.workerInfo("small")
	small.Capacity = table.Resources{CPU: 500, Memory: 64 << 30}
	plain := r.workerInfo("plain")
	marked := r.workerInfo("marked")
	marked.Labels = append(marked.Labels, "gold")
	for _, w := range []WorkerInfo{other, small, plain, marked} {
		r.SetWorker(w, r.now)
	}
	r.answerPolls(nil)
	s := step(4)
	s.Label = "gold"
	s.MaxPerWorker = 3
	r.submit("j", s)
	orders := r.placeAndStart()
	is.Equal(len(orders), 3) // the fourth may not share the only worker with the label
	for _, o := range orders {
		is.Equal(o.Worker, table.WorkerID("marked"))
	}
	r.submit("large", workload.Step{Count: 1, Need: table.Resources{CPU: 14000, Memory: 1 << 30}})
	orders = r.placeAndStart()
	is.Equal(len(orders), 1)
	is.Equal(orders[0].Worker, table.WorkerID("plain")) // the other has 13 cores left
}

func TestAttemptsRunOut(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.addWorkers("a", "b", "c")
	r.submit("j", step(1))
	number := map[table.WorkerID]ResultNumber{}
	for run := range 3 {
		is.Equal(r.jobs["j"].state.Final(), false)
		o := r.placeAndStart()[0]
		is.Equal(o.Run, workload.RunNumber(run+1))
		number[o.Worker]++
		replies := map[string]PollReply{"a": {}, "b": {}, "c": {}}
		replies[string(o.Worker)] = PollReply{Ended: []TaskResult{{Number: number[o.Worker], Task: o.Task, Run: o.Run, Cause: EndFailed}}}
		r.answerPolls(replies)
		r.now = r.now.Add(failedBackoff)
	}
	is.Equal(r.jobs["j"].state, workload.Failed)
	is.Equal(len(r.placeAndStart()), 0)
}

func TestFailedTaskGoesElsewhere(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.addWorkers("a", "b")
	r.submit("j", step(1))
	o := r.placeAndStart()[0]
	r.answerPolls(map[string]PollReply{string(o.Worker): {Ended: []TaskResult{{Number: 1, Task: o.Task, Run: 1, Cause: EndFailed}}}})
	r.now = r.now.Add(failedBackoff)
	is.True(r.placeAndStart()[0].Worker != o.Worker)
}

func TestGangStartsWholeOrNotAtAll(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.addWorkers("a")
	gang := step(20)
	gang.Gang = true
	r.submit("j", gang)
	is.Equal(len(r.place()), 0) // 16 of 20 would fit
	r.addWorkers("b")
	orders := r.place()
	is.Equal(len(orders), 20)
	r.StartDone(orders[0], RefusedCapacity, r.now)
	for _, o := range orders[1:] {
		is.Equal(o.Run, orders[0].Run)
		r.StartDone(o, Started, r.now)
	}
	is.Equal(len(r.StopOrders(r.now)), 19) // no member waits for one that does not start
}

func TestGangEndsTogether(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.addWorkers("a")
	gang := step(3)
	gang.Gang = true
	r.submit("j", gang)
	o := r.placeAndStart()[0]
	r.answerPolls(map[string]PollReply{"a": {Ended: []TaskResult{{Number: 1, Task: o.Task, Run: o.Run}}}})
	is.Equal(r.jobs["j"].state, workload.Completed)
}

func TestStrayRunsAreStopped(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.addWorkers("a")
	r.answerPolls(map[string]PollReply{"a": {Running: []RunningTask{{Task: key("unknown", 0, 0), Run: 2}}}})
	stops := r.StopOrders(r.now)
	is.Equal(len(stops), 1)
	is.Equal(stops[0].Run, workload.RunNumber(2))
}

func TestRunOfAWaitingTaskIsAdopted(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.addWorkers("a")
	r.submit("j", step(1))
	r.answerPolls(map[string]PollReply{"a": {Running: []RunningTask{{Task: key("j", 0, 0), Run: 4}}}})
	is.Equal(len(r.placeAndStart()), 0) // a second run would be a duplicate
	is.Equal(r.task(key("j", 0, 0)).run, workload.RunNumber(4))
}

func TestCancelledJobStops(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.addWorkers("a")
	r.submit("j", step(2))
	r.placeAndStart()
	r.cancel("j")
	is.Equal(len(r.StopOrders(r.now)), 2)
	is.Equal(len(r.StopOrders(r.now)), 0)
	r.now = r.now.Add(stopRetryDelay + time.Millisecond)
	is.Equal(len(r.StopOrders(r.now)), 2) // until the ends of their runs are reported
	r.submit("late", step(1))
	r.cancel("late")
	is.Equal(len(r.placeAndStart()), 0)
}

func (r *rig) cancel(id string) {
	e := entryOf(r, id)
	e.Cancelled = true
	r.SetEntry(e, r.now)
}

func TestDrainingWorkerIsEmptied(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.addWorkers("a")
	longRunning := step(1)
	longRunning.LongRunning = true
	r.submit("lasting", longRunning)
	r.submit("short", step(1))
	r.placeAndStart()
	r.answerPolls(map[string]PollReply{"a": {Running: []RunningTask{
		{Task: key("lasting", 0, 0), Run: 1, Percent: 100}, {Task: key("short", 0, 0), Run: 1, Percent: 90},
	}}})
	w := r.workerInfo("a")
	w.Draining, w.LeavesIn = true, 3*time.Second
	r.SetWorker(w, r.now)
	r.Decide(r.now)
	stops := r.StopOrders(r.now)
	is.Equal(len(stops), 1) // the other one finishes in time
	is.Equal(stops[0].Task, key("lasting", 0, 0))
	r.submit("new", step(1))
	is.Equal(len(r.placeAndStart()), 0)
}

func TestStalledRunMoves(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.addWorkers("a", "b")
	r.submit("j", step(1))
	o := r.placeAndStart()[0]
	for end := r.now.Add(stallTimeout + time.Second); r.now.Before(end); {
		reply := PollReply{Running: []RunningTask{{Task: o.Task, Run: 1, Percent: 30}}}
		r.answerPolls(map[string]PollReply{string(o.Worker): reply})
		r.Decide(r.now)
	}
	is.Equal(len(r.StopOrders(r.now)), 1)
	is.True(r.workers[o.Worker].usable(r.now)) // one task says nothing about the worker
	reply := PollReply{Ended: []TaskResult{{Number: 1, Task: o.Task, Run: 1, Cause: EndStopped}}}
	r.answerPolls(map[string]PollReply{string(o.Worker): reply})
	is.True(r.placeAndStart()[0].Worker != o.Worker)
}

// Best-effort tasks that raise the tail latency of a latency-critical one above its target must be throttled.
func TestBestEffortTasksAreThrottled(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.addWorkers("a")
	r.submit("s", criticalStep(1, "serve"))
	r.placeAndStart()
	bestEffort := step(2)
	bestEffort.BestEffort, bestEffort.Checkpoints, bestEffort.Image = true, true, "fill"
	r.submit("f", bestEffort)
	is.Equal(len(r.placeAndStart()), 2)
	reply := mixedReply(100*time.Millisecond, 1000)
	began := r.now
	for range 10 {
		r.answerPolls(map[string]PollReply{"a": reply})
		if orders := r.ThrottleOrders(r.now); len(orders) > 0 {
			is.Equal(len(orders), 2)
			is.True(orders[0].Percent < fullPercent)
			is.True(r.now.Sub(began) < time.Second)
			return
		}
	}
	t.Fatal("best-effort tasks were not throttled")
}

func TestLatencyCriticalTasksShareWorkersByImage(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.addWorkers("a", "b")
	for i := range 6 {
		r.submit(fmt.Sprintf("j%d", i), criticalStep(1, fmt.Sprintf("image%d", i%2)))
		r.placeAndStart()
	}
	for _, w := range r.workers {
		is.Equal(len(w.criticalByImage), 1)
	}
}

func TestOccurrencesComeWhenTheyAreDue(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.addWorkers("a")
	e := entryOf(r, "j")
	e.Submission.Spec.Steps = []workload.Step{step(1)}
	e.Submission.Spec.Repeat, e.Submission.Spec.Interval = 2, 1000
	e.Submission.Spec.FirstStart = table.UnixMillis(r.now.Add(time.Second).UnixMilli())
	r.SetEntry(e, r.now)
	is.Equal(len(r.placeAndStart()), 0)
	r.now = r.now.Add(time.Second)
	first := r.placeAndStart()
	is.Equal(len(first), 1)
	r.now = r.now.Add(time.Second)
	r.answerPolls(map[string]PollReply{"a": {Ended: []TaskResult{{Number: 1, Task: first[0].Task, Run: 1}}}})
	is.Equal(r.jobs["j"].state.Final(), false)
	second := r.placeAndStart()
	is.Equal(len(second), 1)
	is.Equal(second[0].Task.Occurrence, 1)
	r.answerPolls(map[string]PollReply{"a": {Ended: []TaskResult{{Number: 2, Task: second[0].Task, Run: 1}}}})
	is.Equal(r.jobs["j"].state, workload.Completed)
}

// criticalStep returns a step of n latency-critical tasks of one core each with a latency target of 18 ms.
func criticalStep(n int, image string) workload.Step {
	s := step(n)
	s.LongRunning, s.Image, s.LatencyTarget = true, image, 18
	return s
}

// mixedReply returns the reply of a worker that runs latency-critical task s, with the given tail latency, beside
// two best-effort tasks of f that use cpu each.
func mixedReply(tail time.Duration, cpu table.Millicores) PollReply {
	l := PollReply{Running: []RunningTask{{Task: key("s", 0, 0), Run: 1, Percent: 100, Tail: tail}}}
	for i := range 2 {
		l.Running = append(l.Running, RunningTask{Task: key("f", 0, i), Run: 1, Percent: 10, CPU: cpu})
	}
	return l
}

// newMixedRig returns a rig with one worker that runs a latency-critical task beside two best-effort ones, and the
// step of the latter.
func newMixedRig(is *is.I) (*rig, workload.Step) {
	r := newRig()
	r.addWorkers("a")
	r.submit("s", criticalStep(1, "serve"))
	r.placeAndStart()
	bestEffort := step(2)
	bestEffort.BestEffort, bestEffort.Image = true, "fill"
	r.submit("f", bestEffort)
	is.Equal(len(r.placeAndStart()), 2)
	return r, bestEffort
}

// Short runs that end before their usage is ever reported must be throttled as well.
func TestUnmeasuredRunsAreThrottled(t *testing.T) {
	is := is.New(t)
	r, bestEffort := newMixedRig(is)
	reply := mixedReply(100*time.Millisecond, 0)
	r.answerPolls(map[string]PollReply{"a": reply})
	is.Equal(len(r.ThrottleOrders(r.now)), 2)
	r.submit("more", bestEffort)
	is.Equal(len(r.placeAndStart()), 0) // nothing is added where a target is missed
}

// Guards against a throttle order that is carried out late, after its repetition or a newer one was answered.
func TestThrottleOrderThatWasNotAnsweredIsOutdone(t *testing.T) {
	for kind, late := range map[fault.Kind]bool{
		fault.OutcomeUnknown: true, fault.PlatformFailed: true, fault.NotReady: false, fault.Overloaded: false,
	} {
		is := is.New(t)
		r, _ := newMixedRig(is)
		r.answerPolls(map[string]PollReply{"a": mixedReply(100*time.Millisecond, 0)})
		first := r.ThrottleOrders(r.now)
		is.Equal(len(first), 2)
		for _, o := range first {
			r.ThrottleDone(o, fault.New(kind, "no answer"), r.now)
		}
		again := r.ThrottleOrders(r.now)
		is.Equal(len(again), 2)
		is.Equal(again[0].Token > first[0].Token, late)
		is.True(again[0].Token <= first[0].Token+1)
	}
}

// Guards against a run that keeps the share of an unanswered throttle order that is not wanted any more.
func TestThrottleOrderThatWasNotAnsweredIsTakenBack(t *testing.T) {
	is := is.New(t)
	r, _ := newMixedRig(is)
	r.answerPolls(map[string]PollReply{"a": mixedReply(100*time.Millisecond, 0)})
	for _, o := range r.ThrottleOrders(r.now) {
		r.ThrottleDone(o, fault.New(fault.OutcomeUnknown, "no answer"), r.now)
	}
	r.workers["a"].throttles = nil // the tails are low again
	orders := r.ThrottleOrders(r.now)
	is.Equal(len(orders), 2)
	for _, o := range orders {
		is.Equal(o.Percent, fullPercent)
		r.ThrottleDone(o, nil, r.now)
	}
	is.Equal(len(r.ThrottleOrders(r.now)), 0)
}

// Tails are reported in whole milliseconds; a task whose tail is at its target is served in time.
func TestOnlyTailsAboveTheTargetThrottle(t *testing.T) {
	for tail, orders := range map[time.Duration]int{18 * time.Millisecond: 0, 19 * time.Millisecond: 2} {
		is := is.New(t)
		r, _ := newMixedRig(is)
		r.answerPolls(map[string]PollReply{"a": mixedReply(tail, 1000)})
		is.Equal(len(r.ThrottleOrders(r.now)), orders)
	}
}

// An image with no known interference must still be throttled when nothing else explains a missed target.
func TestHarmlessImagesAreThrottledWhenNothingElseExplainsAMiss(t *testing.T) {
	is := is.New(t)
	r, _ := newMixedRig(is)
	r.interference.sensitivityOf("serve").addImage("fill")
	r.interference.sensitivityOf("serve").mean[0] = -50 // far below zero after a time without interference
	reply := mixedReply(40*time.Millisecond, 1000)
	r.answerPolls(map[string]PollReply{"a": reply})
	is.Equal(len(r.ThrottleOrders(r.now)), 2)
}

// Decisions made while a gang waits for room must not count as starts and need no log record.
func TestGangThatDoesNotFitWritesNoRecord(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.addWorkers("a")
	gang := step(20)
	gang.Gang = true
	r.submit("j", gang)
	r.place()
	for range 5 {
		r.Decide(r.now)
		is.True(r.Flush(r.now) == nil)
	}
	is.Equal(r.task(key("j", 0, 0)).run, workload.RunNumber(0))
}

// Two slow long-running tasks belong to a step of which one may be unavailable. Guards against stopping more tasks
// than the disruption budget allows.
func TestDisruptionBudget(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.addWorkers("a")
	longRunning := step(3)
	longRunning.LongRunning, longRunning.Image, longRunning.MaxUnavailable = true, "x", 1
	r.submit("j", longRunning)
	r.placeAndStart()
	at := func(percents ...int) PollReply {
		var l PollReply
		for i, p := range percents {
			l.Running = append(l.Running, RunningTask{Task: key("j", 0, i), Run: 1, Percent: p})
		}
		return l
	}
	r.answerPolls(map[string]PollReply{"a": at(100, 100, 50)})
	for i := range 2 {
		r.task(key("j", 0, i)).stopReason = whyInterference
	}
	is.Equal(len(r.StopOrders(r.now)), 0) // the third is not ready
	r.now = r.now.Add(pollWaitIdle)
	r.answerPolls(map[string]PollReply{"a": at(100, 100, 100)})
	stops := r.StopOrders(r.now)
	is.Equal(len(stops), 1)
	r.answerPolls(map[string]PollReply{"a": {Ended: []TaskResult{{Number: 1, Task: stops[0].Task, Run: 1, Cause: EndStopped}}, Running: at(100, 100, 100).Running[1:]}})
	is.Equal(len(r.StopOrders(r.now)), 0) // the first is not back yet

	// Tasks on a draining worker are stopped regardless of the disruption budget.
	w := r.workerInfo("a")
	w.Draining, w.LeavesIn = true, 3*time.Second
	r.SetWorker(w, r.now)
	r.Decide(r.now)
	is.True(len(r.StopOrders(r.now)) > 0)
}

// A step that fits nowhere in its service must not hold back a larger one of another service.
func TestServicesDoNotBlockEachOther(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.addWorkers("w")
	e := entryOf(r, "a-elsewhere")
	e.Submission.Queue.ID, e.Submission.Queue.Service = "other", "without-workers"
	e.Submission.Spec.Steps = []workload.Step{step(1)}
	r.SetEntry(e, r.now)
	r.submit("b", step(1))
	orders := r.placeAndStart()
	is.Equal(len(orders), 1)
	is.Equal(orders[0].Task.Job, table.JobID("b"))
}

// A move costs a stop and a restart from the checkpoint, so a throttled run is only moved where it ends earlier.
func TestThrottledRunMovesOnlyIfItEndsEarlier(t *testing.T) {
	for _, c := range []struct {
		name            string
		percent, share  int
		otherWorkerFree bool
		moves           bool
	}{
		{"nearly done at half speed", 90, 50, true, false},
		{"just begun at a fifth", 10, 20, true, true},
		{"paused", 90, 0, true, true},
		{"paused without another place", 90, 0, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := newRig()
			r.addWorkers("a")
			r.submit("s", criticalStep(1, "serve"))
			r.placeAndStart()
			bestEffort := step(1)
			bestEffort.BestEffort, bestEffort.Image, bestEffort.Checkpoints = true, "fill", true
			r.submit("f", bestEffort)
			is.Equal(len(r.placeAndStart()), 1)
			if c.otherWorkerFree {
				r.addWorkers("b")
			}
			s := r.interference.sensitivityOf("serve")
			s.addImage("fill")
			s.mean[0] = 50
			task, w := r.task(key("f", 0, 0)), r.workers["a"]
			task.percent, task.cpuPercent = c.percent, c.share
			w.setThrottle("fill", c.share, r.now.Add(-throttledMoveDelay))
			r.moveThrottled(w, r.now)
			is.Equal(task.stopReason == whyInterference, c.moves)
		})
	}
}

// Guards against runs that stay paused for good, and are taken for stalled, since an earlier leader had throttled
// them.
func TestNextLeaderSetsTheSharesOfRunsThatItFinds(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.addWorkers("a")
	bestEffort := step(1)
	bestEffort.BestEffort, bestEffort.Image = true, "fill"
	r.submit("f", bestEffort)
	r.submit("j", step(1))
	paused := PollReply{Running: []RunningTask{
		{Task: key("f", 0, 0), Run: 1, Percent: 30}, {Task: key("j", 0, 0), Run: 1, Percent: 30},
	}}
	r.answerPolls(map[string]PollReply{"a": paused})
	orders := r.ThrottleOrders(r.now)
	is.Equal(len(orders), 1)
	is.Equal(orders[0].Task, key("f", 0, 0))
	is.Equal(orders[0].Percent, fullPercent)
	r.ThrottleDone(orders[0], fault.New(fault.OutcomeUnknown, "no answer"), r.now)
	orders = r.ThrottleOrders(r.now)
	is.Equal(len(orders), 1)
	r.now = r.now.Add(stallTimeout)
	r.answerPolls(map[string]PollReply{"a": paused})
	r.ThrottleDone(orders[0], nil, r.now)
	is.Equal(len(r.ThrottleOrders(r.now)), 0)
	is.True(!r.isStalled(r.workers["a"], r.task(key("f", 0, 0))))
	is.True(r.isStalled(r.workers["a"], r.task(key("j", 0, 0))))
}

// A worker whose answer to one poll is lost says nothing about its runs; they must neither be stopped as stalled nor
// must the worker be quarantined.
func TestSilentWorkerIsNotTakenForStalled(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.addWorkers("a")
	r.submit("j", step(2))
	r.placeAndStart()
	r.answerPolls(nil)
	silentFrom := r.now
	for r.now.Sub(silentFrom) < pollWaitRunning+pollGrace+stallTimeout {
		r.now = r.now.Add(10 * time.Millisecond)
		r.Decide(r.now)
		is.Equal(len(r.StopOrders(r.now)), 0)
	}
	is.True(!r.now.Before(r.workers["a"].quarantinedUntil))
}

func TestRefusedTaskGoesElsewhere(t *testing.T) {
	for _, res := range []StartResult{RefusedCapacity, RefusedLeaseExpired, RefusedInvalid, RefusedIncarnation} {
		is := is.New(t)
		r := newRig()
		r.addWorkers("a", "b")
		r.submit("j", step(1))
		refusals, started := 0, false
		for end := r.now.Add(2 * time.Second); r.now.Before(end) && !started; {
			r.answerPolls(nil)
			for _, o := range r.place() {
				if o.Worker == "a" {
					refusals++
					r.StartDone(o, res, r.now)
					continue
				}
				r.StartDone(o, Started, r.now)
				started = true
			}
		}
		is.True(started)
		is.Equal(refusals, 1)
	}
}

func TestUnansweredStartAtASilentWorkerDoesNotHoldItsTaskWithoutEnd(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.addWorkers("a")
	r.submit("j", step(1))
	r.StartDone(r.place()[0], StartUnknown, r.now)
	took := restartAfter(r)
	is.True(took < maxLeaseDuration(testTerm)+lateOrderLimit+time.Second)
	is.True(took >= maxLeaseDuration(testTerm)) // it may run until then
}
