package dispatch

import (
	"slices"
	"time"

	"persimmonpick/workload"
)

// unloggedResult is a result that was applied and may not be acknowledged.
type unloggedResult struct {
	number ResultNumber
	job    *job
	batch  batchNumber // the first one whose record of the job, or a later one, holds what was known with the result
}

// logged reports whether all that was known of the job of r when r was applied is in the log.
func (r unloggedResult) logged() bool { return r.job.finalLogged || r.job.loggedIn >= r.batch }

// awaitRecord lets the acknowledgement of e, which was applied, wait until its effect is in the log. That holds for
// a result without an effect too, since it may have none only by what is not in the log yet.
func (sched *Scheduler) awaitRecord(w *worker, e TaskResult) {
	j := sched.jobs[e.Task.Job]
	if j == nil {
		return
	}
	r := unloggedResult{e.Number, j, j.writtenIn}
	if j.dirty {
		r.batch = sched.batches + 1
	}
	if !r.logged() {
		w.unlogged = append(w.unlogged, r)
	}
}

// acknowledge raises loggedResult to n at most, a result that was applied, as far as the effects are in the log.
func (w *worker) acknowledge(n ResultNumber) {
	for len(w.unlogged) > 0 && w.unlogged[0].logged() {
		w.unlogged = w.unlogged[1:]
	}
	if len(w.unlogged) > 0 {
		n = min(n, w.unlogged[0].number-1)
	}
	if n <= w.appliedResult {
		w.loggedResult = max(w.loggedResult, n)
	}
}

// applyResult applies the result of a run that w lists as ended.
func (sched *Scheduler) applyResult(w *worker, e TaskResult, now time.Time) {
	t := sched.task(e.Task)
	delete(w.strays, e.Task)
	if t == nil || t.phase == done {
		return
	}
	if t.worker != w || t.run != e.Run {
		sched.applyUnassignedResult(t, e, now)
		return
	}
	sched.counts.Ended++
	sched.crashRefuted(t)
	if e.Checkpoint != "" {
		t.checkpoint = e.Checkpoint
	}
	ran := now.Sub(t.startedAt)
	switch e.Cause {
	case EndDone:
		sched.runSucceeded(w, t, ran, now)
	case EndFailed:
		sched.runFailed(w, t, now)
	default:
		sched.cfg.Log.Debug("run ended", "Task", e.Task.String(), "Run", e.Run, "Worker", w.info.ID, "Cause", e.Cause)
		sched.requeue(t, now, 0)
	}
}

// applyUnassignedResult applies the result of a run that is no longer assigned to the worker that reports it. Only
// successful runs count, and only if the task has not been started again; its next start may be reserved.
func (sched *Scheduler) applyUnassignedResult(t *task, e TaskResult, now time.Time) {
	if e.Cause != EndDone {
		return
	}
	sched.cfg.Log.Info("unassigned run ended", "Task", e.Task.String(), "Run", e.Run, "Phase", t.phase)
	if t.worker == nil || t.phase == reserved && !t.group.step.Gang {
		sched.runDone(t, now)
	}
}

// runDone marks the task of a successful run as done, and all members of its gang, which end together.
func (sched *Scheduler) runDone(t *task, now time.Time) {
	if t.group.step.Gang {
		sched.gangDone(t.group, now)
		return
	}
	if t.worker != nil {
		t.worker.release(t)
	}
	sched.taskDone(t, now)
}

func (sched *Scheduler) runSucceeded(w *worker, t *task, ran time.Duration, now time.Time) {
	w.failStreak, w.quarantines, w.lastSuccessAt = 0, 0, now
	if !t.proven {
		sched.observeSound(t)
	}
	sched.endQuarantine(w, t, now)
	if !t.startedAt.IsZero() && t.checkpoint == "" && !t.throttled {
		t.group.durations = append(t.group.durations, ran)
		sched.gotFurther(t, ran/fullPercent, now)
	}
	sched.runDone(t, now)
}

// taskDone marks a task as done; no worker may hold it.
func (sched *Scheduler) taskDone(t *task, now time.Time) {
	if t.phase == done {
		return
	}
	t.phase = done
	g := t.group
	j := g.job
	g.unfinished--
	g.waitingTasks--
	j.dirty = true
	if g.unfinished == 0 {
		sched.durationRatios.observe(g)
		j.dropTasks(g)
	}
	if j.state.Final() || g.unfinished > 0 {
		return
	}
	for _, o := range j.groups[g.occurrence] {
		if o.unfinished > 0 {
			return
		}
	}
	j.finishOccurrence(g.occurrence)
	if j.completed() {
		sched.counts.Completed++
		sched.finishJob(j, workload.Completed, now)
	}
}

func (sched *Scheduler) runFailed(w *worker, t *task, now time.Time) {
	sched.counts.Failed++
	j := t.group.job
	t.countFailure()
	t.cleared() // its worker has lived on
	t.recordEnd(endedFailed)
	t.lastFailedOn = w.info.ID
	w.failStreak++
	w.probedAt = now
	sched.cfg.Log.Info("run failed", "Task", t.key.String(), "Run", t.run, "Worker", w.info.ID, "Failures", t.failures, "WorkerStreak", w.failStreak)
	if w.failStreak >= quarantineStreak && w.quarantine(now, "failures in a row") {
		sched.cfg.Log.Warn("worker quarantined", "Worker", w.info.ID, "Why", w.quarantineReason, "Until", w.quarantinedUntil)
	}
	sched.requeue(t, now, failedBackoff)
	if t.group.step.LongRunning || j.state.Final() || j.queue.MaxAttempts <= 0 {
		return
	}
	failures := t.failures
	if t.group.step.Gang {
		failures = 0
		for _, o := range t.group.tasks {
			failures += o.failures
		}
	}
	if failures >= j.queue.MaxAttempts {
		sched.cfg.Log.Info("attempts used up", "Task", t.key.String(), "Failures", failures, "MaxAttempts", j.queue.MaxAttempts, "Runs", t.describeEnds())
		sched.finishJob(j, workload.Failed, now)
	}
}

// median returns the median of ds, which must not be empty.
func median(ds []time.Duration) time.Duration {
	s := slices.Clone(ds)
	slices.Sort(s)
	return s[len(s)/2]
}
