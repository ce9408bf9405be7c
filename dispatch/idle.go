package dispatch

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"persimmonpick/table"
)

// Bounds of the log lines on idle jobs.
const (
	idleCheckInterval = 500 * time.Millisecond
	idleLogDelay      = 2 * time.Second // a job that is idle for less may wait for a regular poll
	idleLogInterval   = 3 * time.Second // between log lines on one job
	maxIdleLogged     = 4               // lines per check
)

// idleWork is a job of which nothing runs, or a long-running task that does not run, though its turn has come.
type idleWork struct {
	task  *task // whose turn came first
	since time.Time
}

// checkIdle updates which tasks are starved, and logs work that has been idle for idleLogDelay with what each obstacle
// rules out and why workers are in quarantine.
func (sched *Scheduler) checkIdle(now time.Time) {
	if now.Sub(sched.idleCheckedAt) < idleCheckInterval {
		return
	}
	sched.idleCheckedAt = now
	sched.updateServices(now)
	var due []idleWork
	for _, j := range sched.jobs {
		if j.state.Final() {
			continue
		}
		i, idle := j.updateIdle(now)
		sched.markStarved(j, now)
		if idle && now.Sub(i.since) >= idleLogDelay && now.Sub(j.idleLoggedAt) >= idleLogInterval {
			due = append(due, i)
		}
	}
	slices.SortFunc(due, func(a, b idleWork) int {
		return cmp.Or(a.since.Compare(b.since), cmp.Compare(a.task.group.job.id, b.task.group.job.id))
	})
	for _, i := range due[:min(len(due), maxIdleLogged)] {
		i.task.group.job.idleLoggedAt = now
		sched.logIdleWork(i, now)
	}
}

// updateIdle updates since when the tasks of j have not run though their turn has come, and returns what of j is idle,
// or false.
func (j *job) updateIdle(now time.Time) (idleWork, bool) {
	var first, firstLasting *task
	atWork := false
	j.each(func(t *task) {
		t.updateIdle(now)
		atWork = atWork || t.atWork()
		if t.idleSince.IsZero() {
			return
		}
		if first == nil || t.idleSince.Before(first.idleSince) {
			first = t
		}
		if t.group.step.LongRunning && (firstLasting == nil || t.idleSince.Before(firstLasting.idleSince)) {
			firstLasting = t
		}
	})
	switch {
	case atWork || first == nil:
		j.idleSince = time.Time{}
	case j.idleSince.IsZero():
		j.idleSince = now
	}
	switch {
	case firstLasting != nil:
		return idleWork{firstLasting, firstLasting.idleSince}, true
	case !j.idleSince.IsZero():
		return idleWork{first, j.idleSince}, true
	}
	return idleWork{}, false
}

// atWork reports whether t runs, as far as its worker answers.
func (t *task) atWork() bool {
	return (t.phase == running || t.phase == stopping) && t.worker.missedPolls == 0
}

// updateIdle updates since when t has not run though its turn has come.
func (t *task) updateIdle(now time.Time) {
	atWork := t.atWork()
	if atWork && t.worker.contacted {
		t.idleUnknown = false
	}
	switch {
	case t.phase == done || atWork || !t.group.ready():
		t.idleSince = time.Time{}
	case t.idleSince.IsZero():
		t.idleSince = now
	}
}

func (sched *Scheduler) logIdleWork(i idleWork, now time.Time) {
	t, g := i.task, i.task.group
	attrs := []any{
		"Job", g.job.id, "Queue", g.job.queue.ID, "Task", t.key.String(), "For", now.Sub(i.since).Round(time.Millisecond),
		"Phase", t.phase.String(), "Run", t.run, "Waiting", g.waitingTasks, "CPU", g.step.Need.CPU, "Memory", g.step.Need.Memory,
		"Label", g.step.Label, "Gang", g.step.Gang, "BestEffort", g.step.BestEffort, "Image", g.step.Image,
	}
	if t.worker != nil {
		attrs = append(attrs, "Worker", t.worker.info.ID, "Calls", t.worker.missedPolls, "Heard", now.Sub(t.worker.heardAt).Round(time.Millisecond),
			"LeaseLeft", t.worker.leaseUntil.Sub(now).Round(time.Millisecond))
	} else if left := t.notBefore.Sub(now); left > 0 {
		attrs = append(attrs, "NotBefore", left.Round(time.Millisecond))
	}
	if t.bound {
		attrs = append(attrs, "BoundTo", t.late.worker, "BoundFor", t.late.until.Sub(now).Round(time.Millisecond))
	}
	var free, capacity table.Millicores
	quarantined := map[string]int{}
	for _, w := range sched.workers {
		if w.info.Service != g.job.queue.Service || !w.listed {
			continue
		}
		free += max(0, w.free().CPU)
		capacity += w.info.Capacity.CPU
		if w.quarantined(now) {
			quarantined[w.quarantineReason]++
		}
	}
	attrs = append(attrs, "Free", free, "Capacity", capacity, "Quarantined", fmt.Sprint(quarantined), "Obstacles", fmt.Sprint(sched.obstacles(t, now)))
	sched.cfg.Log.Warn("job idle", attrs...)
}
