package dispatch

import (
	"slices"
	"time"

	"persimmonpick/workload"
)

// placeGang places all tasks of a gang under one run number.
func (sched *Scheduler) placeGang(g *group, now time.Time) (int, bool) {
	top := g.tasks[0].run
	for _, t := range g.tasks {
		if t.phase != waiting || now.Before(t.notBefore) {
			return 0, true // members of the last run have not ended yet
		}
		top = max(top, t.run)
	}
	checkpoint := newestCheckpoint(g)
	g.rack = ""
	places := make([]*worker, 0, len(g.tasks))
	for _, t := range g.tasks {
		w := sched.choose(t, now)
		if w == nil {
			break
		}
		places = append(places, w)
		w.assign(t, reserved) // reserves the room, so that the next member cannot have it
	}
	for i, w := range places {
		w.release(g.tasks[i])
	}
	if len(places) < len(g.tasks) {
		return 0, false
	}
	for i, t := range g.tasks {
		t.run, t.checkpoint = top, checkpoint
		sched.reserve(t, places[i], now)
	}
	return len(g.tasks), true
}

// newestCheckpoint returns the newest checkpoint of the members of a gang, by length and then by its bytes; it is valid
// for all of them.
func newestCheckpoint(g *group) string {
	best := ""
	for _, t := range g.tasks {
		if len(t.checkpoint) > len(best) || len(t.checkpoint) == len(best) && t.checkpoint > best {
			best = t.checkpoint
		}
	}
	return best
}

// gangDone marks all members of a gang as done. Runs of a later start are stopped as strays.
func (sched *Scheduler) gangDone(g *group, now time.Time) {
	for _, t := range g.tasks {
		if t.phase.held() {
			if t.phase != reserved {
				t.worker.strayUse.add(t.key, g.step)
			}
			t.worker.release(t)
		}
		sched.taskDone(t, now)
	}
}

// restoreGang completes a gang of which the record names a member as done, since members end together.
func (g *group) restoreGang() {
	if !slices.ContainsFunc(g.tasks, func(t *task) bool { return t.phase == done }) {
		return
	}
	for _, t := range g.tasks {
		if t.phase.held() {
			t.worker.release(t)
		}
		t.phase = done
	}
	g.unfinished, g.waitingTasks = 0, 0
}

// startable reports whether t, which was reserved for the given run, can be started.
func (t *task) startable(run workload.RunNumber, now time.Time) bool {
	return t.phase == reserved && t.run == run && t.worker.accepts(t, now)
}

// gangStartable reports whether all members of the gang of t can be started under its run number.
func (t *task) gangStartable(now time.Time) bool {
	return !slices.ContainsFunc(t.group.tasks, func(o *task) bool { return !o.startable(t.run, now) })
}

// countFailure counts that the run of t ended as failed. A run of a gang counts once, whichever of its members fail.
func (t *task) countFailure() {
	g := t.group
	if g.step.Gang && g.failedRun == t.run {
		return
	}
	g.failedRun = t.run
	t.failures++
}

// failedRuns returns the newest failed runs of the gangs of j.
func (j *job) failedRuns() []workload.FailedRun {
	var rs []workload.FailedRun
	for _, gs := range j.groups {
		for _, g := range gs {
			if g.step.Gang && g.failedRun > 0 && g.unfinished > 0 {
				rs = append(rs, workload.FailedRun{Occurrence: g.occurrence, Step: g.index, Run: g.failedRun})
			}
		}
	}
	return rs
}

// restoreFailedRuns restores what failedRuns has returned.
func (j *job) restoreFailedRuns(rs []workload.FailedRun) {
	for _, r := range rs {
		if g := j.recordedGroup(r.Occurrence, r.Step, allTasks); g != nil {
			g.failedRun = r.Run
		}
	}
}
