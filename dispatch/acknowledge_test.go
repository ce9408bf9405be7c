package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"persimmonpick/fault"
	"persimmonpick/ledger"
	"persimmonpick/table"
	"persimmonpick/workload"
)

// refuse lets the log refuse the records of f with the given keys, and take the others.
func (r *rig) refuse(f *Batch, keys ...string) {
	var refused []ledger.Record
	for _, rec := range f.records {
		for _, k := range keys {
			if rec.Key == k {
				refused = append(refused, rec)
			}
		}
	}
	r.RecordsRefused(f, refused, r.now)
	r.Flushed(f, r.now, true)
}

// Guards against an end that is acknowledged by a batch that does not hold its effect while several are in flight.
func TestEndIsAcknowledgedOnlyByABatchWithItsEffect(t *testing.T) {
	for _, c := range []struct {
		name    string
		refused [3]string // the key of the record that is refused of each batch
		want    [3]ResultNumber
	}{
		{"none refused", [3]string{}, [3]ResultNumber{1, 2, 3}},
		{"progress refused", [3]string{"Pj"}, [3]ResultNumber{0, 0, 3}},
		{"final state refused", [3]string{"", "Sother"}, [3]ResultNumber{1, 1, 1}},
		{"newest refused", [3]string{"", "", "Pj"}, [3]ResultNumber{1, 2, 2}},
		{"all refused", [3]string{"Pj", "Sother", "Pj"}, [3]ResultNumber{0, 0, 0}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := newRig()
			r.addWorkers("w")
			r.submit("j", step(2))
			r.submit("other", step(1))
			is.Equal(len(r.placeAndStart()), 3)
			r.Flushed(r.Flush(r.now), r.now, true)
			done := TaskResult{Number: 2, Task: key("other", 0, 0), Run: 1}
			all := []TaskResult{failed(1, key("j", 0, 0), 1), done, failed(3, key("j", 0, 1), 1)}
			var batches []*Batch
			for i := range all {
				r.list("w", all[:i+1]...)
				batches = append(batches, r.Flush(r.now))
			}
			for i, f := range batches {
				r.refuse(f, c.refused[i])
				is.Equal(r.list("w", all...)[0].Acked, c.want[i])
			}
			r.now = r.now.Add(recordRetryDelay)
			if f := r.Flush(r.now); f != nil {
				r.Flushed(f, r.now, true)
			}
			is.Equal(r.list("w", all...)[0].Acked, ResultNumber(3))
			is.Equal(r.jobs["other"], nil)
		})
	}
}

// Guards against an end that stays unacknowledged though the final state of its job is in the log, and against one
// that is acknowledged as having no effect while what it repeats is not in the log.
func TestEndsOfAFinalJobAreAcknowledgedWithItsState(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.addWorkers("a", "b")
	r.submit("j", step(1))
	r.placeAndStart()
	r.Flushed(r.Flush(r.now), r.now, true)
	k := key("j", 0, 0)
	on := string(r.task(k).worker.info.ID)
	other := "a"
	if on == "a" {
		other = "b"
	}
	ackedBy := func() map[string]ResultNumber {
		acked := map[string]ResultNumber{}
		done, repeated := r.listRunning(table.WorkerID(on)), r.listRunning(table.WorkerID(other))
		done.Running, done.Ended = nil, []TaskResult{failed(1, k, 1)}
		repeated.Ended = []TaskResult{failed(1, k, 1)}
		for _, o := range r.answerPolls(map[string]PollReply{on: done, other: repeated}) {
			acked[string(o.Worker)] = o.Acked
		}
		return acked
	}
	r.list(on, failed(1, k, 1))
	f := r.Flush(r.now)
	r.refuse(f, "Pj")
	is.Equal(ackedBy(), map[string]ResultNumber{on: 0, other: 0})
	e := entryOf(r, "j")
	e.Cancelled = true
	r.SetEntry(e, r.now)
	f = r.Flush(r.now)
	is.Equal(ackedBy(), map[string]ResultNumber{on: 0, other: 0})
	r.Flushed(f, r.now, true)
	is.Equal(ackedBy(), map[string]ResultNumber{on: 1, other: 1})
	is.Equal(r.jobs["j"], nil)
}

// Guards against an acknowledged end that the log does not know of, with a log that is slow and refuses records, and
// through changes of leader.
func TestAcknowledgedEndsAreInTheLog(t *testing.T) {
	const days, jobs = 12, 12
	for seed := range uint64(days) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			rnd := rand.New(rand.NewPCG(seed, 1))
			s := newCrashSite(t, backRestarted, 4)
			s.takes = 700 * time.Millisecond
			s.delays = func() bool { return rnd.IntN(3) > 0 }
			refuses := true
			s.refuses = func(ledger.Record) bool { return refuses && rnd.IntN(3) == 0 }
			failures, acked := map[workload.TaskKey]int{}, 0
			s.acked = func(e TaskResult) {
				j := s.restored().jobs[e.Task.Job]
				if e.Cause == EndFailed {
					failures[e.Task]++
				}
				if acked++; j == nil || j.state.Final() {
					return
				}
				switch task := s.restored().task(e.Task); {
				case e.Cause == EndDone && task.phase != done:
					t.Errorf("%v of run %d of %s was acknowledged, the log has phase %v", e.Cause, e.Run, e.Task, task.phase)
				case task.phase != done && task.failures < failures[e.Task]:
					t.Errorf("%d ends of %s as failed were acknowledged, the log has %d", failures[e.Task], e.Task, task.failures)
				}
			}
			for n := range jobs {
				s.submitJob(fmt.Sprint("j", n), step(1+rnd.IntN(4)), step(2))
				for range 4 {
					s.pass(100 * time.Millisecond)
					for _, w := range s.workers {
						for k := range w.running {
							if rnd.IntN(30) == 0 {
								s.end(w, k, EndFailed)
							}
						}
					}
				}
				if rnd.IntN(4) == 0 {
					s.changeLeader()
				}
			}
			s.pass(5 * time.Second)
			refuses = false
			s.passUntilFinal(time.Minute)
			for id := range s.entries {
				s.is.True(s.loggedState(id).Final())
			}
			s.is.True(acked > 2*jobs)
		})
	}
}

// Guards against a run that its worker lists late and that goes on though its job is final.
func TestLateRunOfAFinalJobIsStopped(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.addWorkers("w")
	r.submit("j", step(2))
	is.Equal(len(r.placeAndStart()), 2)
	lost := r.task(key("j", 0, 0))
	r.loseRun(lost, r.now, "lease ended")
	e := entryOf(r, "j")
	e.Cancelled = true
	r.SetEntry(e, r.now)
	l := r.listRunning("w")
	l.Running = append(l.Running, RunningTask{Task: lost.key, Run: 1})
	r.answerPolls(map[string]PollReply{"w": l})
	stopped := map[workload.TaskKey]bool{}
	for _, o := range r.StopOrders(r.now) {
		stopped[o.Task] = true
	}
	is.Equal(stopped, map[workload.TaskKey]bool{key("j", 0, 0): true, key("j", 0, 1): true})
}

// Guards against handing over what the log has refused.
func TestRefusedHandOverIsNotReported(t *testing.T) {
	is := is.New(t)
	r := newRig()
	written := map[string]bool{}
	for _, name := range []string{"wave/1", "wave/2"} {
		r.HandOver(name, []byte("x"), func() { written[name] = true })
	}
	r.refuse(r.Flush(r.now), "Nwave/1")
	is.Equal(written, map[string]bool{"wave/2": true})
}

// Guards against a worker that restarts under its ID and forgets ends which nobody has heard of, since their numbers
// were acknowledged to its last incarnation.
func TestSilentWorkerIsToldOfNoAcknowledgements(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.addWorkers("w")
	r.submit("j", step(1))
	r.placeAndStart()
	k := key("j", 0, 0)
	r.list("w", failed(1, k, 1))
	r.Flushed(r.Flush(r.now), r.now, true)
	poll := func(l PollReply, err error) PollOrder {
		r.now = r.now.Add(pollRetryMaxDelay)
		o := r.PollOrders(r.now, true)[0]
		r.PollDone(o, r.now, l, err, r.now)
		return o
	}
	alive := PollReply{Incarnation: 1, Clock: 1}
	is.Equal(poll(alive, nil).Acked, ResultNumber(1))
	poll(PollReply{}, fault.New(fault.OutcomeUnknown, "no answer"))
	is.Equal(poll(alive, nil).Acked, ResultNumber(0))
	is.Equal(poll(alive, nil).Acked, ResultNumber(1)) // it has not restarted
	poll(PollReply{}, fault.New(fault.OutcomeUnknown, "no answer"))
	is.Equal(poll(PollReply{Incarnation: 2, Clock: 1, Ended: []TaskResult{failed(1, k, 2)}}, nil).Acked, ResultNumber(0))
	is.Equal(poll(PollReply{Incarnation: 2, Clock: 1}, nil).Acked, ResultNumber(0))
}
