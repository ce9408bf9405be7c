package dispatch

import (
	"log/slog"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"persimmonpick/fault"
	"persimmonpick/ledger"
	"persimmonpick/table"
	"persimmonpick/workload"
)

// leavesIn is longer than the lease, so that the bound on the lease of a leaving worker decides.
const leavesIn = 7 * time.Second

// drain lists a worker as leaving.
func (r *rig) drain(id string) {
	info := r.workerInfo(id)
	info.Draining, info.LeavesIn = true, leavesIn
	r.SetWorker(info, r.now)
}

// flushRecords writes all changes and adds their records to log, newest first.
func (r *rig) flushRecords(log *[]ledger.Record) {
	r.Tick(r.now)
	if f := r.Flush(r.now); f != nil {
		*log = append(slices.Clone(f.records), *log...)
		r.Flushed(f, r.now, true)
	}
}

// nextLeader returns a rig that has restored the records of log, which it read at the given time.
func nextLeader(log []ledger.Record, epoch ledger.Epoch, readAt, now time.Time) *rig {
	next := newRig()
	next.cfg.Epoch, next.now = epoch, now
	next.cfg.HandoverReadAt = func(string) time.Time { return readAt }
	handover := map[string][]byte{}
	var progress []byte
	for _, rec := range slices.Backward(log) {
		switch rec.Key[0] {
		case 'N':
			handover[rec.Key[1:]] = rec.Value
		case 'P':
			progress = rec.Value
		}
	}
	next.RestoreHandover(handover, now)
	e := entryOf(next, "j")
	e.Submission.Spec.Steps = []workload.Step{longRunningStep()}
	e.Progress = progress
	next.SetEntry(e, now)
	return next
}

func longRunningStep() workload.Step {
	s := step(1)
	s.LongRunning = true
	return s
}

// runAtLeaving returns the records of a leader that runs a long-running task on worker a, which is then listed as
// leaving if leaves is set, and the time of the last record.
func runAtLeaving(leaves bool) ([]ledger.Record, time.Time) {
	var log []ledger.Record
	r := newRig()
	r.addWorkers("a")
	r.submit("j", longRunningStep())
	r.Decide(r.now)
	f := r.Flush(r.now)
	log = append(log, f.records...)
	for _, o := range r.Flushed(f, r.now, true) {
		r.StartDone(o, Started, r.now)
	}
	r.answerPolls(nil)
	if leaves {
		r.drain("a")
	}
	r.flushRecords(&log)
	return log, r.now
}

// restartAfter returns how long r takes to start a task anew while worker a does not answer and b does.
func restartAfter(r *rig) time.Duration {
	began := r.now
	r.SetWorker(r.workerInfo("b"), r.now)
	for r.now.Sub(began) < time.Minute {
		r.now = r.now.Add(100 * time.Millisecond)
		for _, o := range r.PollOrders(r.now, true) {
			if o.Worker == "a" {
				r.PollDone(o, r.now, PollReply{}, fault.New(fault.OutcomeUnknown, "silent"), r.now)
				continue
			}
			r.PollDone(o, r.now, PollReply{Incarnation: 1, Clock: WorkerClock(r.now.UnixMilli())}, nil, r.now)
		}
		if len(r.placeAndStart()) > 0 {
			return r.now.Sub(began)
		}
	}
	return time.Minute
}

const silentTakeover = 8 * time.Second // from the last record of a leader until the next one leads

func TestNextLeaderDoesNotWaitForALeaseThatEndedAsTheWorkerLeft(t *testing.T) {
	is := is.New(t)
	log, readAt := runAtLeaving(true)
	next := nextLeader(log, 2, readAt, readAt.Add(silentTakeover))
	is.True(restartAfter(next) < time.Second)
}

func TestNextLeaderWaitsForTheBoundOnTheLeaseOfALeavingWorker(t *testing.T) {
	is := is.New(t)
	log, readAt := runAtLeaving(true)
	next := nextLeader(log, 2, readAt, readAt.Add(2*time.Second))
	took := restartAfter(next) + 2*time.Second
	is.True(took >= maxLeaseDuration(leavesIn)) // the worker may be cut off and run on until then
	is.True(took < maxLeaseDuration(leavesIn)+time.Second)
}

// A snapshot that was loaded at the takeover does not tell how old the record is.
func TestNextLeaderCountsTheBoundFromItsFirstReadOfTheRecord(t *testing.T) {
	is := is.New(t)
	log, written := runAtLeaving(true)
	now := written.Add(silentTakeover)
	is.True(restartAfter(nextLeader(log, 2, now, now)) >= maxLeaseDuration(leavesIn))
}

func TestNextLeaderWaitsForTheLeaseOfAWorkerThatWasNotToLeave(t *testing.T) {
	is := is.New(t)
	log, readAt := runAtLeaving(false)
	next := nextLeader(log, 2, readAt, readAt.Add(silentTakeover))
	is.True(restartAfter(next) >= supersededExtension+maxLeaseDuration(testTerm))
}

func TestNextLeaderWaitsForTheLeaseOfAnIncarnationAfterTheOneThatLeft(t *testing.T) {
	is := is.New(t)
	log, readAt := runAtLeaving(true)
	next := nextLeader(log, 2, readAt, readAt.Add(silentTakeover))
	info := next.workerInfo("a")
	info.Incarnation = 2
	next.SetWorker(info, next.now)
	is.True(restartAfter(next) >= supersededExtension+maxLeaseDuration(testTerm))
}

func TestNextLeaderWaitsForTheLeaseOfAnIncarnationThatAPollHasShown(t *testing.T) {
	is := is.New(t)
	log, readAt := runAtLeaving(true)
	next := nextLeader(log, 2, readAt, readAt.Add(silentTakeover))
	o := next.PollOrders(next.now, false)[0]
	reply := PollReply{Incarnation: 2, Clock: 100, Running: []RunningTask{{Task: key("j", 0, 0), Run: 1, Percent: 100}}}
	next.PollDone(o, next.now, reply, nil, next.now)
	is.True(next.workers["a"].leaseUntil.Sub(next.now) >= maxLeaseDuration(testTerm))
}

// lastLease polls worker a until the given time and returns the highest lease that was requested.
func lastLease(r *rig, until time.Time) WorkerClock {
	var last WorkerClock
	for r.now.Before(until) {
		r.Tick(r.now)
		for _, o := range r.answerPolls(nil) {
			if o.Worker == "a" {
				last = max(last, o.LeaseUntil)
			}
		}
	}
	return last
}

func TestNoLeaderExtendsALeaseBeyondItsBound(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.addWorkers("a")
	r.submit("j", longRunningStep())
	r.placeAndStart()
	r.answerPolls(nil)
	r.drain("a")
	bound := WorkerClock(r.now.Add(leavesIn).UnixMilli())
	var log []ledger.Record
	r.flushRecords(&log)
	is.True(lastLease(r, r.now.Add(leavesIn+time.Second)) <= bound)
	is.Equal(lastLease(r, r.now.Add(time.Second)), WorkerClock(0)) // no lease that has ended is asked for

	log, readAt := runAtLeaving(true)
	bound = WorkerClock(readAt.Add(leavesIn).UnixMilli())
	next := nextLeader(log, 2, readAt, readAt.Add(time.Second))
	next.drain("a") // the list may still give the whole time
	is.True(lastLease(next, next.now.Add(leavesIn+time.Second)) <= bound)
	next.SetWorker(next.workerInfo("a"), next.now) // as an old entry that says ready
	is.True(!next.workers["a"].usable(next.now))

	var third []ledger.Record
	info := next.workerInfo("a")
	info.Draining, info.LeavesIn, info.Address = true, leavesIn, "elsewhere:1"
	next.SetWorker(info, next.now)
	next.flushRecords(&third)
	after := nextLeader(third, 3, next.now, next.now)
	is.Equal(after.workers["a"].leaseBound, next.workers["a"].leaseBound) // a record that changes keeps it
}

func TestLeaderDoesNotWaitForTheLeaseOfAWorkerThatHasLeft(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.addWorkers("a")
	r.submit("j", longRunningStep())
	r.placeAndStart()
	r.answerPolls(nil)
	r.drain("a")
	drained := r.now
	lastLease(r, r.now.Add(leavesIn)) // it answers until it leaves
	r.RemoveWorker("a", r.now)
	restartAfter(r)
	is.True(r.now.Sub(drained) < maxLeaseDuration(leavesIn)+time.Second)
}

// The entry of the worker list that says that a worker leaves may be of an earlier incarnation.
func TestRestartedWorkerIsNotTakenForLeaving(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.addWorkers("a")
	info := r.workerInfo("a")
	info.Draining, info.LeavesIn = true, leavesIn
	r.SetWorker(info, r.now)
	poll := func() {
		r.now = r.now.Add(pollPause)
		for _, o := range r.PollOrders(r.now, true) {
			r.PollDone(o, r.now, PollReply{Incarnation: 2, Clock: 100}, nil, r.now)
		}
		r.Tick(r.now)
	}
	poll() // shows the restart
	poll()
	info = r.workerInfo("a")
	info.Incarnation = 2
	r.SetWorker(info, r.now)
	poll()
	is.True(r.workers["a"].usable(r.now))
	is.True(!r.workers["a"].leaseBound.covers(2))
}

func TestDispatcherKnowsWhenHandoverRecordsWereRead(t *testing.T) {
	is := is.New(t)
	d := NewDispatcher(DispatcherConfig{Writer: &ledger.Writer{}, View: ledger.NewView(slog.New(slog.DiscardHandler))})
	is.True(d.scheduler.cfg.HandoverReadAt != nil)
}

// Hosts of the version before and after read each other's records while they are replaced.
func TestHandoverRecordsOfWorkersAreReadByOtherVersions(t *testing.T) {
	is := is.New(t)
	type earlierHandover struct {
		Service     table.ServiceID  `cbor:"1,keyasint"`
		Address     string           `cbor:"2,keyasint"`
		Rack        table.RackID     `cbor:"3,keyasint,omitempty"`
		Labels      []string         `cbor:"4,keyasint,omitempty"`
		Capacity    table.Resources  `cbor:"5,keyasint"`
		Incarnation table.UnixMillis `cbor:"6,keyasint,omitempty"`
		Zone        table.ZoneID     `cbor:"7,keyasint,omitempty"`
	}
	log, _ := runAtLeaving(true)
	var n earlierHandover
	for _, rec := range log {
		if rec.Key == "N"+handoverWorkerPrefix+"a" {
			is.NoErr(cbor.Unmarshal(rec.Value, &n))
		}
	}
	is.Equal(n.Address, "a:1")
	data, err := cbor.Marshal(n)
	is.NoErr(err)
	r := newRig()
	r.RestoreHandover(map[string][]byte{handoverWorkerPrefix + "a": data}, r.now)
	is.Equal(r.workers["a"].info.Address, "a:1")
	is.Equal(r.workers["a"].leaseUntil, r.now.Add(supersededExtension+maxLeaseDuration(testTerm)))
}

func TestNextLeaderCountsNoCrashOfAWorkerThatLeftByPlan(t *testing.T) {
	is := is.New(t)
	log, readAt := runAtLeaving(true)
	next := nextLeader(log, 2, readAt, readAt.Add(silentTakeover))
	is.True(restartAfter(next) < time.Second)
	is.Equal(next.task(key("j", 0, 0)).crashes, 0)
}

func TestLeavingTimeIsThatOfTheIncarnation(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.addWorkers("a")
	r.drain("a")
	r.now = r.now.Add(leavesIn)
	info := r.workerInfo("a")
	info.Draining, info.LeavesIn, info.Incarnation = true, leavesIn, 2
	r.SetWorker(info, r.now)
	is.Equal(r.workers["a"].leavesAt, r.now.Add(leavesIn))
}
