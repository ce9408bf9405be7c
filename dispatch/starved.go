package dispatch

import (
	"time"

	"persimmonpick/table"
)

// Limits on what starved tasks may do.
const (
	// A task is starved once its job has been idle for this long; a regular poll and a backoff take less.
	starvedDelay  = 1500 * time.Millisecond
	probeInterval = 1500 * time.Millisecond // between starved tasks that are placed on a worker in quarantine
	maxIdleUse    = 0.6                     // share of the processors of a service up to which starved tasks go beside any neighbor
)

// markStarved marks the waiting tasks of j that have waited for so long that they may go to a worker in quarantine or
// beside any neighbor: one task of each step if nothing of j has been at work for starvedDelay, all members of a gang,
// and each long-running task that has been idle for as long itself.
func (j *job) markStarved(now time.Time) {
	jobIdle := !j.idleSince.IsZero() && now.Sub(j.idleSince) >= starvedDelay
	marked := map[*group]bool{}
	j.each(func(t *task) {
		if t.phase != waiting {
			return // it was starved when it was placed, or not
		}
		g := t.group
		t.starved = !t.idleSince.IsZero() && now.Sub(t.idleSince) >= starvedDelay &&
			(g.step.LongRunning || jobIdle && (g.step.Gang || !marked[g]))
		marked[g] = marked[g] || t.starved
	})
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
