package dispatch

import (
	"fmt"
	"time"

	"persimmonpick/table"
)

// statusLogInterval is how often the state of the board is logged.
const statusLogInterval = 2 * time.Second

// logStatus logs what runs and what waits, by kind of task.
func (b *Scheduler) logStatus(now time.Time) {
	if now.Sub(b.statusLoggedAt) < statusLogInterval {
		return
	}
	b.statusLoggedAt = now
	var capacity, counted, serving, fills, slowed, waitFills, waitOthers table.Millicores
	usable, mixed, waits, hosting, kinds := 0, 0, 0, 0, 0
	for _, w := range b.workers {
		if !w.usable(now) {
			continue
		}
		usable++
		capacity += w.info.Capacity.CPU
		counted += w.used.CPU
		serving += w.criticalCPU
		fills += w.bestEffortCPU
		if w.criticalTasks > 0 && w.bestEffortCPU > 0 {
			mixed++
		}
		if w.criticalTasks > 0 {
			hosting++
			kinds += len(w.criticalByImage)
		}
		for _, t := range w.tasks {
			if t.group.step.Fills {
				slowed += t.group.step.Need.CPU * table.Millicores(fullPercent-t.cpuPercent) / fullPercent
			}
		}
	}
	for _, g := range b.waitingGroups(now) {
		b.logObstacles(g, now)
		for _, t := range g.tasks {
			if t.phase != waiting {
				continue
			}
			waits++
			if g.step.Fills {
				waitFills += g.step.Need.CPU
			} else {
				waitOthers += g.step.Need.CPU
			}
		}
	}
	b.cfg.Log.Info("board", "Jobs", len(b.jobs), "Workers", len(b.workers), "Usable", usable, "Mixed", mixed, "Serve", hosting, "ImagesServing", float64(kinds)/float64(max(1, hosting)),
		"Capacity", capacity, "Counted", counted, "Serving", serving, "Fills", fills, "Slowed", slowed,
		"Waiting", waits, "WaitingFills", waitFills, "WaitingOthers", waitOthers)
}

// obstacleLogInterval is how long a step waits for places before its obstacles are logged, and how long until they are again.
const obstacleLogInterval = 8 * time.Second

// logObstacles logs why a step has waited for long.
func (b *Scheduler) logObstacles(g *group, now time.Time) {
	if g.unplacedSince.IsZero() || now.Sub(g.unplacedSince) < obstacleLogInterval || now.Sub(g.obstaclesLoggedAt) < obstacleLogInterval {
		return
	}
	g.obstaclesLoggedAt = now
	for _, t := range g.tasks {
		if t.phase != waiting {
			continue
		}
		b.cfg.Log.Info("task waits for a place", "Task", t.key.String(), "For", now.Sub(g.unplacedSince).Round(time.Millisecond), "Waiting", g.waitingTasks,
			"CPU", g.step.Need.CPU, "Memory", g.step.Need.Memory, "Label", g.step.Label, "Gang", g.step.Gang, "Fills", g.step.Fills, "Image", g.step.Image,
			"Obstacles", fmt.Sprint(b.obstacles(t, now)))
		return
	}
}
