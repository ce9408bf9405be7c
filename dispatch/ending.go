package dispatch

import (
	"slices"
	"time"

	"persimmonpick/workload"
)

// ended applies an ending that w lists.
func (b *Scheduler) ended(w *worker, e TaskResult, now time.Time) {
	t := b.task(e.Task)
	delete(w.strays, e.Task)
	if t == nil || t.phase == done {
		return
	}
	if t.worker != w || t.run != e.Run {
		b.endedElsewhere(t, e, now)
		return
	}
	b.counts.Ended++
	if e.Checkpoint != "" {
		t.checkpoint = e.Checkpoint
	}
	ran := now.Sub(t.began)
	switch e.Cause {
	case EndDone:
		b.workDone(w, t, ran, now)
	case EndFailed:
		b.workFailed(w, t, now)
	default:
		b.cfg.Log.Debug("run ended", "Task", e.Task.String(), "Run", e.Run, "Worker", w.info.ID, "Cause", e.Cause)
		b.unplace(t, now, 0)
	}
}

// endedElsewhere applies an ending of a run that the board does not hold; only the end of work still counts.
func (b *Scheduler) endedElsewhere(t *task, e TaskResult, now time.Time) {
	if e.Cause != EndDone {
		return
	}
	b.cfg.Log.Info("run ended that was given up", "Task", e.Task.String(), "Run", e.Run, "Phase", t.phase)
	if t.worker == nil {
		b.taskDone(t, now)
	}
}

func (b *Scheduler) workDone(w *worker, t *task, ran time.Duration, now time.Time) {
	w.failStreak, w.badRounds, w.lastDone = 0, 0, now
	if !t.began.IsZero() && t.checkpoint == "" {
		t.group.durations = append(t.group.durations, ran)
	}
	if t.group.step.Gang {
		for _, o := range t.group.tasks {
			if o.phase.held() {
				o.worker.release(o)
			}
			b.taskDone(o, now)
		}
		return
	}
	w.release(t)
	b.taskDone(t, now)
}

// taskDone marks a task that no worker holds as done.
func (b *Scheduler) taskDone(t *task, now time.Time) {
	if t.phase == done {
		return
	}
	t.phase = done
	g := t.group
	j := g.job
	g.left--
	g.idle--
	j.dirty = true
	if j.state.Final() || g.left > 0 {
		return
	}
	for _, o := range j.groups[g.occurrence] {
		if o.left > 0 {
			return
		}
	}
	j.finished++
	if j.finished >= j.spec.Occurrences() {
		b.counts.Completed++
		b.finish(j, workload.Completed, now)
	}
}

func (b *Scheduler) workFailed(w *worker, t *task, now time.Time) {
	b.counts.Failed++
	j := t.group.job
	t.failures++
	t.failedOn = w.info.ID
	w.failStreak++
	b.cfg.Log.Info("run failed", "Task", t.key.String(), "Run", t.run, "Worker", w.info.ID, "Failures", t.failures, "WorkerStreak", w.failStreak)
	if w.failStreak >= badStreak && w.bad(now, "failures in a row") {
		b.cfg.Log.Warn("worker gets no work", "Worker", w.info.ID, "Why", w.badWhy, "Until", w.badUntil)
	}
	b.unplace(t, now, failedWait)
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
		b.finish(j, workload.Failed, now)
	}
}

// median returns the median of ds, which must not be empty.
func median(ds []time.Duration) time.Duration {
	s := slices.Clone(ds)
	slices.Sort(s)
	return s[len(s)/2]
}
