package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"persimmonpick/fault"
	"persimmonpick/ledger"
	"persimmonpick/table"
	"persimmonpick/workload"
)

// rebornRig returns a rig whose workers grant leases up to maxLease, with a task that runs on a, which has restarted
// just before and been contacted since, when its clock read c.
func rebornRig(maxLease time.Duration, c WorkerClock) *rig {
	r := newRig()
	r.cfg.MaxLease = maxLease
	r.addWorkers("a")
	r.restart("a", 2)
	r.answerAs("a", 2, PollReply{Clock: c})
	r.submit("j", step(1))
	r.placeAndStart()
	return r
}

// clocksOfNext returns readings of the clock of the next incarnation of a worker: just started, as that of the one
// before, and far above it.
func clocksOfNext(r *rig) []WorkerClock {
	c := WorkerClock(r.now.UnixMilli())
	return []WorkerClock{150, c, c + 10, 2 * c}
}

// orderedRig returns a rig with the order of the first start of a task, on worker a.
func orderedRig() (*rig, StartOrder) {
	r := newRig()
	r.addWorkers("a")
	r.submit("j", step(1))
	return r, r.place()[0]
}

// acknowledgingRig returns a rig that runs so many tasks on worker a, of which the first is done, and the poll that
// acknowledges its result.
func acknowledgingRig(t *testing.T, tasks int) (*rig, PollOrder) {
	t.Helper()
	r := newRig()
	r.addWorkers("a")
	r.submit("j", step(tasks))
	r.placeAndStart()
	r.list("a", TaskResult{Number: 1, Task: key("j", 0, 0), Run: 1})
	r.place()
	r.now = r.now.Add(pollPause)
	poll := r.PollOrders(r.now, true)[0]
	is.New(t).Equal(poll.Acked, ResultNumber(1))
	return r, poll
}

// unansweredRig returns a rig whose worker a has not carried out the first start of a task.
func unansweredRig() (*rig, StartOrder) {
	r, o := orderedRig()
	r.StartDone(o, StartUnknown, r.now)
	r.answerAs("a", 1, PollReply{Clock: WorkerClock(r.now.UnixMilli()) + 1000})
	return r, o
}

// restart lists a new incarnation of a worker.
func (r *rig) restart(id string, born int64) {
	info := r.workerInfo(id)
	info.Incarnation = table.UnixMillis(born)
	r.SetWorker(info, r.now)
}

// answerAs sends all polls that are due; the given worker answers with l as the given incarnation.
func (r *rig) answerAs(id string, born int64, l PollReply) (polled bool) {
	r.now = r.now.Add(pollPause)
	for _, o := range r.PollOrders(r.now, true) {
		if string(o.Worker) != id {
			r.PollDone(o, r.now, r.listRunning(o.Worker), nil, r.now)
			continue
		}
		polled = true
		l.Incarnation = table.UnixMillis(born)
		r.PollDone(o, r.now, l, nil, r.now)
	}
	return polled
}

// Guards against two runs at once after an order for an earlier incarnation has extended the lease of the next one.
func TestRunOfAWorkerThatRestartedIsKeptForTheLongestLease(t *testing.T) {
	const longest = 10 * time.Second
	for _, c := range clocksOfNext(newRig()) {
		is := is.New(t)
		took := restartAfter(rebornRig(longest, c))
		is.True(took >= longest)
		is.True(took < maxLeaseDuration(longest)+time.Second)
	}
}

// Guards against two runs at once after an order of an earlier leader has extended the lease of the next incarnation,
// and against a wait for such orders where none can have come.
func TestRunIsKeptForTheLongestLeaseFromTheFirstContactOfALeader(t *testing.T) {
	const longest = 10 * time.Second
	for _, c := range []struct {
		known       time.Duration // before the next leader leads
		least, most time.Duration
	}{
		{silentTakeover, longest, maxLeaseDuration(longest)},
		{30 * time.Second, testTerm, maxLeaseDuration(testTerm)},
	} {
		for _, clock := range clocksOfNext(newRig()) {
			is := is.New(t)
			log, readAt := runAtLeaving(false)
			next := nextLeader(log, 2, readAt, readAt.Add(c.known))
			next.cfg.MaxLease = longest
			is.True(next.answerAs("a", 1, PollReply{Clock: clock, Running: []RunningTask{{Task: key("j", 0, 0), Run: 1, Percent: 100}}}))
			took := restartAfter(next)
			is.True(took >= c.least)
			is.True(took < c.most+time.Second)
		}
	}
}

// Guards against a take-over that does not count with the longest lease of an incarnation that was known just before.
func TestNextLeaderWaitsForTheLongestLeaseOfAnIncarnationJustKnown(t *testing.T) {
	const longest = 10 * time.Second
	for _, c := range []struct {
		known time.Duration // before the next leader leads
		least time.Duration
	}{
		{time.Second, supersededExtension + longest - time.Second},
		{time.Minute, supersededExtension + testTerm},
	} {
		is := is.New(t)
		log, readAt := runAtLeaving(false)
		r := newRig()
		r.cfg.MaxLease = longest
		r.now = readAt.Add(c.known)
		r.cfg.HandoverReadAt = func(string) time.Time { return readAt }
		for _, rec := range log {
			if rec.Key[0] == 'N' {
				r.RestoreHandover(map[string][]byte{rec.Key[1:]: rec.Value}, r.now)
			}
		}
		left := r.workers["a"].leaseUntil.Sub(r.now)
		is.True(left >= c.least)
		is.True(left < c.least+time.Second)
	}
}

// Guards against a take-over that does not count with late orders to an incarnation that no leader had polled.
func TestNextLeaderWaitsForLateOrdersToAnIncarnationThatWasNotPolled(t *testing.T) {
	const longest = 10 * time.Second
	for _, c := range []struct {
		polled      bool
		least, most time.Duration
	}{
		{true, supersededExtension + longest, supersededExtension + maxLeaseDuration(longest)},
		{false, lateOrderLimit + longest, supersededExtension + lateOrderLimit + maxLeaseDuration(longest)},
	} {
		is := is.New(t)
		var log []ledger.Record
		r := newRig()
		r.addWorkers("a")
		r.restart("a", 2)
		r.flushRecords(&log)
		if c.polled {
			is.True(r.answerAs("a", 2, PollReply{Clock: 150}))
			r.flushRecords(&log)
		}
		next := newRig()
		next.now, next.cfg.MaxLease = r.now, longest
		next.RestoreHandover(map[string][]byte{log[0].Key[1:]: log[0].Value}, next.now)
		left := next.workers["a"].leaseUntil.Sub(next.now)
		is.True(left >= c.least)
		is.True(left < c.most+time.Second)
	}
}

// Guards against two runs at once after the next incarnation has answered a start before it is known.
func TestStartAnsweredByTheNextIncarnationIsNotTakenForARunOfTheOneBefore(t *testing.T) {
	const longest = 10 * time.Second
	for _, far := range []WorkerClock{-100_000, 100_000} {
		is := is.New(t)
		r, o := orderedRig()
		r.cfg.MaxLease = longest
		r.now = r.now.Add(300 * time.Millisecond)
		r.StartDone(o, o.Outcome(Started, WorkerClock(r.now.UnixMilli())+far), r.now)
		is.True(restartAfter(r) >= longest)
	}
}

// Guards against answers of a sound worker that count as those of another incarnation.
func TestClockWithinItsRangeMayBeOfTheSameIncarnation(t *testing.T) {
	is := is.New(t)
	r, o := orderedRig()
	sent := WorkerClock(r.now.UnixMilli())
	for _, c := range []WorkerClock{sent, sent + WorkerClock(orderTimeout/time.Millisecond)} {
		is.Equal(o.Outcome(Started, c), Started)
	}
	is.Equal(StartOrder{}.Outcome(Started, 1), Started) // not known
}

func TestRunStartedByTheNextIncarnationIsAdoptedOnceItIsContacted(t *testing.T) {
	is := is.New(t)
	r, o := orderedRig()
	r.StartDone(o, o.Outcome(Started, 150), r.now)
	is.True(r.answerAs("a", 2, PollReply{Clock: 300, Running: []RunningTask{{Task: o.Task, Run: o.Run}}}))
	is.Equal(r.task(o.Task).phase, running)
	is.Equal(r.task(o.Task).run, o.Run)
	is.Equal(len(r.place()), 0)
}

func TestRunOfAnIncarnationThatHasEndedWaitsForItsOwnLeaseOnly(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.cfg.MaxLease = 10 * time.Second
	r.addWorkers("a")
	r.submit("j", step(1))
	r.placeAndStart()
	r.answerPolls(nil) // the run is listed
	r.restart("a", 2)
	took := restartAfter(r)
	is.True(took < maxLeaseDuration(testTerm)+time.Second)
}

// Guards against two runs at once after the next incarnation has answered a start before its birth was known.
func TestAnsweredStartThatNoListHoldsIsKeptWhileItsWorkerHasRestarted(t *testing.T) {
	const longest = 10 * time.Second
	for _, listed := range []bool{true, false} { // the worker stays in the list
		is := is.New(t)
		r := newRig()
		r.cfg.MaxLease = longest
		r.addWorkers("a")
		r.submit("j", step(1))
		r.placeAndStart()
		r.restart("a", 2)
		if !listed {
			r.RemoveWorker("a", r.now)
		}
		is.True(restartAfter(r) >= longest)
	}
}

// Guards against a result that the next incarnation drops unread, since a poll for the one before acknowledged its
// number.
func TestAcknowledgementIsVoidWhereALaterStartRan(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.addWorkers("a")
	r.submit("j", step(1), step(1))
	first := r.place()
	is.Equal(len(first), 2)
	r.now = r.now.Add(pollPause)
	is.Equal(r.PollOrders(r.now, true)[0].Acked, ResultNumber(0))
	for _, o := range first {
		r.StartDone(o, Started, r.now)
	}
	r.workers["a"].pollsInFlight = 0
	r.list("a", TaskResult{Number: 1, Task: key("j", 0, 0), Run: 1})
	r.place()
	r.now = r.now.Add(pollPause)
	poll := r.PollOrders(r.now, true)[0]
	is.Equal(poll.Acked, ResultNumber(1))
	r.submit("k", step(2))
	starts := r.place()
	is.Equal(len(starts), 2)
	is.True(starts[0].Token > poll.Token)
	is.Equal(starts[0].Token, starts[1].Token) // neither makes the other void
}

// Guards against a start that follows an unanswered acknowledgement under the same token.
func TestUnansweredAcknowledgementIsVoidForLaterStarts(t *testing.T) {
	is := is.New(t)
	r, poll := acknowledgingRig(t, 1)
	r.PollDone(poll, r.now, PollReply{}, fault.New(fault.OutcomeUnknown, "no answer"), r.now)
	r.now = r.now.Add(time.Second)
	r.list("a")
	r.submit("k", step(1))
	starts := r.place()
	is.Equal(len(starts), 1)
	is.True(starts[0].Token > poll.Token)
}

// Guards against a worker that counts as silent since a newer order has overtaken a poll.
func TestPollThatANewerOrderHasOvertakenIsNoSilence(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.addWorkers("a")
	r.now = r.now.Add(pollPause)
	poll := r.PollOrders(r.now, true)[0]
	r.workers["a"].raiseToken()
	r.PollDone(poll, r.now, PollReply{}, fault.New(fault.Stale, "fence"), r.now)
	is.True(!r.Superseded())
	is.Equal(r.workers["a"].missedPolls, 0)
	is.Equal(len(r.PollOrders(r.now, true)), 1) // at once
}

// Guards against acknowledgements that end once an urgent poll has overtaken one.
func TestAcknowledgementsGoOnAfterAnUrgentPollHasOvertakenOne(t *testing.T) {
	r, first := acknowledgingRig(t, 2) // waits for an end
	sent := r.now
	r.cancel("j")
	r.StopDone(r.StopOrders(r.now)[0], nil, r.now) // polls urgently
	r.now = r.now.Add(pollPause)
	urgent := r.PollOrders(r.now, true)[0]
	l := r.listRunning("a")
	r.PollDone(urgent, r.now, l, nil, r.now.Add(time.Millisecond))
	r.PollDone(first, sent, l, nil, r.now.Add(2*time.Millisecond))
	r.now = r.now.Add(pollPause)
	r.list("a", TaskResult{Number: 2, Task: key("j", 0, 1), Run: 1, Cause: EndStopped})
	r.place()
	for began := r.now; r.now.Sub(began) < 10*time.Second; {
		for _, o := range r.answerPolls(nil) {
			if o.Acked == 2 {
				return
			}
		}
	}
	t.Fatal("the second end is not acknowledged within 10 s")
}

// Guards against a start that is never resolved since its worker lists so many results to acknowledge.
func TestUnansweredStartDoesNotHoldUpAFullPageOfResults(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.addWorkers("a")
	r.submit("j", step(1))
	r.StartDone(r.place()[0], StartUnknown, r.now)
	var ends []TaskResult
	for n := range ResultNumber(resultPageSize) {
		ends = append(ends, TaskResult{Number: n + 1, Task: key("finished", 0, 0), Run: 1})
	}
	for began := r.now; r.now.Sub(began) < 10*time.Second; {
		r.now = r.now.Add(pollPause)
		for _, o := range r.PollOrders(r.now, true) {
			if o.Acked == resultPageSize {
				ends = nil
			}
			r.PollDone(o, r.now, PollReply{Incarnation: 1, Clock: WorkerClock(r.now.UnixMilli()), Ended: ends}, nil, r.now)
		}
		if len(r.place()) > 0 {
			return
		}
	}
	is.Fail()
}

// Guards against a run that starts elsewhere while its worker lists an earlier run of the same task.
func TestTaskDoesNotStartElsewhereWhileTheNextIncarnationRunsAnEarlierStart(t *testing.T) {
	is := is.New(t)
	r, first := unansweredRig()
	second := r.placeAndStart()
	is.Equal(len(second), 1)
	is.Equal(second[0].Run, first.Run)
	r.SetWorker(r.workerInfo("b"), r.now)
	r.answerAs("b", 1, PollReply{Clock: 100_000})
	r.restart("a", 2)
	is.True(r.answerAs("a", 2, PollReply{Clock: 200, Running: []RunningTask{{Task: first.Task, Run: first.Run}}}))
	is.Equal(len(r.place()), 0)
}

// unansweredAgainRig is unansweredRig where the second start was not answered either, a has restarted since, and b is
// there too.
func unansweredAgainRig() (*rig, StartOrder) {
	r, first := unansweredRig()
	r.SetWorker(r.workerInfo("b"), r.now)
	r.answerAs("b", 1, PollReply{Clock: 100_000})
	r.StartDone(r.place()[0], StartUnknown, r.now)
	r.restart("a", 2)
	return r, first
}

// Guards against a run beside the first start, which the next incarnation has carried out, unlike the second one.
func TestTaskDoesNotStartElsewhereWhileTheFirstOfTwoUnansweredStartsRuns(t *testing.T) {
	is := is.New(t)
	r, first := unansweredAgainRig()
	is.True(r.answerAs("a", 2, PollReply{Clock: 200, Running: []RunningTask{{Task: first.Task, Run: first.Run}}}))
	is.Equal(len(r.place()), 0)
	r.now = r.now.Add(time.Second)
	is.True(r.answerAs("a", 2, PollReply{Clock: 1200, Ended: []TaskResult{{Number: 1, Task: first.Task, Run: first.Run, Cause: EndStopped}}}))
	is.Equal(len(r.place()), 1)
}

// Guards against a task that runs again though the next incarnation has carried out the first start, and is done.
func TestResultOfTheFirstOfTwoUnansweredStartsCounts(t *testing.T) {
	is := is.New(t)
	r, first := unansweredAgainRig()
	is.True(r.answerAs("a", 2, PollReply{Clock: 900, Ended: []TaskResult{{Number: 1, Task: first.Task, Run: first.Run}}}))
	is.Equal(r.jobs["j"].state, workload.Completed)
	is.Equal(len(r.place()), 0)
}

// Guards against a refusal by another worker at the address that is taken for an answer of the next incarnation.
func TestAnswerOfAnotherWorkerAtTheAddressIsARefusal(t *testing.T) {
	is := is.New(t)
	is.Equal(StartOrder{Clock: ClockRange{100_000, 110_000}}.Outcome(RefusedIncarnation, 150), RefusedIncarnation)
}

// Guards against a start on another worker after the next incarnation of the first one has carried the start out late.
func TestStartThatOneIncarnationHasNotCarriedOutMayBeCarriedOutByTheNext(t *testing.T) {
	is := is.New(t)
	r, o := unansweredRig()
	r.workers["a"].quarantine(r.now, "test")
	r.SetWorker(r.workerInfo("b"), r.now)
	r.answerAs("b", 1, PollReply{Clock: 100_000})
	for _, again := range r.place() {
		is.Equal(again.Worker, o.Worker)
	}
}

// Guards against a start that a worker which has left the list carries out late, once it is back.
func TestUnansweredStartAtAWorkerThatIsGoneWaitsForLateOrders(t *testing.T) {
	is := is.New(t)
	r, o := orderedRig()
	r.StartDone(o, StartUnknown, r.now)
	r.RemoveWorker("a", r.now)
	is.True(restartAfter(r) >= lateOrderLimit-time.Second)
}

// Guards against a start that an incarnation has answered which is cut off before it is listed. Red, see KNOWN-RED.txt.
func TestStartAnsweredByAnIncarnationThatIsNeverListedIsKept(t *testing.T) {
	is := is.New(t)
	const longest = 10 * time.Second
	r, o := orderedRig()
	r.cfg.MaxLease = longest
	r.StartDone(o, Started, r.now)
	is.True(restartAfter(r) >= longest)
}

// Guards against a start of an earlier leader that a silent worker carries out late. Red, see KNOWN-RED.txt.
func TestStartOfAnEarlierLeaderIsCarriedOutLateAtASilentWorker(t *testing.T) {
	is := is.New(t)
	log, readAt := runAtLeaving(false)
	next := nextLeader(log, 2, readAt, readAt.Add(500*time.Millisecond))
	restartAfter(next)
	is.True(next.now.Sub(readAt) >= lateOrderLimit+testTerm)
}

// Guards against late orders to a worker that was dropped, which its next incarnation takes under an equal token, and
// against a refusal by the same incarnation that looks like one for another leader.
func TestWorkerThatIsBackAfterItWasDroppedGetsNewerTokens(t *testing.T) {
	for _, born := range []int64{1, 2} {
		is := is.New(t)
		const longest = 10 * time.Second
		r := newRig()
		r.cfg.MaxLease = longest
		r.addWorkers("a", "b")
		r.workers["a"].raiseToken()
		r.answerPolls(nil)
		token := r.workers["a"].token
		r.RemoveWorker("a", r.now)
		for began := r.now; r.workers["a"] != nil; r.now = r.now.Add(100 * time.Millisecond) {
			is.True(r.now.Sub(began) < lateOrderLimit)
			for _, o := range r.PollOrders(r.now, true) {
				r.PollDone(o, r.now, r.listRunning(o.Worker), nil, r.now)
			}
			r.Tick(r.now)
		}
		r.restart("a", born)
		is.True(r.workers["a"].token > token)
		is.True(r.answerAs("a", born, PollReply{Clock: 150}))
		is.True(r.workers["a"].leaseUntil.Sub(r.now) >= longest)
	}
}

// Guards against a stop that waits for its repetition after a newer order has overtaken it.
func TestStopThatANewerOrderHasOvertakenIsRepeatedAtOnce(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.addWorkers("a")
	r.submit("j", step(1))
	r.submit("i", step(1))
	r.placeAndStart()
	r.list("a", TaskResult{Number: 1, Task: key("j", 0, 0), Run: 1})
	r.place()
	r.now = r.now.Add(pollPause)
	poll := r.PollOrders(r.now, true)[0]
	is.Equal(poll.Acked, ResultNumber(1))
	r.cancel("i")
	stops := r.StopOrders(r.now)
	is.Equal(len(stops), 1)
	r.submit("k", step(1))
	starts := r.place()
	is.Equal(len(starts), 1)
	is.True(starts[0].Token > stops[0].Token)
	r.StopDone(stops[0], fault.New(fault.Stale, "fence"), r.now)
	r.now = r.now.Add(20 * time.Millisecond)
	is.Equal(len(r.StopOrders(r.now)), 1) // 700 ms otherwise
}

// Guards against a crash that counts as one long after the start, since the age of the run is taken across two clocks.
func TestAgeOfARunIsNotTakenAcrossTheClocksOfTwoIncarnations(t *testing.T) {
	for _, c := range clocksOfNext(newRig()) {
		is := is.New(t)
		r := newRig()
		r.addWorkers("a")
		r.submit("j", step(2))
		orders := r.place()
		is.Equal(len(orders), 2)
		r.StartDone(orders[0], Started, r.now)
		r.StartDone(orders[1], AnsweredByAnother, r.now)
		is.True(r.answerAs("a", 2, PollReply{Clock: c}))
		crash := r.workers["a"].crash
		is.True(crash.cause(r.task(orders[0].Task)) != nil)
		is.True(crash.cause(r.task(orders[0].Task)).age < settledAge)
	}
}

// Guards against a third run of a task that the next incarnation has done under a start of the one before.
func TestResultOfAStartCarriedOutByTheNextIncarnationCounts(t *testing.T) {
	is := is.New(t)
	r, first := unansweredRig()
	is.Equal(len(r.placeAndStart()), 1)
	r.restart("a", 2)
	is.True(r.answerAs("a", 2, PollReply{Clock: 900, Ended: []TaskResult{{Number: 1, Task: first.Task, Run: first.Run}}}))
	is.Equal(r.jobs["j"].state, workload.Completed)
	is.Equal(len(r.place()), 0)
}

// Guards against a start that is sent after the result of the run that the next incarnation has carried out late.
func TestResultOfALateStartEndsAReservedOne(t *testing.T) {
	is := is.New(t)
	r, first := unansweredRig()
	r.drain("a")
	r.SetWorker(r.workerInfo("b"), r.now)
	r.answerAs("b", 1, PollReply{Clock: 100_000})
	r.Decide(r.now)
	f := r.Flush(r.now)
	is.Equal(len(f.intents), 1)
	is.Equal(f.intents[0].worker.info.ID, table.WorkerID("b")) // as a takes no starts
	r.restart("a", 2)
	is.True(r.answerAs("a", 2, PollReply{Clock: 900, Ended: []TaskResult{{Number: 1, Task: first.Task, Run: first.Run}}}))
	is.Equal(len(r.Flushed(f, r.now, true)), 0)
	is.Equal(r.jobs["j"].state, workload.Completed)
	is.Equal(len(r.place()), 0)
}

// Guards against a run that starts elsewhere while the next incarnation, which has answered its start, is cut off and
// gone from the list.
func TestRunOfAnIncarnationThatIsGoneBeforeItsContactIsKept(t *testing.T) {
	is := is.New(t)
	const longest = 10 * time.Second
	r, o := orderedRig()
	r.cfg.MaxLease = longest
	r.StartDone(o, o.Outcome(Started, 150), r.now)
	r.restart("a", 2)
	r.RemoveWorker("a", r.now)
	is.True(restartAfter(r) >= longest)
}

// Guards against a crash that counts against a run which had worked for long, as the next incarnation answered first.
func TestAgeOfARunIsKeptUntilTheCrashIsCounted(t *testing.T) {
	for _, shownBy := range []string{"poll", "start"} {
		is := is.New(t)
		r := newRig()
		r.addWorkers("a")
		r.submit("j", step(1))
		first := r.placeAndStart()
		for range 7 {
			r.answerPolls(nil)
		}
		is.True(r.workers["a"].ageOf(r.task(first[0].Task)) >= settledAge)
		if shownBy == "start" {
			r.submit("k", step(1))
			r.StartDone(r.place()[0], AnsweredByAnother, r.now)
		}
		r.answerAs("a", 2, PollReply{Clock: 150})
		crash := r.workers["a"].crash
		is.True(crash != nil)
		cause := crash.cause(r.task(first[0].Task))
		is.True(cause != nil)
		is.True(cause.age >= settledAge)
	}
}

// Guards against a record that says of a polled incarnation that it was not polled.
func TestRecordTellsOfTheContactAfterTheWorkerWasContactedAnew(t *testing.T) {
	is := is.New(t)
	var log []ledger.Record
	r := newRig()
	r.addWorkers("a")
	r.submit("j", step(1))
	r.contactAnew(r.workers["a"], r.now) // before its record is flushed
	r.flushRecords(&log)
	is.True(r.answerAs("a", 1, PollReply{Clock: WorkerClock(r.now.UnixMilli())}))
	r.flushRecords(&log)
	next := nextLeader(log, 2, r.now, r.now)
	is.True(next.workers["a"].contactRecorded)
}

// Guards against a worker that was cut off for long and makes its own leader step down.
func TestTokensOfADroppedWorkerAreOutdoneLater(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.addWorkers("a", "b", "c")
	r.workers["a"].raiseToken()
	drop := func(id table.WorkerID) {
		r.RemoveWorker(id, r.now)
		for range 600 {
			if r.workers[id] == nil {
				return
			}
			r.now = r.now.Add(100 * time.Millisecond)
			for _, o := range r.PollOrders(r.now, true) {
				r.PollDone(o, r.now, r.listRunning(o.Worker), nil, r.now)
			}
			r.Tick(r.now)
		}
	}
	token := r.workers["a"].token
	drop("a")
	r.now = r.now.Add(goneTime + time.Second)
	drop("b")
	r.SetWorker(r.workerInfo("a"), r.now)
	is.True(r.workers["a"].token > token)
}
