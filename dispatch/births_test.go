package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"persimmonpick/fault"
	"persimmonpick/ledger"
	"persimmonpick/table"
)

// Guards against a new incarnation that counts as leaving for good, by an older entry of one that left.
func TestOlderEntryOfALeavingIncarnationDoesNotBoundTheNextOne(t *testing.T) {
	is := is.New(t)
	var log []ledger.Record
	r := newRig()
	r.addWorkers("a")
	r.answerAs("a", 2, PollReply{Clock: 150}) // known by a poll, before the list shows it
	is.True(r.answerAs("a", 2, PollReply{Clock: 300}))
	r.flushRecords(&log)
	next := nextLeader(log, 2, r.now, r.now.Add(time.Second))
	is.Equal(next.workers["a"].info.Incarnation, table.UnixMillis(2))
	old := next.workerInfo("a")
	old.Draining, old.LeavesIn = true, time.Second
	next.SetWorker(old, next.now)
	is.True(next.answerAs("a", 2, PollReply{Clock: 2000}))
	next.Tick(next.now)
	next.restart("a", 2) // its own entry, ready
	is.True(!next.workers["a"].info.Draining)
}

// Guards against a worker that is never reached again, since its next incarnation has an earlier birth and another address.
func TestLaterIncarnationWithAnEarlierBirthIsReachedAtItsAddress(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.addWorkers("a")
	r.restart("a", 10)
	r.answerAs("a", 10, PollReply{Clock: 150})
	info := r.workerInfo("a")
	info.Incarnation, info.Address = 5, "a:2"
	for began := r.now; r.now.Sub(began) < time.Minute; {
		r.SetWorker(info, r.now) // each heartbeat
		for range 10 {
			r.now = r.now.Add(100 * time.Millisecond)
			for _, o := range r.PollOrders(r.now, true) {
				if o.Address != "a:2" {
					r.PollDone(o, r.now, PollReply{}, fault.New(fault.OutcomeUnknown, "silent"), r.now)
					continue
				}
				r.PollDone(o, r.now, PollReply{Incarnation: 5, Clock: WorkerClock(r.now.UnixMilli())}, nil, r.now)
			}
			r.Tick(r.now)
		}
	}
	is.Equal(r.workers["a"].info.Address, "a:2")
	is.True(r.workers["a"].reachable(r.now))
}

// Guards against two runs at once after an older entry has led the polls to an address that another worker has now.
func TestOlderEntryWithAnotherAddressLosesNoRun(t *testing.T) {
	is := is.New(t)
	var log []ledger.Record
	r := newRig()
	r.addWorkers("a")
	info := r.workerInfo("a")
	info.Incarnation, info.Address = 2, "a:2"
	r.SetWorker(info, r.now)
	is.True(r.answerAs("a", 2, PollReply{Clock: 150}))
	r.submit("j", longRunningStep())
	r.Decide(r.now)
	f := r.Flush(r.now)
	log = append(log, f.records...)
	for _, o := range r.Flushed(f, r.now, true) {
		r.StartDone(o, Started, r.now)
	}
	r.flushRecords(&log)
	next := nextLeader(log, 2, r.now, r.now.Add(time.Second))
	next.SetWorker(next.workerInfo("a"), next.now) // of incarnation 1, at a:1
	next.now = next.now.Add(pollPause)
	for _, o := range next.PollOrders(next.now, true) {
		if o.Address == "a:1" { // another worker is there
			next.PollDone(o, next.now, PollReply{}, fault.New(fault.NotCurrent, "421"), next.now)
		} else {
			next.PollDone(o, next.now, PollReply{}, fault.New(fault.OutcomeUnknown, "silent"), next.now)
		}
	}
	is.True(restartAfter(next) >= testTerm)
}
