package dispatch

import (
	"cmp"
	"slices"
	"time"

	"persimmonpick/table"
	"persimmonpick/workload"
)

// A start that was not answered may be carried out seconds later. A poll under a newer token shows whether the present
// incarnation of the worker has done so, and keeps the start off that incarnation, but not off the next one. So until
// no such start is carried out any more, the task starts on the same worker only: what it runs there ends with the
// incarnation, and the first contact with the next one shows whether that has carried the start out.

// LOST bounds how long a long-running task may be without a run. After longestIdleWait without one it is not bound to a
// worker that does not take it, but for leastBoundWait from its first unanswered start. Only the latter counts if it is
// not known since when the task has been without a run.
const (
	longestIdleWait = 7 * time.Second
	leastBoundWait  = 3 * time.Second
)

// lateStart is what is known of the starts of a task that were not answered.
type lateStart struct {
	worker table.WorkerID // that may carry them out; empty if there are none
	until  time.Time
	since  time.Time // of the first one since the task was last at work
}

// mayComeAt reports whether the worker may carry out a start at the given time.
func (l lateStart) mayComeAt(now time.Time) bool { return l.worker != "" && now.Before(l.until) }

// noteLateStart records that the given worker may carry out a start of t until the given time.
func (sched *Scheduler) noteLateStart(t *task, id table.WorkerID, until, now time.Time) {
	if !until.After(t.late.until) {
		return
	}
	if t.late.since.IsZero() || t.late.since.Before(t.idleSince) {
		t.late.since = now
	}
	t.late.worker, t.late.until = id, until
	sched.lateStarts[t] = true
	t.group.job.dirty = true
}

// noteStartOfEarlierLeader records that w may carry out a start of t late that an earlier leader has sent, as no report
// shows that it was carried out.
func (sched *Scheduler) noteStartOfEarlierLeader(t *task, w *worker, now time.Time) {
	if until := sched.inheritedStartsEnd(); t.orderedAt.IsZero() && t.started == startNotKnown && now.Before(until) {
		sched.noteLateStart(t, w.info.ID, until, now)
	}
}

// inheritedStartsEnd returns until when starts are carried out that earlier leaders have sent.
func (sched *Scheduler) inheritedStartsEnd() time.Time {
	return sched.ledSince.Add(supersededExtension + lateOrderLimit)
}

// forgetLateStarts forgets the starts that were sent to w, at whose address another worker is now.
func (sched *Scheduler) forgetLateStarts(w *worker) {
	for t := range sched.lateStarts {
		if t.late.worker == w.info.ID {
			t.late, t.bound = lateStart{}, false
			delete(sched.lateStarts, t)
		}
	}
}

// isBound reports whether t may start on the worker of its late starts only. One that leaves takes no starts.
func (sched *Scheduler) isBound(t *task, now time.Time) bool {
	if t.late.worker == "" {
		return false
	}
	w := sched.workers[t.late.worker]
	if w != nil && w.info.Draining {
		return false
	}
	if t.group.step.LongRunning {
		if w == nil || !sched.mayTake(w, t, now) {
			return false
		}
		if !sched.takesBound(w, t, now) && t.hasWaitedForBound(now) {
			return false
		}
	}
	// The next incarnation may run a late start that no list has shown yet.
	uncontacted := w != nil && w.listed && !w.contacted && now.Before(sched.lateOrdersEnd(w))
	return now.Before(t.late.until) || uncontacted
}

// hasWaitedForBound reports whether t, which is long-running, has waited for its worker for as long as LOST allows.
func (t *task) hasWaitedForBound(now time.Time) bool {
	if t.idleSince.IsZero() || now.Sub(t.late.since) < leastBoundWait {
		return false
	}
	return t.idleUnknown || now.Sub(t.idleSince) >= longestIdleWait
}

// mayTake reports whether w, if it answers, may take t.
func (sched *Scheduler) mayTake(w *worker, t *task, now time.Time) bool {
	if !w.listed || w.evacuating || w.zoneEvacuated {
		return false
	}
	switch sched.obstacleBesideSuspects(t, w, now) {
	case obstacleService, obstacleLabel, obstacleSize:
		return false
	}
	return true
}

// placeBound updates which tasks are bound to the worker of their late starts, and places those that it takes, before
// others take their room. It returns how many it has placed. The members of a gang are placed together, see choose.
func (sched *Scheduler) placeBound(now time.Time) int {
	var tasks []*task
	for t := range sched.lateStarts {
		before := t.bound
		t.bound = sched.isBound(t, now)
		if before && !t.bound && t.phase == waiting {
			w := sched.workers[t.late.worker]
			sched.cfg.Log.Info("task no longer bound to its worker", "Task", t.key.String(), "Run", t.run, "Worker", t.late.worker,
				"Listed", w != nil && w.listed, "Reachable", w != nil && w.reachable(now), "Left", t.late.until.Sub(now).Round(time.Millisecond))
		}
		switch {
		case t.phase == done || t.group.job.state.Final() || !t.bound && !t.late.mayComeAt(now):
			t.late, t.bound = lateStart{}, false
			delete(sched.lateStarts, t)
		case t.bound && t.phase == waiting && !now.Before(t.notBefore) && !t.group.step.Gang:
			tasks = append(tasks, t)
		}
	}
	slices.SortFunc(tasks, func(a, b *task) int {
		return cmp.Or(a.group.job.submitted.Compare(b.group.job.submitted), cmp.Compare(a.key.String(), b.key.String()))
	})
	placed := 0
	for _, t := range tasks {
		g := t.group
		if w := sched.workers[t.late.worker]; w != nil && sched.takesBound(w, t, now) {
			sched.reserve(t, w, now)
			placed++
		} else if g.job.queue.NeedsApproval && !slices.Contains(sched.awaitingApproval, g) {
			// A new incarnation needs a ticket of its own.
			sched.awaitingApproval = append(sched.awaitingApproval, g)
		}
	}
	return placed
}

// takesBound reports whether t, which is bound to w, can start there now.
func (sched *Scheduler) takesBound(w *worker, t *task, now time.Time) bool {
	return w.offered(t, now) && sched.fits(t, w, now) && !t.failsOn(w)
}

// binds reports whether a waiting task of g is bound to w.
func (g *group) binds(w *worker) bool {
	return slices.ContainsFunc(g.tasks, func(t *task) bool { return t.bound && t.phase == waiting && t.late.worker == w.info.ID })
}

// failsOn reports whether t, whose attempts are limited, failed last on w, and w has had no success since.
func (t *task) failsOn(w *worker) bool {
	return t.failures > 0 && t.lastFailedOn == w.info.ID && w.failStreak > 0 && !t.group.step.LongRunning
}

// placeable reports whether t may be placed on any worker. Members of a gang are placed together, bound or not.
func (t *task) placeable(now time.Time) bool {
	return t.phase == waiting && !now.Before(t.notBefore) && (!t.bound || t.group.step.Gang)
}

// nextRun returns the number of the next run of t, which starts on w. A start that w has not carried out is sent again
// under its number, so that it and an earlier one make one run.
func (t *task) nextRun(w *worker) workload.RunNumber {
	if t.notBegun && t.late.worker == w.info.ID {
		return t.run
	}
	return t.run + 1
}

// lateStarts returns the late starts of the tasks of j for its progress record.
func (j *job) lateStarts(now time.Time) []workload.LateStart {
	var ls []workload.LateStart
	j.each(func(t *task) {
		if t.phase != done && t.late.mayComeAt(now) {
			ls = append(ls, workload.LateStart{Occurrence: t.key.Occurrence, Step: t.key.Step, Index: t.key.Index, Worker: t.late.worker})
		}
	})
	return ls
}

// restoreLateStarts restores what lateStarts has returned.
func (j *job) restoreLateStarts(ls []workload.LateStart) {
	for _, l := range ls {
		if g := j.recordedGroup(l.Occurrence, l.Step, l.Index); g != nil && l.Index != allTasks {
			g.tasks[l.Index].late.worker = l.Worker
		}
	}
}
