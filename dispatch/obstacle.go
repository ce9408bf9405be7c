package dispatch

import (
	"slices"
	"time"
)

// obstacle is the reason why a task may not run on a worker.
type obstacle string

// The obstacles, in the order in which they are checked.
const (
	noObstacle           obstacle = ""
	obstacleNotUsable    obstacle = "NotUsable" // draining, silent, quarantined or not polled yet
	obstacleService      obstacle = "OtherService"
	obstacleLabel        obstacle = "LabelMissing"
	obstacleSize         obstacle = "TooLarge" // even if the worker were empty
	obstacleRoom         obstacle = "NoRoom"
	obstacleMaxPerWorker obstacle = "EnoughOfStep"
	obstacleNeighbors    obstacle = "Neighbors" // latency-critical tasks there do not tolerate it
	obstacleNotApproved  obstacle = "NotApproved"
	obstacleNoTicket     obstacle = "NoTicket" // the worker is not approved yet, or its ticket has expired
	obstacleSuspect      obstacle = "Suspect"  // it or another task there may crash the worker
)

// bestEffortLimit is the share of the capacity up to which best-effort tasks are placed.
const bestEffortLimit = 1.0

// fits reports whether t may run on w, which must be usable.
func (sched *Scheduler) fits(t *task, w *worker, now time.Time) bool {
	return sched.obstacle(t, w, now) == noObstacle
}

// obstacle returns why t may not run on w, which must be usable.
func (sched *Scheduler) obstacle(t *task, w *worker, now time.Time) obstacle {
	o := sched.obstacleBesideSuspects(t, w, now)
	if o == noObstacle && sched.separated(w, t, now) {
		return obstacleSuspect
	}
	return o
}

// obstacleBesideSuspects returns why t may not run on w for other reasons than suspects.
func (sched *Scheduler) obstacleBesideSuspects(t *task, w *worker, now time.Time) obstacle {
	g := t.group
	switch {
	case w.info.Service != g.job.queue.Service:
		return obstacleService
	case g.step.Label != "" && !slices.Contains(w.info.Labels, g.step.Label):
		return obstacleLabel
	case now.Before(w.fullUntil) || w.strayUse.unknown || !g.need().Fits(w.free()):
		if !g.need().Fits(w.info.Capacity) {
			return obstacleSize
		}
		return obstacleRoom
	case g.step.MaxPerWorker > 0 && g.perWorker[w.info.ID]+w.strayUse.steps[g.key()] >= g.step.MaxPerWorker:
		return obstacleMaxPerWorker
	}
	if g.step.BestEffort {
		if o := sched.neighborObstacle(t, w, now); o != noObstacle {
			return o
		}
	}
	if g.job.queue.NeedsApproval {
		return g.approvalObstacle(w, now)
	}
	return noObstacle
}

// neighborObstacle returns the obstacle that the tasks on w are to t, a best-effort task.
func (sched *Scheduler) neighborObstacle(t *task, w *worker, now time.Time) obstacle {
	s := t.group.step
	room := w.bestEffortRoom()
	switch {
	case sched.toleratesStarved(w, t, now):
		return noObstacle
	case room < float64(s.Need.CPU) && (w.bestEffortCPU > 0 || room <= 0):
		return obstacleRoom
	case w.worstTail > tailHigh || w.cpuPercentOf(s.Image) != fullPercent || !sched.tolerable(w, t):
		return obstacleNeighbors
	}
	return noObstacle
}

// obstacles counts the workers by the reason why a task may not run there.
func (sched *Scheduler) obstacles(t *task, now time.Time) map[obstacle]int {
	n := map[obstacle]int{}
	for _, w := range sched.workers {
		if !w.usable(now) {
			n[obstacleNotUsable]++
			continue
		}
		n[sched.obstacle(t, w, now)]++
	}
	return n
}
