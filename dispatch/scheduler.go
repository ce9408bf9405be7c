package dispatch

import (
	"log/slog"
	"time"

	"persimmonpick/ledger"
	"persimmonpick/table"
	"persimmonpick/triage"
	"persimmonpick/workload"
)

// Config configures a Scheduler.
type Config struct {
	Epoch           ledger.Epoch
	LeaseTerm       time.Duration // of worker leases
	MaxLease        time.Duration // longest lease that a worker grants; at least LeaseTerm
	StatusRetention time.Duration // how long the status of a final job is kept
	DeferDisplaced  bool          // long-running tasks that lose their room wait behind urgent short jobs
	RemoteFactor    float64       // how many times longer a task runs when its data is in another rack
	// HandoverReadAt returns when a handover record was first read; nil means when it is restored.
	HandoverReadAt func(name string) time.Time
	Log            *slog.Logger
	// MaxRecord is the size limit of a record in the log; 0 means no limit.
	MaxRecord table.Bytes
	// EvacuationDelay is the time within which a request to evacuate an availability zone takes effect; 0 if the
	// deployment states none.
	EvacuationDelay time.Duration
}

// milliunitsPerCoreSecond converts millicores times milliseconds to core-seconds.
const milliunitsPerCoreSecond = 1e6

// tokensPerEpoch is the range of fencing tokens of one leader; an epoch starts at Epoch*tokensPerEpoch.
const tokensPerEpoch = 1 << 32

// Scheduler holds all jobs that are not final and all workers, and decides which task runs on which worker.
//
// It is not safe for concurrent use and makes no calls itself: PollOrders, Decide and the other order functions
// return what to send, and the functions whose names end in Done take the outcomes.
type Scheduler struct {
	cfg            Config
	jobs           map[table.JobID]*job
	finalJobs      map[table.JobID]finalJob
	unloggedFinal  map[table.JobID]bool // final jobs whose state is not in the log yet
	workers        map[table.WorkerID]*worker
	queues         map[workload.QueueID]workload.Queue
	interference   *interferenceModel
	typicalWork    queueWork
	durationRatios durationRatios
	order          *triage.Policy

	reserved       []*task         // reserved since the last call of Flush
	batches        batchNumber     // of the newest batch
	droppedRecords []ledger.Record // records to write that delete those of expired jobs
	corrections    []ledger.Record // of states of jobs that had been cancelled
	// Records that delete the progress of jobs whose final state is in the log.
	finishedProgress []ledger.Record
	suspects         map[*task]bool // tasks with crashes, and some without by now
	crashes          []*crash       // recent
	gone             []goneWorker   // the oldest first
	droppedToken     FenceToken     // newest one of the orders to workers that were dropped
	causeless        []causelessCrash
	crashRates       map[workload.QueueID]*crashRate
	startOutcomes    outcomesByService
	lateStarts       map[*task]bool                 // tasks of which a worker may carry out a start late
	crashedAt        map[table.ServiceID]time.Time  // newest crash of a worker, or when this leader began to look
	isolations       map[table.ServiceID]*isolation // updated by Decide
	decidedAt        time.Time
	ledSince         time.Time

	changedWorkers []*worker        // whose handover record must be written
	removedWorkers []table.WorkerID // whose handover record must be deleted
	handovers      []handover       // to be written for other components, see HandOver
	counts         Counts

	awaitingApproval []*group // left with unplaced tasks by the last call of Decide
	approvalsPending int      // approval requests in flight

	scarcity       float64   // how scarce capacity is, see capacityScarcity
	consolidatedAt time.Time // when latency-critical tasks were last considered for moves

	zones       map[table.ZoneID]*zoneEvacuation
	roomWanted  bool      // the last decision found no room for a task that fits any worker of its service
	zoneMovesAt time.Time // when tasks were last considered for moves out of zones
	startsHeld  bool      // the operator's requests may be unknown

	superseded bool // a worker has refused an order because of the token of another leader

	statusLoggedAt time.Time
	idleCheckedAt  time.Time
	services       map[table.ServiceID]serviceState // at idleCheckedAt
	modelWrittenAt time.Time                        // when the interference model was last written to the log
}

// finalJob is a job that has ended and whose status is kept.
type finalJob struct {
	since time.Time // when it became final, or when its state was in the log
	spec  *workload.Spec
}

// Counts holds the cumulative counts of scheduling events, for metrics.
type Counts struct {
	Starts, Refused, Unknown, Ended, Failed, Stalled, Moved, Lost, Completed, Cancelled int

	Crashes int // workers that crashed under runs that may be the cause
	GivenUp int // tasks that crash their workers
}

// NewScheduler returns a Scheduler without jobs and workers.
func NewScheduler(cfg Config) *Scheduler {
	return &Scheduler{
		cfg: cfg, jobs: map[table.JobID]*job{}, finalJobs: map[table.JobID]finalJob{}, unloggedFinal: map[table.JobID]bool{},
		workers: map[table.WorkerID]*worker{}, queues: map[workload.QueueID]workload.Queue{},
		interference: newInterferenceModel(), typicalWork: queueWork{}, durationRatios: durationRatios{},
		order: triage.New(triage.Config{
			LateFactor: lateFactor, PathMargin: criticalPathMargin, MaxDeferral: longestDeferral, MoveTime: leaveMoveTime,
			DeferReturning: cfg.DeferDisplaced, LeaveLate: cfg.DeferDisplaced, Floor: cfg.DeferDisplaced,
		}),
		suspects: map[*task]bool{}, crashRates: map[workload.QueueID]*crashRate{}, isolations: map[table.ServiceID]*isolation{},
		lateStarts: map[*task]bool{}, zones: map[table.ZoneID]*zoneEvacuation{}, startOutcomes: outcomesByService{}, crashedAt: map[table.ServiceID]time.Time{},
	}
}

// Counts returns the counts since the Scheduler was created.
func (sched *Scheduler) Counts() Counts { return sched.counts }

// SetQueues sets the queues of the newest configuration. The jobs of a queue that was removed keep its last
// policy.
func (sched *Scheduler) SetQueues(qs []workload.Queue) {
	sched.order.SetQueues(qs)
	for _, q := range qs {
		sched.queues[q.ID] = q
	}
	for _, j := range sched.jobs {
		if q, ok := sched.queues[j.queue.ID]; ok {
			j.queue = q
		}
	}
}

// SetEntry applies the log entry of a job: it adds a new job, or cancels a known one.
func (sched *Scheduler) SetEntry(e ledger.Entry, now time.Time) {
	if e.Overruled() {
		sched.correctState(e, now)
	}
	j := sched.jobs[e.ID]
	if j == nil {
		if _, ended := sched.finalJobs[e.ID]; ended || e.Submission == nil {
			return
		}
		if e.Status.State.Final() {
			sched.finalJobs[e.ID] = finalJob{since: now, spec: &e.Submission.Spec}
			return
		}
		if err := e.Submission.Spec.Check(); err != nil {
			sched.cfg.Log.Error("job record is invalid; the job will not run", "Job", e.ID, "Error", err)
			return
		}
		j = sched.accept(e, now)
	}
	if e.Cancelled && !j.state.Final() {
		sched.counts.Cancelled++
		sched.finishJob(j, workload.Cancelled, now)
	}
}

// correctState has the state that callers see of a job written, whose cancellation is in the log before its end.
func (sched *Scheduler) correctState(e ledger.Entry, now time.Time) {
	sched.cfg.Log.Info("job was cancelled before its end was recorded", "Job", e.ID, "State", e.Status.State)
	r, err := ledger.StatusRecord(e.ID, workload.Status{State: e.State(), At: table.UnixMillis(now.UnixMilli())})
	if err != nil {
		sched.cfg.Log.Error("cannot encode job status; record not written", "Job", e.ID, "Error", err)
		return
	}
	sched.corrections = append(sched.corrections, r)
}

func (sched *Scheduler) accept(e ledger.Entry, now time.Time) *job {
	j := newJob(e.ID, e.Submission)
	if q, ok := sched.queues[j.queue.ID]; ok {
		j.queue = q
	}
	j.state = e.Status.State
	sched.jobs[e.ID] = j
	sched.typicalWork.observe(j)
	if e.Progress != nil {
		p, err := ledger.DecodeProgress(e.Progress)
		if err != nil {
			sched.cfg.Log.Error("cannot decode job progress; its tasks start from scratch", "Job", e.ID, "Error", err)
		}
		j.restore(p, func(id table.WorkerID) *worker { return sched.ensureWorker(id, now) })
		j.each(func(t *task) {
			if t.crashes > 0 {
				sched.suspects[t] = true
				if t.pauses { // the clock of the earlier leader may be ahead, and this one may be set
					t.notBefore = now.Add(min(t.notBefore.Sub(now), unknownPause(t.crashes)))
				}
			}
			if t.phase.held() {
				t.confirmedAt = now // at the latest
			}
			if id := t.late.worker; id != "" {
				sched.noteLateStart(t, id, sched.inheritedStartsEnd(), now)
			}
			t.idleUnknown = true
		})
	}
	if j.completed() && !j.state.Final() {
		sched.finishJob(j, workload.Completed, now) // an earlier version did not count what the leader before had finished
	}
	if j.spec.Repeat == 0 {
		j.openOccurrence(0)
	}
	return j
}

// ensureWorker returns the record of a worker that the log or the worker list names, and creates it if there is
// none.
func (sched *Scheduler) ensureWorker(id table.WorkerID, now time.Time) *worker {
	w := sched.workers[id]
	if w == nil {
		w = newWorker(WorkerInfo{ID: id}, sched.firstToken())
		w.leaseUntil, w.knownSince = sched.inheritedLeaseEnd(now), sched.ledSince
		sched.outdoDropped(w)
		sched.workers[id] = w
	}
	return w
}

func (sched *Scheduler) firstToken() FenceToken { return FenceToken(sched.cfg.Epoch) * tokensPerEpoch }

// SetWorker applies an entry of the worker list.
func (sched *Scheduler) SetWorker(info WorkerInfo, now time.Time) {
	w := sched.ensureWorker(info.ID, now)
	listed, uncertain := info.Incarnation, false
	if w.info.Incarnation != 0 && info.Incarnation < w.info.Incarnation {
		w.pollUrgently(now) // the entry is older, or the time of day was set back
		if w.listed && (w.missedPolls == 0 || info.Address == w.info.Address) {
			return
		}
		uncertain = info.Address != w.info.Address || w.addressUncertain
		info.Incarnation, listed = w.info.Incarnation, 0
	}
	w.addressUncertain = uncertain
	switch {
	case info.Incarnation <= w.info.Incarnation:
	case w.contacted:
		sched.workerRestarted(w, info.Incarnation, now)
	case w.info.Incarnation != 0:
		sched.workerCrashed(w, crashRestarted, now) // after the last leader heard it
		w.forgetAges()
	}
	if info.Incarnation > w.info.Incarnation && !w.contacted {
		w.pollAnew(now)
		w.restarted = w.restarted || w.info.Incarnation != 0
		if w.leaseBound.incarnation != 0 {
			w.leaseUntil = sched.inheritedLeaseEnd(now) // the bound is that of an earlier incarnation
		}
	}
	// An incarnation that drains is never ready again, and its lease is not extended any more.
	info.Draining = info.Draining || w.leaseBound.covers(info.Incarnation)
	if info.Draining && (!w.info.Draining || listed != w.listedIncarnation) {
		w.leavesAt, w.leaveSeen = now.Add(info.LeavesIn), w.listed
		sched.cfg.Log.Info("worker is draining", "Worker", info.ID, "LeavesIn", info.LeavesIn, "Tasks", len(w.tasks))
	} else if at := now.Add(info.LeavesIn); info.Draining && info.LeavesIn > 0 && at.Before(w.leavesAt) {
		w.leavesAt = at // the first entry was read late
	}
	if !w.listed {
		sched.cfg.Log.Info("worker listed", "Worker", info.ID, "Labels", info.Labels, "CPU", info.Capacity.CPU, "Memory", info.Capacity.Memory, "Rack", info.Rack, "Zone", info.Zone)
	}
	if !w.listed || info.Address != w.info.Address {
		sched.pollSilentAt(info.Address, now)
	}
	w.info, w.listed, w.missingSince = info, true, time.Time{}
	sched.markZone(w)
	if w.crash == nil {
		sched.restoreGone(w, now)
	}
	w.listedIncarnation = listed
	sched.recordWorkerChange(w)
}

// RemoveWorker marks a worker as missing from the worker list.
func (sched *Scheduler) RemoveWorker(id table.WorkerID, now time.Time) {
	w := sched.workers[id]
	if w == nil || !w.missingSince.IsZero() {
		return
	}
	w.missingSince = now
	sched.cfg.Log.Info("worker removed from the list", "Worker", id, "Tasks", len(w.tasks))
}

// pollSilentAt polls the silent workers with the given address, since the worker that is there now tells that they
// have ended. It may crash before their next polls.
func (sched *Scheduler) pollSilentAt(address string, now time.Time) {
	for _, w := range sched.workers {
		if w.missedPolls > 0 && w.info.Address == address {
			w.pollUrgently(now)
		}
	}
}

func (w *worker) pollUrgently(now time.Time) {
	w.urgent = true
	w.nextPollAt = now
}

// loseRun requeues a task whose run was lost: it can no longer be running, and no result was reported.
func (sched *Scheduler) loseRun(t *task, now time.Time, why string) {
	sched.counts.Lost++
	w, contacted := t.worker, time.Time{}
	if w.contacted {
		contacted = w.contactedAt
	}
	sched.cfg.Log.Info("run lost", "Task", t.key.String(), "Run", t.run, "Worker", w.info.ID, "Why", why, "Born", w.info.Incarnation, "Token", t.token,
		"Ordered", table.FormatAgeAt(now, t.orderedAt), "Contacted", table.FormatAgeAt(now, contacted), "LeaseSent", table.FormatAgeAt(now, w.leaseSentAt))
	sched.requeue(t, now, 0)
}

// requeue takes t off its worker and makes it wait for the given time before it is placed again, longer if its worker
// has crashed repeatedly.
func (sched *Scheduler) requeue(t *task, now time.Time, wait time.Duration) {
	if t.crashCounted {
		wait += sched.pauseAfterCrash(t)
	}
	t.worker.release(t)
	if t.group.step.LongRunning {
		t.displacedAt = now
	}
	t.notBefore = now.Add(wait)
	t.group.job.dirty = true
}

// requeueUnbegun is requeue for a task whose start was not sent or was refused.
func (sched *Scheduler) requeueUnbegun(t *task, now time.Time) {
	sched.requeue(t, now, refusedBackoff)
	t.notBegun = true
}

// finishJob makes a job final and stops its running tasks.
func (sched *Scheduler) finishJob(j *job, s workload.State, now time.Time) {
	j.state, j.statusChanged, j.dirty = s, true, true
	sched.finalJobs[j.id], sched.unloggedFinal[j.id] = finalJob{since: now, spec: j.spec}, true
	sched.recordJobEnd(j, s, now)
	c := j.summary(now)
	sched.cfg.Log.Info("job final", "Job", j.id, "Queue", j.queue.ID, "State", s, "After", now.Sub(j.submitted).Round(time.Millisecond),
		"Objective", sched.objective(j).Round(time.Millisecond), "Waited", c.waited.Round(time.Millisecond),
		"Tasks", c.tasks, "Work", int(j.work/milliunitsPerCoreSecond), "Failures", c.failures, "Moves", c.moves, "Reruns", c.reruns)
	j.each(func(t *task) {
		switch t.phase {
		case reserved:
			t.worker.release(t)
		case starting, running:
			t.stopReason = "job final"
		}
	})
}

// Tick bounds the leases of leaving workers, removes workers that have been missing for missingGrace and whose lease
// has ended, removes final jobs after their retention, requeues the runs that were lost with a lease, and opens the
// occurrences that are due.
func (sched *Scheduler) Tick(now time.Time) {
	for id, w := range sched.workers {
		sched.boundLease(w, now)
		if w.listed && !w.missingSince.IsZero() && now.Sub(w.missingSince) > missingGrace {
			w.listed = false
		}
		if w.missingSince.IsZero() || now.Before(w.leaseUntil) || now.Sub(w.missingSince) < missingGrace {
			continue
		}
		sched.workerCrashed(w, crashGone, now)
		for _, t := range w.tasks {
			if !w.restartUnresolved() || !sched.heldForLateOrders(t, now) {
				sched.loseRun(t, now, crashGone)
			}
		}
		if len(w.tasks) == 0 && w.pollsInFlight == 0 && now.Sub(w.heardAt) > maxPollAge {
			delete(sched.workers, id)
			sched.keepGone(w, now)
			sched.removedWorkers = append(sched.removedWorkers, id)
		}
	}
	for _, w := range sched.workers {
		// The lease of an unreachable worker has ended, so nothing runs there, whether it is listed or not.
		if (w.missedPolls > 0 || w.info.Address == "") && now.After(w.leaseUntil) {
			sched.workerCrashed(w, crashSilent, now)
			for _, t := range w.tasks {
				if !sched.heldForLateOrders(t, now) {
					sched.loseRun(t, now, crashSilent)
				}
			}
		}
	}
	for id, f := range sched.finalJobs {
		if !sched.unloggedFinal[id] && now.Sub(f.since) > sched.cfg.StatusRetention {
			delete(sched.finalJobs, id)
			sched.droppedRecords = append(sched.droppedRecords, ledger.DropJob(id)...)
		}
	}
	for _, j := range sched.jobs {
		sched.openDueOccurrences(j, now)
	}
	sched.forgetCrashes(now)
	sched.checkIdle(now)
	sched.logStatus(now)
}

// openDueOccurrences creates the tasks of the occurrences that are due.
func (sched *Scheduler) openDueOccurrences(j *job, now time.Time) {
	for j.spec.Repeat > 0 && !j.state.Final() && j.nextOccurrence < j.spec.Repeat && j.mayOpen() && !now.Before(j.spec.Due(j.nextOccurrence)) {
		sched.cfg.Log.Info("occurrence due", "Job", j.id, "Occurrence", j.nextOccurrence)
		j.openOccurrence(j.nextOccurrence)
	}
}
