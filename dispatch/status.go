package dispatch

import (
	"fmt"
	"time"

	"persimmonpick/table"
)

// statusLogInterval is the time between log lines on the state of the scheduler.
const statusLogInterval = 2 * time.Second

// logStatus logs the running and waiting tasks by kind.
func (sched *Scheduler) logStatus(now time.Time) {
	if now.Sub(sched.statusLoggedAt) < statusLogInterval {
		return
	}
	sched.statusLoggedAt = now
	var capacity, counted, criticalCPU, bestEffortCPU, slowed, waitingBestEffort, waitingOthers table.Millicores
	usable, mixed, waitingCount, withCritical, images := 0, 0, 0, 0, 0
	for _, w := range sched.workers {
		if !w.usable(now) {
			continue
		}
		usable++
		capacity += w.info.Capacity.CPU
		counted += w.used.CPU
		criticalCPU += w.criticalCPU
		bestEffortCPU += w.bestEffortCPU
		if w.criticalTasks > 0 && w.bestEffortCPU > 0 {
			mixed++
		}
		if w.criticalTasks > 0 {
			withCritical++
			images += len(w.criticalByImage)
		}
		for _, t := range w.tasks {
			if t.group.step.BestEffort {
				slowed += t.group.step.Need.CPU * table.Millicores(fullPercent-t.cpuPercent) / fullPercent
			}
		}
	}
	groups := sched.waitingGroups(now)
	sched.logOrder(groups, now)
	for _, g := range groups {
		sched.logObstacles(g, now)
		for _, t := range g.tasks {
			if t.phase != waiting {
				continue
			}
			waitingCount++
			if g.step.BestEffort {
				waitingBestEffort += g.step.Need.CPU
			} else {
				waitingOthers += g.step.Need.CPU
			}
		}
	}
	sched.cfg.Log.Info("board", "Jobs", len(sched.jobs), "Workers", len(sched.workers), "Usable", usable, "Mixed", mixed, "Serve", withCritical, "ImagesServing", float64(images)/float64(max(1, withCritical)),
		"Capacity", capacity, "Counted", counted, "Serving", criticalCPU, "Fills", bestEffortCPU, "Slowed", slowed,
		"Waiting", waitingCount, "WaitingFills", waitingBestEffort, "WaitingOthers", waitingOthers)
}

// obstacleLogInterval is how long a step waits for a place before its obstacles are logged, and the time between
// these log lines.
const obstacleLogInterval = 8 * time.Second

// logObstacles logs why a step has waited for long.
func (sched *Scheduler) logObstacles(g *group, now time.Time) {
	if g.unplacedSince.IsZero() || now.Sub(g.unplacedSince) < obstacleLogInterval || now.Sub(g.obstaclesLoggedAt) < obstacleLogInterval {
		return
	}
	g.obstaclesLoggedAt = now
	for _, t := range g.tasks {
		if t.phase != waiting {
			continue
		}
		sched.cfg.Log.Info("task waits for a place", "Task", t.key.String(), "For", now.Sub(g.unplacedSince).Round(time.Millisecond), "Waiting", g.waitingTasks,
			"CPU", g.step.Need.CPU, "Memory", g.step.Need.Memory, "Label", g.step.Label, "Gang", g.step.Gang, "Fills", g.step.BestEffort, "Image", g.step.Image,
			"Obstacles", fmt.Sprint(sched.obstacles(t, now)))
		return
	}
}
