package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"persimmonpick/ledger"
	"persimmonpick/table"
	"persimmonpick/workload"
)

// testMaxAttempts is the MaxAttempts of the jobs of entryOf.
const testMaxAttempts = 3

// failed returns the result of a run of a task that ended as failed.
func failed(n ResultNumber, k workload.TaskKey, run workload.RunNumber) TaskResult {
	return TaskResult{Number: n, Task: k, Run: run, Cause: EndFailed}
}

// list lets each worker list the given ends.
func (r *rig) list(worker string, ends ...TaskResult) []PollOrder {
	l := r.listRunning(table.WorkerID(worker))
	l.Ended = ends
	for _, e := range ends {
		for i := range l.Running {
			if l.Running[i].Task == e.Task && l.Running[i].Run == e.Run {
				l.Running = append(l.Running[:i], l.Running[i+1:]...)
				break
			}
		}
	}
	return r.answerPolls(map[string]PollReply{worker: l})
}

// Guards against an end that counts again each time its worker lists it.
func TestEndThatIsListedAgainCountsOnce(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.addWorkers("w")
	r.submit("j", step(1))
	k := key("j", 0, 0)
	for run := workload.RunNumber(1); run <= testMaxAttempts; run++ {
		is.Equal(len(r.placeAndStart()), 1)
		for range 2 * testMaxAttempts { // the last lists come while the next run is at work
			is.Equal(r.jobs["j"].state, workload.Running)
			var ends []TaskResult
			for n := workload.RunNumber(1); n < run; n++ {
				ends = append(ends, failed(ResultNumber(n), k, n))
			}
			r.list("w", ends...)
			is.Equal(r.task(k).failures, int(run-1))
		}
		r.list("w", failed(ResultNumber(run), k, run))
		is.Equal(r.task(k).failures, int(run))
		r.workers["w"].failStreak = 0
		r.now = r.now.Add(failedBackoff)
		r.answerPolls(nil)
	}
	is.Equal(r.jobs["j"].state, workload.Failed)
}

// Guards against ends that count though their runs were stopped, lapsed or broken, or are not the newest of the task.
func TestOnlyTheNewestRunThatEndedAsFailedCounts(t *testing.T) {
	for c := range EndCause(len(endCauseNames)) {
		for _, stopping := range []bool{false, true} {
			is := is.New(t)
			r := newRig()
			r.addWorkers("w")
			r.submit("j", step(1))
			k := key("j", 0, 0)
			r.placeAndStart()
			if stopping {
				r.task(k).stopReason = whySlow
				is.Equal(len(r.StopOrders(r.now)), 1)
			}
			r.list("w", TaskResult{Number: 1, Task: k, Run: 1, Cause: c})
			want := 0
			if c == EndFailed {
				want = 1
			}
			is.Equal(r.jobs["j"].summary(r.now).failures, want)
		}
	}
	for _, c := range []struct {
		name   string
		before func(r *rig, task *task)
		worker string
	}{
		{"run of before", func(r *rig, task *task) { r.requeue(task, r.now, 0); r.placeAndStart() }, "a"},
		{"run that was lost", func(r *rig, task *task) { r.loseRun(task, r.now, "lease ended") }, "a"},
		{"run of another worker", func(*rig, *task) {}, "b"},
		{"start that is being written", func(r *rig, task *task) { r.requeue(task, r.now, 0); r.Decide(r.now) }, "a"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := newRig()
			r.addWorkers("a")
			r.submit("j", step(1))
			k := key("j", 0, 0)
			r.placeAndStart()
			r.addWorkers("b")
			c.before(r, r.task(k))
			for n := range ResultNumber(2 * testMaxAttempts) {
				r.list(c.worker, failed(n+1, k, 1))
			}
			is.Equal(r.task(k).failures, 0)
			is.True(!r.jobs["j"].state.Final())
		})
	}
}

// Moments at which the leader changes after each end.
const (
	noChange        = "no change"
	beforeTheRecord = "before the record is written"
	beforeTheAck    = "before the end is acknowledged"
	atBoth          = "at both"
	afterTheAck     = "after the end was acknowledged"
	atEachAnswer    = "at each answer"
	failsAfter      = 300 * time.Millisecond
	earlierEnds     = 7
)

var leaderChanges = []string{noChange, beforeTheRecord, beforeTheAck, atBoth, afterTheAck, atEachAnswer}

// failSite is a site on which each run ends as failed.
type failSite struct {
	*crashSite
	change string
	ended  int // runs that have ended as failed
}

func newFailSite(t *testing.T, change string, workers int) *failSite {
	s := &failSite{crashSite: newCrashSite(t, backRestarted, workers), change: change}
	s.answered, s.takes = true, time.Hour
	s.pass(time.Second)
	return s
}

// round plays one round, in which runs end as failed, and changes the leader.
func (s *failSite) round() {
	ends := 0
	for _, w := range s.workers {
		for k, run := range w.running {
			if s.up(w) && s.now.Sub(run.since) >= failsAfter {
				s.end(w, k, EndFailed)
				ends++
			}
		}
	}
	s.ended += ends
	if ends > 0 && (s.change == beforeTheRecord || s.change == atBoth) {
		s.pollOnly()
		s.changeLeader()
	}
	before := s.counts.Ended
	s.pass(20 * time.Millisecond)
	switch ended := s.counts.Ended > before; {
	case ended && (s.change == beforeTheAck || s.change == atBoth):
		s.changeLeader()
	case ended && s.change == afterTheAck:
		s.pass(time.Second)
		s.changeLeader()
	case s.change == atEachAnswer && s.counts.Ended > 0:
		s.pollOnly()
		s.changeLeader()
	}
}

// pollOnly has the answers to due polls applied, of which nothing gets into the log.
func (s *failSite) pollOnly() {
	s.now = s.now.Add(pollPause)
	for _, o := range s.PollOrders(s.now, true) {
		l, err := s.answerPoll(o)
		s.PollDone(o, s.now, l, err, s.now)
	}
}

func (s *failSite) playUntilFinal(id table.JobID, d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end) && !s.loggedState(id).Final(); {
		s.round()
	}
}

// Guards against an end that two leaders count, or none.
func TestEndCountsOnceWhenTheLeaderChanges(t *testing.T) {
	for _, change := range leaderChanges {
		for _, workers := range []int{1, 4} {
			t.Run(fmt.Sprint(change, ", workers ", workers), func(t *testing.T) {
				s := newFailSite(t, change, workers)
				s.submitJob("j", step(1))
				s.playUntilFinal("j", 2*time.Minute)
				s.is.Equal(s.loggedState("j"), workload.Failed)
				s.is.Equal(s.ended, testMaxAttempts)
				s.pass(10 * time.Second)
				s.is.Equal(len(s.starts[key("j", 0, 0)]), testMaxAttempts)
			})
		}
	}
}

// Guards against ends that are skipped or counted twice after a worker was born again under its id, so that the
// numbers of its ends begin anew below those of before.
func TestEndCountsOnceAfterTheNumbersOfAWorkerBeganAnew(t *testing.T) {
	for _, change := range leaderChanges {
		for _, way := range []string{backRestarted, backLate} {
			t.Run(change+", "+way, func(t *testing.T) {
				s := newFailSite(t, change, 1)
				s.takes = failsAfter / 2
				s.submitJob("before", step(earlierEnds))
				s.passUntilFinal(time.Minute)
				s.is.Equal(s.loggedState("before"), workload.Completed)
				s.takes = time.Hour
				s.submitJob("j", step(1))
				for attempt := 1; attempt <= testMaxAttempts; attempt++ {
					for end := s.now.Add(2 * time.Minute); s.ended < attempt && s.now.Before(end); {
						s.round()
					}
					s.is.Equal(s.ended, attempt)
					s.pass(500 * time.Millisecond)
					s.is.Equal(s.loggedState("j").Final(), attempt == testMaxAttempts)
					s.takeDown(s.workers[0], way)
					s.pass(15 * time.Second)
				}
				s.is.Equal(s.loggedState("j"), workload.Failed)
			})
		}
	}
}

// Guards against an acknowledgement of ends of the new incarnation for those of the one before.
func TestRecordOfTheIncarnationOfBeforeAcknowledgesNothing(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.addWorkers("w")
	r.submit("j", step(2))
	r.placeAndStart()
	poll := func(incarnation table.UnixMillis, ends ...TaskResult) PollOrder {
		r.now = r.now.Add(pollPause)
		o := r.PollOrders(r.now, true)[0]
		r.PollDone(o, r.now, PollReply{Incarnation: incarnation, Ended: ends}, nil, r.now.Add(time.Millisecond))
		r.now = r.now.Add(time.Millisecond)
		return o
	}
	poll(1, failed(1, key("j", 0, 0), 1), failed(2, key("j", 0, 1), 1))
	f := r.Flush(r.now)
	is.True(f != nil)
	poll(2) // tells that the worker was born again
	poll(2) // under a higher token
	poll(2, failed(1, key("j", 0, 0), 9), failed(2, key("j", 0, 1), 9))
	r.Flushed(f, r.now, true)
	is.Equal(poll(2).Acked, ResultNumber(0)) // their effects are not in the log
}

// Guards against an end that is forgotten by its worker while the log holds no record of it, since the log has refused
// the record, and against one that counts again with the next record.
func TestEndIsNotAcknowledgedWhileItsRecordIsRefused(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.addWorkers("w")
	r.submit("j", step(1))
	r.submit("other", step(1))
	k := key("j", 0, 0)
	r.placeAndStart()
	r.list("w", failed(1, k, 1))
	for range 3 {
		f := r.Flush(r.now)
		var refused []ledger.Record
		for _, rec := range f.records {
			if rec.Key == "Pj" {
				refused = append(refused, rec)
			}
		}
		r.RecordsRefused(f, refused, r.now)
		r.Flushed(f, r.now, true)
		for range 3 {
			is.Equal(r.list("w", failed(1, k, 1))[0].Acked, ResultNumber(0))
			is.Equal(r.task(k).failures, 1)
			if f := r.Flush(r.now); f != nil {
				r.Flushed(f, r.now, true)
			}
		}
		r.now = r.now.Add(recordRetryDelay)
	}
	r.Flushed(r.Flush(r.now), r.now, true)
	is.Equal(r.list("w", failed(1, k, 1))[0].Acked, ResultNumber(1))
	is.Equal(r.task(k).failures, 1)
}

// Guards against a gang whose members count one by one, though it has run once.
func TestRunOfAGangIsOneAttempt(t *testing.T) {
	const members = 3
	for _, change := range []bool{false, true} {
		for together := 1; together <= members; together++ {
			t.Run(fmt.Sprintf("%d members fail, leader changes %v", together, change), func(t *testing.T) {
				s := newCrashSite(t, backRestarted, members)
				s.answered, s.takes = true, time.Hour
				s.pass(time.Second)
				s.submitJob("gang", gangOf(members))
				for attempt := 1; attempt <= testMaxAttempts; attempt++ {
					for end := s.now.Add(2 * time.Minute); s.membersRunning() < members && s.now.Before(end); {
						s.pass(20 * time.Millisecond)
					}
					s.is.Equal(s.membersRunning(), members)
					s.pass(300 * time.Millisecond)
					for i, w := range s.workers {
						for k := range w.running {
							c := EndGangBroken
							if (i+attempt)%members < together {
								c = EndFailed
							}
							s.end(w, k, c)
						}
						s.pass(200 * time.Millisecond) // the end of one member is applied before that of the next
						if change {
							s.changeLeader()
						}
					}
				}
				s.pass(5 * time.Second)
				s.is.Equal(s.loggedState("gang"), workload.Failed)
				for k, at := range s.starts {
					if len(at) != testMaxAttempts {
						t.Errorf("%v was started %d times, want %d", k, len(at), testMaxAttempts)
					}
				}
			})
		}
	}
}

func (s *crashSite) membersRunning() int {
	n := 0
	for _, w := range s.workers {
		n += len(w.running)
	}
	return n
}

// Guards against a job that runs again after its end, since it was handed in again or read again by the next leader.
func TestJobThatIsHandedInAgainAfterItsEndStaysAsItIs(t *testing.T) {
	for _, want := range []workload.State{workload.Completed, workload.Failed, workload.Cancelled} {
		for _, change := range []bool{false, true} {
			t.Run(fmt.Sprint(want, ", leader changes ", change), func(t *testing.T) {
				s := newFailSite(t, noChange, 2)
				s.submitJob("j", step(1))
				switch want {
				case workload.Completed:
					s.takes = 200 * time.Millisecond
					s.passUntilFinal(time.Minute)
				case workload.Failed:
					s.playUntilFinal("j", time.Minute)
				default:
					s.pass(100 * time.Millisecond)
					e := s.entries["j"]
					e.Cancelled = true
					s.SetEntry(e, s.now)
					s.pass(time.Second)
				}
				s.is.Equal(s.loggedState("j"), want)
				starts := len(s.starts[key("j", 0, 0)])
				for _, cancelled := range []bool{false, true} {
					if change {
						s.changeLeader()
					}
					e := s.entries["j"]
					e.Submission.Submitted = table.UnixMillis(s.now.UnixMilli())
					e.Cancelled = cancelled
					s.SetEntry(e, s.now)
					s.pass(10 * time.Second)
					s.is.Equal(s.loggedState("j"), want)
					s.is.Equal(len(s.starts[key("j", 0, 0)]), starts)
				}
			})
		}
	}
}
