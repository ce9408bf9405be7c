package dispatch

import (
	"time"

	"persimmonpick/table"
	"persimmonpick/workload"
)

// stallMemory is how long a stall counts against its worker; it is longer than any quarantine.
const stallMemory = time.Minute

// taskStall is the last move of a task whose run made no progress, until a run of the task gets further.
type taskStall struct {
	on      table.WorkerID
	at      time.Time
	percent int
	stood   time.Duration // time that the run had without progress, see runProgress
}

// workerStall is the last run on a worker that made no progress.
type workerStall struct {
	step workload.StepKey
	at   time.Time
}

// runStalled applies that the run of t makes no progress on w. The tasks of one step may all stand still by their own
// fault, and a task that has stalled elsewhere too is the likelier cause; so only stalls of two steps, without a
// success in between, quarantine w at once.
func (sched *Scheduler) runStalled(w *worker, t *task, now time.Time) {
	sched.counts.Stalled++
	t.stalls++
	elsewhere := t.stall.on != "" && t.stall.on != w.info.ID
	t.stall = taskStall{on: w.info.ID, at: now, percent: t.percent, stood: t.observed.standing}
	if elsewhere {
		return
	}
	last := w.stall
	w.stall = workerStall{step: t.group.key(), at: now}
	if last.step != w.stall.step && w.counts(last.at, now) {
		sched.quarantineStalled(w, "another step", now)
	}
}

// counts reports whether a stall at the given time counts against w.
func (w *worker) counts(at, now time.Time) bool {
	return !at.IsZero() && now.Sub(at) < stallMemory && !w.lastSuccessAt.After(at)
}

// checkFurther applies the progress of t to its last stall.
func (sched *Scheduler) checkFurther(t *task, now time.Time) {
	if perPercent, gained := t.perPercent(); gained > 0 && t.percent > t.stall.percent && t.stopReason == "" {
		sched.gotFurther(t, perPercent, now)
	}
}

// gotFurther applies that a run of t, of which one percent takes the given time at most, gets further than the one
// that stalled. The worker of that one is quarantined if it had the time for a percent there.
func (sched *Scheduler) gotFurther(t *task, perPercent time.Duration, now time.Time) {
	s := t.stall
	t.stall = taskStall{}
	w := sched.workers[s.on]
	switch {
	case w == nil:
	case w == t.worker:
		w.stall = workerStall{}
	case perPercent <= s.stood && w.counts(s.at, now) && w.quarantinedAt.Before(s.at):
		sched.quarantineStalled(w, "progress elsewhere", now)
	}
}

func (sched *Scheduler) quarantineStalled(w *worker, evidence string, now time.Time) {
	if w.quarantine(now, whyStalled) {
		sched.cfg.Log.Warn("worker quarantined", "Worker", w.info.ID, "Why", w.quarantineReason, "Evidence", evidence,
			"Until", w.quarantinedUntil)
	}
}
