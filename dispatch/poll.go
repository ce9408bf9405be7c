package dispatch

import (
	"time"

	"persimmonpick/fault"
	"persimmonpick/workload"
)

// PollOrders returns the polls that are due; extend tells whether this host may extend leases.
func (sched *Scheduler) PollOrders(now time.Time, extend bool) []PollOrder {
	var orders []PollOrder
	for _, w := range sched.workers {
		if !w.settleDueAt.IsZero() && !now.Before(w.settleDueAt) {
			w.settleDueAt = time.Time{}
			w.pollUrgently(now)
		}
		if !w.listed && len(w.tasks) == 0 || w.info.Address == "" || now.Before(w.nextPollAt) {
			continue
		}
		// A poll that waits for runs to end must not hold up one that resolves an unknown outcome.
		if w.pollsInFlight > 1 || w.pollsInFlight == 1 && !w.urgent {
			continue
		}
		orders = append(orders, sched.pollOrder(w, now, extend))
	}
	return orders
}

func (sched *Scheduler) pollOrder(w *worker, now time.Time, extend bool) PollOrder {
	o := PollOrder{Worker: w.info.ID, Address: w.info.Address, Token: w.token}
	w.acknowledgeIn(&o, now)
	// Whether a silent worker received an extension is unknown, so another request would delay the time from which
	// its tasks can safely start elsewhere.
	if extend && w.missedPolls == 0 {
		o.LeaseUntil = w.leaseUntilFor(now, sched.cfg.LeaseTerm)
	}
	switch {
	case !w.contacted || w.urgent || w.missedPolls > 0:
	case len(w.tasks) == 0:
		o.Wait = pollWaitIdle
	case w.criticalTasks > 0 && w.bestEffortCPU > 0:
		o.Wait = pollWaitMixed
	default:
		o.Wait = pollWaitRunning
	}
	o.clock = w.clockRange(now, o.Wait+pollGrace)
	if w.firstPollAt.IsZero() {
		w.firstPollAt = now
	}
	w.urgent = false
	w.pollsInFlight++
	w.nextPollAt = now.Add(pollPause)
	return o
}

// PollDone applies the outcome of a poll that was sent at the given time.
func (sched *Scheduler) PollDone(o PollOrder, sent time.Time, l PollReply, err error, now time.Time) {
	w := sched.workers[o.Worker]
	if w == nil {
		return
	}
	w.pollsInFlight--
	if err != nil {
		sched.checkFence(w, o.Token, fault.Of(err) == fault.Stale)
		if fault.Of(err) == fault.Stale && o.Token < w.token {
			w.pollUrgently(now) // a newer order of this leader has overtaken it
			return
		}
		if fault.Of(err) == fault.NotCurrent && sent.Before(w.pollSentAt) {
			return // by an earlier incarnation, or the present one has answered since
		}
		sched.pollFailed(w, o, err, now)
		return
	}
	if w.missedPolls > 0 {
		sched.cfg.Log.Info("worker answers again", "Worker", w.info.ID, "Calls", w.missedPolls)
	}
	if o.Acked > 0 && o.Token == w.token {
		w.ackSent, w.acknowledged = false, o.Acked
	}
	if sent.Before(w.pollSentAt) {
		return // older than a reply that was applied
	}
	if w.isAnother(l.Incarnation) {
		if sent.Before(w.heardAt) {
			w.pollUrgently(now) // either may be the later one
			return
		}
		if w.contacted {
			sched.workerRestarted(w, l.Incarnation, now)
			return
		}
	}
	if l.Incarnation == 0 && w.contacted && o.clock.Excludes(l.Clock) {
		sched.cfg.Log.Info("worker's clock is of another incarnation", "Worker", w.info.ID, "Clock", l.Clock, "Least", o.clock.Least, "Most", o.clock.Most)
		sched.contactAnew(w, now)
		return
	}
	if o.Token < w.token && !w.contacted {
		w.missedPolls, w.retries = 0, 0
		return // only a reply under the newer token shows what has become of earlier orders
	}
	w.missedPolls, w.retries, w.heardAt, w.pollSentAt = 0, 0, now, sent
	w.answeredToken = max(w.answeredToken, o.Token)
	if !w.contacted {
		sched.firstContact(w, l, now)
	}
	w.clock, w.clockAt = l.Clock, now
	w.answersAgain()
	if !w.urgent {
		w.nextPollAt = now.Add(max(pollPause, pollPausePerWorker*time.Duration(len(sched.workers))))
	}
	for _, e := range l.Ended {
		if e.Number > w.appliedResult {
			w.appliedResult = e.Number
			if t := sched.task(e.Task); w.lostBefore(t, e, o, l, sent) {
				sched.loseRun(t, now, "another run is done")
			}
			sched.applyResult(w, e, now)
			sched.awaitRecord(w, e)
		}
	}
	sched.reconcile(w, o, sent, l, now)
	sched.updateThrottles(w, now)
}

func (sched *Scheduler) pollFailed(w *worker, o PollOrder, err error, now time.Time) {
	if w.missedPolls == 0 {
		w.silentAt = now
		sched.cfg.Log.Info("worker does not answer", "Worker", w.info.ID, "Kind", fault.Of(err), "Error", err, "Tasks", len(w.tasks))
	}
	if fault.Of(err) == fault.NotCurrent && o.Address == w.info.Address && !w.addressUncertain {
		sched.workerReplaced(w, now)
	}
	if o.Acked > 0 && o.Token == w.token {
		w.raiseToken() // it may be carried out late
	}
	w.missedPolls++
	w.retries++
	w.nextPollAt = now.Add(min(pollRetryMaxDelay, pollRetryDelay<<min(w.retries-1, 4)))
	w.urgent = true
}

// workerReplaced drops all runs on w, since another incarnation answers at its address.
func (sched *Scheduler) workerReplaced(w *worker, now time.Time) {
	sched.cfg.Log.Info("another incarnation answers at the worker's address", "Worker", w.info.ID, "Tasks", len(w.tasks))
	if w.missingSince.IsZero() {
		w.missingSince = now
	}
	sched.workerCrashed(w, crashReplaced, now)
	w.listed, w.leaseUntil = false, now
	sched.forgetLateStarts(w)
	for _, t := range w.tasks {
		if t.phase != reserved {
			sched.loseRun(t, now, crashReplaced)
		}
	}
}

// resultPageSize is the maximum number of ended runs that a worker lists in one poll reply.
const resultPageSize = 500

// reconcile compares the runs that are assigned to w with those that w lists.
func (sched *Scheduler) reconcile(w *worker, o PollOrder, sent time.Time, l PollReply, now time.Time) {
	running := make(map[workload.TaskKey]RunningTask, len(l.Running))
	for _, r := range l.Running {
		running[r.Task] = r
		sched.observe(w, r, sent, now)
	}
	sched.chargeStrays(w, l.Running)
	if len(l.Ended) >= resultPageSize {
		return // more results follow; until then no run counts as lost
	}
	for key, t := range w.tasks {
		r, ok := running[key]
		if ok && r.Run == t.run || t.phase == reserved {
			continue
		}
		if ok {
			continue // another run of it is at work here, which is stopped first
		}
		if t.startSettledBy(o.Token) {
			sched.startUnanswered(t, now)
			sched.cfg.Log.Info("unanswered start did not take effect", "Task", key.String(), "Run", t.run, "Worker", w.info.ID)
			t.notBegun = !t.outdated && t.orderedTo == w.info.Incarnation
			sched.requeue(t, now, 0)
			sched.breakGang(t, "member not started")
			continue
		}
		if t.phase == starting || t.startResolvedAt.After(sent) {
			continue
		}
		sched.noteStartOfEarlierLeader(t, w, now)
		sched.loseRun(t, now, "not listed by its worker")
	}
}

// observe applies a run that w lists as running.
func (sched *Scheduler) observe(w *worker, r RunningTask, sent, now time.Time) {
	t := sched.task(r.Task)
	if t == nil || t.worker == nil && t.group.job.state.Final() {
		sched.stray(w, r, "job unknown or final")
		return
	}
	if t.worker == w && t.run == r.Run && t.phase != reserved {
		sched.measure(t, r, now)
		return
	}
	// A reply to a poll that was sent before the outcome of the start order was known may not cover that order.
	if t.phase == done || t.run > r.Run || t.worker != nil {
		if sent.After(t.startResolvedAt) {
			sched.stray(w, r, "not assigned to this worker")
			if t.phase == reserved {
				sched.requeue(t, now, 0)
			}
			// The next report tells whether that run has ended.
			t.notBefore = latest(t.notBefore, now.Add(pollWaitIdle+pollGrace))
		}
		return
	}
	sched.cfg.Log.Info("run adopted", "Task", r.Task.String(), "Run", r.Run, "Worker", w.info.ID)
	t.run = r.Run
	w.assign(t, running)
	t.startResolvedAt, t.wasRunning = now, true
	t.group.job.dirty = true
	sched.measure(t, r, now)
}

// measure applies the progress and usage of a run.
func (sched *Scheduler) measure(t *task, r RunningTask, now time.Time) {
	if t.phase == starting {
		sched.startUnanswered(t, now)
		sched.runStarted(t, now)
	}
	if t.startedAt.IsZero() {
		t.startedAt, t.progressedAt = now, now
		t.shareUnknown = t.group.step.BestEffort
	}
	t.recordProgress(r, now)
	sched.checkFurther(t, now)
	if r.Checkpoint != "" && r.Checkpoint != t.checkpoint {
		t.checkpoint = r.Checkpoint // written with the next record of the job
	}
	t.tailLatency, t.cpuUsage = r.Tail, r.CPU
	sched.runListed(t.worker, t, r)
	if t.group.step.LongRunning && r.Percent == fullPercent && now.Sub(t.startedAt) >= provenWork {
		sched.endQuarantine(t.worker, t, now)
	}
}

// runStarted records that the run of t has started.
func (sched *Scheduler) runStarted(t *task, now time.Time) {
	t.phase, t.startUnknown, t.startResolvedAt = running, false, now
	t.startedAt, t.progressedAt, t.percent = now, now, 0
	t.wasRunning, t.refusedBy = true, ""
	t.starved, t.idleSince = false, time.Time{}
	j := t.group.job
	if j.state == workload.Queued {
		j.state, j.statusChanged, j.dirty = workload.Running, true, true
		sched.cfg.Log.Info("job started", "Job", j.id, "Worker", t.worker.info.ID, "After", now.Sub(j.submitted).Round(time.Millisecond))
	}
	if j.state.Final() {
		t.stopReason = "job final"
	}
}

// task returns the task with the given key, or nil if its job is unknown or final.
func (sched *Scheduler) task(k workload.TaskKey) *task {
	j := sched.jobs[k.Job]
	if j == nil {
		return nil
	}
	gs := j.groups[k.Occurrence]
	if k.Step < 0 || k.Step >= len(gs) || k.Index < 0 || k.Index >= len(gs[k.Step].tasks) {
		return nil
	}
	return gs[k.Step].tasks[k.Index]
}
