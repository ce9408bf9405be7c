package dispatch

import (
	"cmp"
	"slices"
	"time"

	"persimmonpick/table"
)

// Limits on what starved tasks may do.
const (
	// A task is starved once its job has been idle for this long; a regular poll and a backoff take less.
	starvedDelay = 1500 * time.Millisecond
	// Between starved tasks on a worker in quarantine, and beside latency-critical tasks that do not tolerate them.
	probeInterval = 1500 * time.Millisecond
	maxIdleUse    = 0.6 // share of the processors of a service in use up to which it counts as idle
	// Share of the workers of a service in quarantine from which the quarantines count as the cause of the wait.
	manyQuarantined = 0.5
	// Time at work in quarantine after which a long-running task shows that its worker is sound.
	provenWork = 1500 * time.Millisecond
	// Starved tasks that are tried before others in a decision.
	maxStarvedTried = 256
)

// serviceState tells why tasks of a service may be starved.
type serviceState struct {
	idle        bool      // less than maxIdleUse of the processors is assigned
	idleSince   time.Time // with each check
	quarantined bool      // at least manyQuarantined of the workers are in quarantine
}

// wastesRoom reports whether tasks that have waited for starvedDelay did so though processors were idle all the time,
// or because of quarantines.
func (s serviceState) wastesRoom(now time.Time) bool {
	return s.quarantined || s.idle && now.Sub(s.idleSince) >= starvedDelay
}

// mayStarve reports whether tasks of g may be starved. While processors are in use and most workers sound, a wait is
// due to load, and attempts must not be spent on workers in quarantine; a long-running task has no limit of attempts.
func (sched *Scheduler) mayStarve(g *group) bool {
	state := sched.services[g.job.queue.Service]
	return g.step.LongRunning || state.idle || state.quarantined
}

// markStarved marks the waiting tasks of j that have waited for so long that they may go to a worker in quarantine or
// beside any neighbor: one task of each step if nothing of j has been at work for starvedDelay, all members of a gang,
// and each long-running task that has been idle for as long itself.
func (sched *Scheduler) markStarved(j *job, now time.Time) {
	jobIdle := !j.idleSince.IsZero() && now.Sub(j.idleSince) >= starvedDelay
	marked := map[*group]bool{}
	j.each(func(t *task) {
		if t.phase != waiting {
			return // it was starved when it was placed, or not
		}
		g := t.group
		t.starved = !t.idleSince.IsZero() && now.Sub(t.idleSince) >= starvedDelay && sched.mayStarve(g) &&
			(g.step.LongRunning || jobIdle && (g.step.Gang || !marked[g]))
		marked[g] = marked[g] || t.starved
	})
}

// updateServices updates the states of the services.
func (sched *Scheduler) updateServices(now time.Time) {
	type sum struct {
		capacity, assigned   table.Millicores
		workers, quarantined int
	}
	sums := map[table.ServiceID]sum{}
	for _, w := range sched.workers {
		if !w.reachable(now) {
			continue
		}
		s := sums[w.info.Service]
		s.capacity += w.info.Capacity.CPU
		s.assigned += w.used.CPU // without best-effort tasks, which take what others leave
		s.workers++
		if w.quarantined(now) {
			s.quarantined++
		}
		sums[w.info.Service] = s
	}
	for _, i := range sched.isolations {
		i.size *= sizeDecay
	}
	before := sched.services
	sched.services = make(map[table.ServiceID]serviceState, len(sums))
	for id, s := range sums {
		state := serviceState{
			idle: float64(s.assigned) < maxIdleUse*float64(s.capacity), idleSince: now,
			quarantined: float64(s.quarantined) >= manyQuarantined*float64(s.workers),
		}
		if before[id].idle {
			state.idleSince = before[id].idleSince
		}
		sched.services[id] = state
	}
}

// waitingTask is a task to be placed by placeLongestWaiting, or the first member of a gang.
type waitingTask struct {
	*task
	rank int // see isolationRank
}

// placeLongestWaiting places the tasks that are to be isolated and, beside suspects and quarantines, the starved
// tasks of services with idle processors, and returns how many found a place. Within a priority, those that have
// waited longest come first, so no job is kept waiting by others that came later or are worth more; of suspects the
// less likely to crash their workers. While suspects keep a task from all places that it has waited for, no more are
// isolated.
func (sched *Scheduler) placeLongestWaiting(now time.Time) int {
	held := map[table.ServiceID]bool{}
	placed, tried := 0, 0
	for _, t := range sched.longestWaiting(now) {
		service := t.group.job.queue.Service
		if t.rank > 0 && held[service] {
			continue
		}
		if placed >= maxPlaced || tried >= maxStarvedTried {
			break
		}
		tried++
		t.triedAt = now
		if t.group.step.Gang {
			n, _ := sched.placeGang(t.group, now)
			placed += n
		} else if w := sched.choose(t.task, now); w != nil {
			sched.reserve(t.task, w, now)
			placed++
		}
		if t.phase != waiting {
			continue
		}
		sched.keepWorkerFor(t.task, now)
		held[service] = held[service] || !sched.isolates(t.task) && t.starvedFor(separation, now) && sched.heldBySuspects(t.task, now)
	}
	return placed
}

// longestWaiting returns what placeLongestWaiting tries to place, in this order.
func (sched *Scheduler) longestWaiting(now time.Time) []waitingTask {
	var tasks []*task
	for _, g := range sched.openGroups(func(g *group) bool { return g.waitingTasks > 0 && g.ready() }) {
		state := sched.services[g.job.queue.Service]
		wasted := state.wastesRoom(now) && (state.quarantined || len(sched.suspects) > 0)
		for _, t := range g.tasks {
			if !t.placeable(now) || !(wasted && t.starved || sched.isolates(t)) {
				continue
			}
			tasks = append(tasks, t)
			if g.step.Gang {
				break
			}
		}
	}
	sched.takeTurns(tasks, now)
	sorted := make([]waitingTask, len(tasks))
	for i, t := range tasks {
		sorted[i] = waitingTask{t, sched.isolationRank(t)}
	}
	slices.SortFunc(sorted, func(a, b waitingTask) int {
		return cmp.Or(cmp.Compare(min(a.rank, 0), min(b.rank, 0)), cmp.Compare(a.group.job.queue.Priority, b.group.job.queue.Priority), cmp.Compare(a.rank, b.rank),
			a.idleSince.Compare(b.idleSince), cmp.Compare(a.key.String(), b.key.String()))
	})
	return sorted
}

// placeStarved places the starved tasks of g, which may go where others may not, and returns how many found a place.
func (sched *Scheduler) placeStarved(g *group, now time.Time) int {
	n := 0
	for _, t := range g.tasks {
		if !t.starved || !t.placeable(now) || t.triedAt.Equal(now) {
			continue
		}
		if w := sched.choose(t, now); w != nil {
			sched.reserve(t, w, now)
			n++
		}
	}
	return n
}

func (g *group) hasStarvedTask() bool {
	return slices.ContainsFunc(g.tasks, func(t *task) bool { return t.starved })
}

// toleratesStarved reports whether t may run on w although latency-critical tasks there do not tolerate it at full
// speed; throttling protects them.
func (sched *Scheduler) toleratesStarved(w *worker, t *task, now time.Time) bool {
	return t.starved && sched.services[w.info.Service].idle && w.cpuPercentOf(t.group.step.Image) > 0 &&
		now.Sub(w.imposedAt) >= probeInterval
}

// endQuarantine ends the quarantine of w if t, whose run shows that w is sound, has started in it.
func (sched *Scheduler) endQuarantine(w *worker, t *task, now time.Time) {
	if !w.quarantined(now) || !t.startedAt.After(w.quarantinedAt) {
		return
	}
	w.quarantinedUntil = time.Time{}
	sched.cfg.Log.Info("worker quarantine ended", "Worker", w.info.ID, "Task", t.key.String(), "Why", w.quarantineReason)
}
