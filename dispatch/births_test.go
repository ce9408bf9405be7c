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

// Guards against a worker that is not reached again, as its next incarnation has an earlier birth and another address.
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

func TestClockOutOfItsRangeShowsARestartWhereNoBirthIsStated(t *testing.T) {
	for _, far := range []WorkerClock{-100_000, 100_000} {
		is := is.New(t)
		r := newRig()
		r.addWorkers("a")
		token := r.workers["a"].token
		r.answerAs("a", 0, PollReply{Clock: WorkerClock(r.now.UnixMilli()) + far})
		is.True(!r.workers["a"].contacted)
		is.True(r.workers["a"].token > token)
	}
}

// Guards against a worker that is not used again, and whose tasks are kept, as the time of day was set back meanwhile.
func TestLaterIncarnationWithAnEarlierBirthIsContacted(t *testing.T) {
	for _, shownBy := range []string{"poll", "entry"} {
		is := is.New(t)
		r := newRig()
		r.addWorkers("a")
		r.restart("a", 10)
		r.answerAs("a", 10, PollReply{Clock: 150})
		r.submit("j", step(1))
		r.placeAndStart()
		if shownBy == "entry" {
			r.restart("a", 5)
		}
		for range 3 {
			r.answerAs("a", 5, PollReply{Clock: 300})
		}
		is.True(r.workers["a"].contacted)
		is.Equal(r.workers["a"].info.Incarnation, table.UnixMillis(5))
		is.Equal(len(r.place()), 1)
	}
}

// Guards against a worker that counts as restarted, since a reply of its earlier incarnation came last.
func TestReplyThatAnotherHasOvertakenDoesNotShowALaterIncarnation(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.addWorkers("a")
	r.now = r.now.Add(pollPause)
	first := r.PollOrders(r.now, true)[0]
	sent := r.now
	r.workers["a"].pollUrgently(r.now)
	r.now = r.now.Add(pollPause)
	second := r.PollOrders(r.now, true)[0]
	r.PollDone(first, sent, PollReply{Incarnation: 1, Clock: WorkerClock(r.now.UnixMilli())}, nil, r.now.Add(20*time.Millisecond))
	r.PollDone(second, r.now, PollReply{Incarnation: 2, Clock: 150}, nil, r.now.Add(30*time.Millisecond))
	is.Equal(r.workers["a"].info.Incarnation, table.UnixMillis(1))
	is.True(r.answerAs("a", 1, PollReply{Clock: WorkerClock(r.now.UnixMilli())})) // at once, which decides
	is.True(r.workers["a"].contacted)
}

// Guards against a birth that is never learnt, since the first reply did not state one.
func TestBirthThatIsStatedLaterIsKnown(t *testing.T) {
	is := is.New(t)
	r := newRig()
	info := r.workerInfo("a")
	info.Incarnation = 0
	r.SetWorker(info, r.now)
	r.answerAs("a", 0, PollReply{Clock: WorkerClock(r.now.UnixMilli())})
	for range 3 {
		r.answerAs("a", 5, PollReply{Clock: WorkerClock(r.now.UnixMilli())})
	}
	is.Equal(r.workers["a"].info.Incarnation, table.UnixMillis(5))
}

// Guards against tasks that wait for a worker which is back, since its former incarnation left many polls unanswered.
func TestPollsOfANewIncarnationAreRepeatedSoon(t *testing.T) {
	for _, contacted := range []bool{true, false} {
		is := is.New(t)
		r := newRig()
		if contacted {
			r.addWorkers("a")
		} else {
			r.SetWorker(r.workerInfo("a"), r.now)
		}
		unanswered := func(within time.Duration) {
			r.now = r.now.Add(within)
			orders := r.PollOrders(r.now, true)
			is.Equal(len(orders), 1)
			r.now = r.now.Add(time.Second)
			r.PollDone(orders[0], r.now.Add(-time.Second), PollReply{}, fault.New(fault.OutcomeUnknown, "no answer"), r.now)
		}
		for range 5 {
			unanswered(pollRetryMaxDelay)
		}
		r.restart("a", 2)
		unanswered(0)
		unanswered(pollRetryDelay)
		unanswered(2 * pollRetryDelay)
		r.now = r.now.Add(2 * pollRetryDelay)
		is.Equal(len(r.PollOrders(r.now, true)), 0)
	}
}
