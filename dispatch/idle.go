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

// checkIdle marks the tasks of idle work as starved, and logs work that has been idle for idleLogDelay with what each
// obstacle rules out and why workers are in quarantine.
func (sched *Scheduler) checkIdle(now time.Time) {
	if now.Sub(sched.idleCheckedAt) < idleCheckInterval {
		return
	}
	sched.idleCheckedAt = now
	sched.updateIdleServices(now)
	logged := 0
	for _, i := range sched.idleJobs(now) {
		i.markStarved(now)
		j := i.task.group.job
		if now.Sub(i.since) < idleLogDelay || now.Sub(j.idleLoggedAt) < idleLogInterval {
			continue
		}
		if logged++; logged > maxIdleLogged {
			return
		}
		j.idleLoggedAt = now
		sched.logIdleWork(i, now)
	}
}

// updateIdleServices updates which services have processors to spare.
func (sched *Scheduler) updateIdleServices(now time.Time) {
	capacity, assigned := map[table.ServiceID]table.Millicores{}, map[table.ServiceID]table.Millicores{}
	for _, w := range sched.workers {
		if w.reachable(now) {
			capacity[w.info.Service] += w.info.Capacity.CPU
			assigned[w.info.Service] += w.used.CPU + w.bestEffortCPU
		}
	}
	sched.idleServices = make(map[table.ServiceID]bool, len(capacity))
	for s, c := range capacity {
		sched.idleServices[s] = float64(assigned[s]) < maxIdleUse*float64(c)
	}
}

// idleJobs updates since when each task has not run though its turn has come, and returns what is idle, the longest
// first.
func (sched *Scheduler) idleJobs(now time.Time) []idleWork {
	var idle []idleWork
	for _, j := range sched.jobs {
		if j.state.Final() {
			continue
		}
		var first *task
		atWork := false
		j.each(func(t *task) {
			t.updateIdle(now)
			atWork = atWork || t.atWork()
			if !t.idleSince.IsZero() && (first == nil || t.idleSince.Before(first.idleSince)) {
				first = t
			}
		})
		if atWork && (first == nil || !first.group.step.LongRunning) {
			j.idleSince = time.Time{}
			continue
		}
		if first == nil {
			continue
		}
		if j.idleSince.IsZero() {
			j.idleSince = now
		}
		since := j.idleSince
		if first.group.step.LongRunning {
			since = first.idleSince
		}
		idle = append(idle, idleWork{first, since})
	}
	slices.SortFunc(idle, func(a, b idleWork) int {
		return cmp.Or(a.since.Compare(b.since), cmp.Compare(a.task.group.job.id, b.task.group.job.id))
	})
	return idle
}

// atWork reports whether t runs, as far as its worker answers.
func (t *task) atWork() bool {
	return (t.phase == running || t.phase == stopping) && t.worker.missedPolls == 0
}

// updateIdle updates since when t has not run though its turn has come.
func (t *task) updateIdle(now time.Time) {
	switch {
	case t.phase == done || t.atWork() || !t.group.ready():
		t.idleSince, t.starved = time.Time{}, false
	case t.idleSince.IsZero():
		t.idleSince = now
	}
}

// markStarved marks the first idle task of each step as starved if their job has been idle for starvedDelay, and with
// it all members of a gang; a long-running task is starved once it has been idle for as long itself.
func (i idleWork) markStarved(now time.Time) {
	if now.Sub(i.since) < starvedDelay {
		return
	}
	marked := map[*group]bool{}
	i.task.group.job.each(func(t *task) {
		g := t.group
		if t.phase != waiting || t.idleSince.IsZero() || now.Sub(t.idleSince) < starvedDelay || marked[g] && !g.step.Gang && !g.step.LongRunning {
			return
		}
		marked[g], t.starved = true, true
	})
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
