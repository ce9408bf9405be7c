package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"persimmonpick/fault"
	"persimmonpick/table"
)

// rebornRig returns a rig whose workers grant leases up to maxLease, with a task that runs on a, which has restarted
// just before and been contacted since.
func rebornRig(maxLease time.Duration) (*rig, StartOrder) {
	r := newRig()
	r.cfg.MaxLease = maxLease
	r.addWorkers("a")
	r.restart("a", 2)
	r.answerAs("a", 2, PollReply{Clock: 200})
	r.submit("j", step(1))
	o := r.placeAndStart()[0]
	r.SetWorker(r.workerInfo("b"), r.now)
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

// startsElsewhereAfter returns how long r takes to start a task anew while worker a does not answer.
func (r *rig) startsElsewhereAfter() time.Duration {
	for began := r.now; r.now.Sub(began) < time.Minute; r.now = r.now.Add(50 * time.Millisecond) {
		for _, o := range r.PollOrders(r.now, true) {
			if o.Worker == "a" {
				r.PollDone(o, r.now, PollReply{}, fault.New(fault.OutcomeUnknown, "silent"), r.now)
				continue
			}
			r.PollDone(o, r.now, r.listRunning(o.Worker), nil, r.now)
		}
		if len(r.placeAndStart()) > 0 {
			return r.now.Sub(began)
		}
	}
	return time.Minute
}

// Guards against two runs at once after an order for an earlier incarnation has extended the lease of the next one.
func TestRunOfAWorkerThatRestartedIsKeptForTheLongestLease(t *testing.T) {
	is := is.New(t)
	const longest = 10 * time.Second
	r, _ := rebornRig(longest)
	took := r.startsElsewhereAfter()
	is.True(took >= longest)
	is.True(took < maxLeaseDuration(longest)+time.Second)
}

// Guards against two runs at once after an order of an earlier leader has extended the lease of the next incarnation.
func TestRunIsKeptForTheLongestLeaseFromTheFirstContactOfALeader(t *testing.T) {
	is := is.New(t)
	const longest = 10 * time.Second
	log, readAt := runAtLeaving(false)
	next := nextLeader(log, 2, readAt, readAt.Add(silentTakeover))
	next.cfg.MaxLease = longest
	is.True(next.answerAs("a", 1, PollReply{Clock: 100_000, Running: []RunningTask{{Task: key("j", 0, 0), Run: 1, Percent: 100}}}))
	next.SetWorker(next.workerInfo("b"), next.now)
	took := next.startsElsewhereAfter()
	is.True(took >= longest)
	is.True(took < maxLeaseDuration(longest)+time.Second)
}

// Guards against two runs at once after the next incarnation has answered a start before it is known.
func TestStartAnsweredByTheNextIncarnationIsNotTakenForARunOfTheOneBefore(t *testing.T) {
	is := is.New(t)
	const longest = 10 * time.Second
	r := newRig()
	r.cfg.MaxLease = longest
	r.addWorkers("a")
	r.submit("j", step(1))
	o := r.place()[0]
	r.now = r.now.Add(300 * time.Millisecond)
	r.StartDone(o, o.Outcome(Started, 150), r.now)
	r.SetWorker(r.workerInfo("b"), r.now)
	is.True(r.startsElsewhereAfter() >= longest)
}

func TestRunStartedByTheNextIncarnationIsAdoptedOnceItIsContacted(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.addWorkers("a")
	r.submit("j", step(1))
	o := r.place()[0]
	r.StartDone(o, o.Outcome(Started, 150), r.now)
	is.True(r.answerAs("a", 2, PollReply{Clock: 300, Running: []RunningTask{{Task: o.Task, Run: o.Run}}}))
	is.Equal(r.task(o.Task).phase, running)
	is.Equal(r.task(o.Task).run, o.Run)
	is.Equal(len(r.place()), 0)
}

func TestClockThatWentBackShowsARestartWhereNoBirthIsStated(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.addWorkers("a")
	token := r.workers["a"].token
	r.answerAs("a", 0, PollReply{Clock: 150})
	is.True(!r.workers["a"].contacted)
	is.True(r.workers["a"].token > token)
}

func TestRunOfAnIncarnationThatHasEndedWaitsForItsOwnLeaseOnly(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.cfg.MaxLease = 10 * time.Second
	r.addWorkers("a")
	r.submit("j", step(1))
	r.placeAndStart()
	r.restart("a", 2)
	r.SetWorker(r.workerInfo("b"), r.now)
	took := r.startsElsewhereAfter()
	is.True(took < maxLeaseDuration(r.cfg.MaxLease)+time.Second)
}

// Guards against a run that a worker which is gone starts late, after it is back, while the task runs elsewhere.
func TestUnansweredStartAtAWorkerThatIsGoneWaitsForLateOrders(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.addWorkers("a")
	r.submit("j", step(1))
	o := r.place()[0]
	r.StartDone(o, StartUnknown, r.now)
	r.RemoveWorker("a", r.now)
	r.SetWorker(r.workerInfo("b"), r.now)
	took := r.startsElsewhereAfter()
	is.True(took >= lateOrderLimit-time.Second)
	is.True(took < lateOrderLimit+time.Second)
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
	r := newRig()
	r.addWorkers("a")
	r.submit("j", step(1))
	r.placeAndStart()
	r.list("a", TaskResult{Number: 1, Task: key("j", 0, 0), Run: 1})
	r.place()
	r.now = r.now.Add(pollPause)
	poll := r.PollOrders(r.now, true)[0]
	is.Equal(poll.Acked, ResultNumber(1))
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
