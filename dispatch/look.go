package dispatch

import (
	"time"

	"persimmonpick/fault"
	"persimmonpick/workload"
)

// PollOrders returns the looks that are due; extend says whether this host may extend leases.
func (b *Scheduler) PollOrders(now time.Time, extend bool) []PollOrder {
	var orders []PollOrder
	for _, w := range b.workers {
		if !w.listed && len(w.tasks) == 0 || w.info.Address == "" || now.Before(w.nextPollAt) {
			continue
		}
		// A look that waits for an ending must not hold up one that resolves something.
		if w.pollsInFlight > 1 || w.pollsInFlight == 1 && !w.urgent {
			continue
		}
		orders = append(orders, b.pollOrder(w, now, extend))
	}
	return orders
}

func (b *Scheduler) pollOrder(w *worker, now time.Time, extend bool) PollOrder {
	o := PollOrder{Worker: w.info.ID, Address: w.info.Address, Token: w.token, Acked: w.loggedResult}
	// Whether a silent worker got an extension is unknown, so asking for more would put off the time when its tasks are safe to start elsewhere.
	if extend && w.missedPolls == 0 {
		o.Until = w.leaseUntilFor(now, b.cfg.Term)
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
	w.urgent = false
	w.pollsInFlight++
	w.nextPollAt = now.Add(pollPause)
	return o
}

// PollDone takes the outcome of a look that was sent at the given time.
func (b *Scheduler) PollDone(o PollOrder, sent time.Time, l PollReply, err error, now time.Time) {
	w := b.workers[o.Worker]
	if w == nil {
		return
	}
	w.pollsInFlight--
	if err != nil {
		b.checkFence(w, o.Token, fault.Of(err) == fault.Stale)
		b.pollFailed(w, err, now)
		return
	}
	if w.missedPolls > 0 {
		b.cfg.Log.Info("worker answers again", "Worker", w.info.ID, "Calls", w.missedPolls)
	}
	if l.Born != 0 && l.Born < w.info.Born || sent.Before(w.pollSentAt) {
		return // overtaken by a newer answer or life
	}
	if l.Born > w.info.Born && w.contacted {
		b.workerRestarted(w, l.Born, now)
		return
	}
	if o.Token < w.token {
		w.missedPolls = 0
		return // the look that settles the unanswered orders is on its way
	}
	w.missedPolls, w.heard, w.pollSentAt = 0, now, sent
	w.clock, w.clockAt = l.Clock, now
	if !w.contacted {
		// Earlier leaders cannot extend the lease any more.
		if bound := now.Add(maxLeaseDuration(b.cfg.Term)); bound.Before(w.leaseUntil) {
			w.leaseUntil = bound
		}
		w.contacted = true
		w.info.Born = max(w.info.Born, l.Born)
	}
	w.nextPollAt = now.Add(max(pollPause, pollPausePerWorker*time.Duration(len(b.workers))))
	for _, e := range l.Ended {
		if e.Number > w.appliedResult {
			w.appliedResult = e.Number
			b.applyResult(w, e, now)
		}
	}
	if w.appliedResult > w.loggedResult {
		b.acks[w] = w.appliedResult
	}
	b.reconcile(w, o, sent, l, now)
	b.updateThrottles(w, now)
}

func (b *Scheduler) pollFailed(w *worker, err error, now time.Time) {
	if w.missedPolls == 0 {
		b.cfg.Log.Info("worker does not answer", "Worker", w.info.ID, "Kind", fault.Of(err), "Error", err, "Tasks", len(w.tasks))
	}
	if fault.Of(err) == fault.NotCurrent {
		b.workerReplaced(w, now)
	}
	w.missedPolls++
	w.nextPollAt = now.Add(min(pollRetryMaxDelay, pollRetryDelay<<min(w.missedPolls-1, 4)))
	w.urgent = true
}

// workerReplaced drops all that ran on w, since another life answers at its address.
func (b *Scheduler) workerReplaced(w *worker, now time.Time) {
	b.cfg.Log.Info("another worker answers at the address", "Worker", w.info.ID, "Tasks", len(w.tasks))
	if w.missingSince.IsZero() {
		w.missingSince = now
	}
	w.listed, w.leaseUntil = false, now
	for _, t := range w.tasks {
		if t.phase != reserved {
			b.loseRun(t, now, "worker replaced")
		}
	}
}

// resultPageSize is the length at which workers cut the list of ended runs.
const resultPageSize = 500

// reconcile compares what the board believes to run on w with what w listed.
func (b *Scheduler) reconcile(w *worker, o PollOrder, sent time.Time, l PollReply, now time.Time) {
	running := make(map[workload.TaskKey]RunningTask, len(l.Running))
	for _, r := range l.Running {
		running[r.Task] = r
		b.observe(w, r, sent, now)
	}
	if len(l.Ended) >= resultPageSize {
		return // more endings are to come before anything counts as lost
	}
	for key, t := range w.tasks {
		r, ok := running[key]
		if ok && r.Run == t.run || t.phase == reserved {
			continue
		}
		if t.phase == starting && (t.startUnknown && o.Token > t.token) {
			b.cfg.Log.Info("unanswered start did not take effect", "Task", key.String(), "Run", t.run, "Worker", w.info.ID)
			b.requeue(t, now, 0)
			b.breakGang(t, "member not started")
			continue
		}
		if t.phase == starting || t.startResolvedAt.After(sent) {
			continue
		}
		b.loseRun(t, now, "not listed by its worker")
	}
}

// observe takes in a run that w lists as running.
func (b *Scheduler) observe(w *worker, r RunningTask, sent, now time.Time) {
	t := b.task(r.Task)
	if t == nil {
		b.stray(w, r, "job unknown or final")
		return
	}
	if t.worker == w && t.run == r.Run && t.phase != reserved {
		b.measure(t, r, now)
		return
	}
	// A list that was made before the order was answered says nothing about it.
	if t.phase == done || t.run > r.Run || t.worker != nil {
		if sent.After(t.startResolvedAt) {
			b.stray(w, r, "not assigned to this worker")
		}
		return
	}
	b.cfg.Log.Info("run adopted", "Task", r.Task.String(), "Run", r.Run, "Worker", w.info.ID)
	t.run = r.Run
	w.assign(t, running)
	t.startResolvedAt, t.wasRunning = now, true
	t.group.job.dirty = true
	b.measure(t, r, now)
}

// stray notes a run that must not go on.
func (b *Scheduler) stray(w *worker, r RunningTask, why string) {
	if w.strays == nil {
		w.strays = map[workload.TaskKey]workload.RunNumber{}
	}
	if _, known := w.strays[r.Task]; !known {
		b.cfg.Log.Info("stray run", "Task", r.Task.String(), "Run", r.Run, "Worker", w.info.ID, "Why", why)
	}
	w.strays[r.Task] = r.Run
}

// measure takes in the progress of a run.
func (b *Scheduler) measure(t *task, r RunningTask, now time.Time) {
	if t.phase == starting {
		b.runStarted(t, now)
	}
	if t.startedAt.IsZero() {
		t.startedAt, t.progressedAt = now, now
	}
	if r.Percent != t.percent || t.progressedAt.IsZero() {
		t.percent, t.progressedAt = r.Percent, now
	}
	if r.Checkpoint != "" && r.Checkpoint != t.checkpoint {
		t.checkpoint = r.Checkpoint // written with the next record of the job
	}
	t.tailLatency, t.cpuUsage = r.Tail, r.CPU
}

// runStarted notes that the run of t is known to have started.
func (b *Scheduler) runStarted(t *task, now time.Time) {
	t.phase, t.startUnknown, t.startResolvedAt = running, false, now
	t.startedAt, t.progressedAt, t.percent = now, now, 0
	t.wasRunning = true
	j := t.group.job
	if j.state == workload.Queued {
		j.state, j.statusChanged, j.dirty = workload.Running, true, true
		b.cfg.Log.Info("job begins", "Job", j.id, "Worker", t.worker.info.ID, "After", now.Sub(j.submitted).Round(time.Millisecond))
	}
	if j.state.Final() {
		t.stopReason = "job final"
	}
}

// task returns the task of a key if its job is not final.
func (b *Scheduler) task(k workload.TaskKey) *task {
	j := b.jobs[k.Job]
	if j == nil {
		return nil
	}
	gs := j.groups[k.Occurrence]
	if k.Step < 0 || k.Step >= len(gs) || k.Index < 0 || k.Index >= len(gs[k.Step].tasks) {
		return nil
	}
	return gs[k.Step].tasks[k.Index]
}
