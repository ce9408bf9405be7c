package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"persimmonpick/fault"
	"persimmonpick/maintenance"
	"persimmonpick/table"
)

// A worker runs a short task, a long-running one, and two long-running ones with a disruption budget. Evacuation
// must move only what the budget allows and leave the short task alone.
func TestWorkerIsEvacuatedForMaintenance(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.addWorkers("a")
	longRunning, budgeted := step(1), step(2)
	longRunning.LongRunning = true
	budgeted.LongRunning, budgeted.MaxUnavailable = true, 1
	r.submit("lasting", longRunning)
	r.submit("budgeted", budgeted)
	r.submit("short", step(1))
	is.Equal(len(r.placeAndStart()), 4)
	at := func(percent int) PollReply {
		return PollReply{Running: []RunningTask{
			{Task: key("lasting", 0, 0), Run: 1, Percent: 100},
			{Task: key("short", 0, 0), Run: 1, Percent: 50},
			{Task: key("budgeted", 0, 0), Run: 1, Percent: 100},
			{Task: key("budgeted", 0, 1), Run: 1, Percent: percent},
		}}
	}
	r.answerPolls(map[string]PollReply{"a": at(20)})
	is.Equal(r.Evacuate([]table.WorkerID{"a", "unknown"}, r.now), map[table.WorkerID]maintenance.Remaining{"a": {Tasks: 4, Blocked: true}, "unknown": {}})
	r.submit("new", step(1))
	is.Equal(len(r.placeAndStart()), 0)
	r.Decide(r.now)
	stops := map[string]bool{}
	for _, o := range r.StopOrders(r.now) {
		stops[o.Task.String()] = true
	}
	// The other task of the step is the only one that is ready.
	is.Equal(stops, map[string]bool{"lasting.0.0.0": true, "budgeted.0.0.1": true})
	is.Equal(len(r.Evacuate(nil, r.now)), 0)
	is.True(r.workers["a"].usable(r.now))
}

// Guards against a disruption budget that is exceeded by stops of tasks which came to work since their last report.
func TestTasksThatMayHaveComeToWorkCountAgainstTheDisruptionBudget(t *testing.T) {
	for _, percent := range []int{0, 99} {
		is := is.New(t)
		r := newRig()
		r.addWorkers("a")
		s := step(3)
		s.LongRunning, s.MaxUnavailable = true, 1
		r.submit("j", s)
		is.Equal(len(r.placeAndStart()), 3)
		at := PollReply{Running: []RunningTask{
			{Task: key("j", 0, 0), Run: 1, Percent: 100},
			{Task: key("j", 0, 1), Run: 1, Percent: percent},
			{Task: key("j", 0, 2), Run: 1, Percent: percent},
		}}
		r.answerPolls(map[string]PollReply{"a": at})
		is.True(r.Evacuate([]table.WorkerID{"a"}, r.now)["a"].Blocked)
		r.Decide(r.now)
		is.Equal(len(r.StopOrders(r.now)), 0) // two others may not be at work yet
		for range 30 {
			r.answerPolls(map[string]PollReply{"a": at})
		}
		r.Decide(r.now)
		is.Equal(len(r.StopOrders(r.now)), 2) // they stand and so are not at work
	}
}

// Guards against an order to take a machine down under a task that has come to work since the last report on it.
func TestWorkerWithATaskThatMayHaveComeToWorkIsBlocked(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.addWorkers("a")
	s := step(1)
	s.LongRunning, s.MaxUnavailable = true, 1
	r.submit("j", s)
	o := r.place()
	is.Equal(len(o), 1)
	is.True(r.Evacuate([]table.WorkerID{"a"}, r.now)["a"].Blocked) // the start is on its way
	r.StartDone(o[0], Started, r.now)
	is.True(r.Evacuate([]table.WorkerID{"a"}, r.now)["a"].Blocked)
	next := newRig() // has not heard of the run
	next.now = r.now
	next.addWorkers("a")
	next.submit("j", s)
	next.workers["a"].assign(next.task(key("j", 0, 0)), running)
	is.True(next.Evacuate([]table.WorkerID{"a"}, next.now)["a"].Blocked)
}

// Guards against a disruption budget that is exceeded since a task on a silent worker counts as ready.
func TestTaskOnASilentWorkerCountsAsMissing(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.addWorkers("a", "b")
	s := step(2)
	s.LongRunning, s.MaxUnavailable, s.MaxPerWorker = true, 1, 1
	r.submit("j", s)
	is.Equal(len(r.placeAndStart()), 2)
	silent := r.task(key("j", 0, 1)).worker.info.ID
	poll := func(answers bool) {
		r.now = r.now.Add(pollPause)
		for _, o := range r.PollOrders(r.now, true) {
			l := PollReply{Incarnation: 1, Clock: WorkerClock(r.now.UnixMilli())}
			for k, t := range r.workers[o.Worker].tasks {
				l.Running = append(l.Running, RunningTask{Task: k, Run: t.run, Percent: fullPercent})
			}
			var err error
			if o.Worker == silent && !answers {
				err = fault.New(fault.OutcomeUnknown, "no answer")
			}
			r.PollDone(o, r.now, l, err, r.now)
		}
	}
	poll(true)
	is.True(r.task(key("j", 0, 0)).withinDisruptionBudget())
	is.True(r.task(key("j", 0, 0)).mayLeaveStep(r.now))
	for range 5000 / 80 {
		poll(false)
	}
	r.Evacuate([]table.WorkerID{r.task(key("j", 0, 0)).worker.info.ID}, r.now)
	r.Decide(r.now)
	is.Equal(len(r.StopOrders(r.now)), 0)
	is.True(!r.task(key("j", 0, 0)).mayLeaveStep(r.now))
	for range 20 { // polls of a silent worker are rare
		poll(true)
	}
	r.Decide(r.now)
	is.Equal(len(r.StopOrders(r.now)), 1)
}

// HandOver must not report a record as written before it is in the log.
func TestHandOverReportsAfterTheWrite(t *testing.T) {
	is := is.New(t)
	r := newRig()
	written := false
	r.HandOver("wave/1", []byte("x"), func() { written = true })
	f := r.Flush(r.now)
	is.Equal(len(f.records), 1)
	is.True(!written)
	r.Flushed(f, r.now, true)
	is.True(written)
}

// Guards against a known crash of a worker that was taken down for maintenance, which the wave names no more by then.
func TestPlannedMaintenanceIsNoKnownCrash(t *testing.T) {
	for _, way := range []string{backReplaced, backRestarted, backLate, backLater, neverBack} {
		for _, late := range []time.Duration{0, time.Second} { // from the order until the scheduler is told
			t.Run(fmt.Sprintf("%s, told after %v", way, late), func(t *testing.T) {
				s, k := startSound(t, way, 1)
				s.takes = 30 * time.Second
				s.passUntilStarted(k, 1)
				w := s.workers[0]
				s.Evacuate([]table.WorkerID{w.info.ID}, s.now)
				s.pass(100 * time.Millisecond)
				s.takeDown(w, way)
				s.pass(late)
				s.Evacuate(nil, s.now)
				for range 1000 {
					s.pass(20 * time.Millisecond)
					if x := s.task(k); x.knownCrashes > 0 {
						t.Fatalf("%d crashes, %d known, for a worker that was taken down for maintenance", x.crashes, x.knownCrashes)
					}
				}
			})
		}
	}
}

// Guards against a crash that never counts as known since its worker was to be maintained once and stayed.
func TestCrashAfterACancelledMaintenanceIsKnown(t *testing.T) {
	s := newCrashSite(t, backReplaced, 1)
	s.answered = true
	s.pass(time.Second)
	w := s.workers[0]
	s.Evacuate([]table.WorkerID{w.info.ID}, s.now)
	s.pass(300 * time.Millisecond)
	s.Evacuate(nil, s.now)
	s.pass(2 * evacuatedGrace)
	s.submitJob("deadly", step(1))
	s.pass(4 * time.Second)
	s.is.Equal(s.task(key("deadly", 0, 0)).knownCrashes, 1)
}
