package dispatch

import (
	"fmt"
	"time"

	"persimmonpick/table"
)

// surveyEvery is how often the state of the board is logged.
const surveyEvery = 2 * time.Second

// survey logs what runs and what waits, by kind of task.
func (b *Scheduler) survey(now time.Time) {
	if now.Sub(b.surveyed) < surveyEvery {
		return
	}
	b.surveyed = now
	var capacity, counted, serving, fills, slowed, waitFills, waitOthers table.Millicores
	usable, mixed, waits, hosting, kinds := 0, 0, 0, 0, 0
	for _, w := range b.workers {
		if !w.usable(now) {
			continue
		}
		usable++
		capacity += w.info.Capacity.CPU
		counted += w.used.CPU
		serving += w.serving
		fills += w.fills
		if w.serves > 0 && w.fills > 0 {
			mixed++
		}
		if w.serves > 0 {
			hosting++
			kinds += len(w.byImage)
		}
		for _, t := range w.tasks {
			if t.group.step.BestEffort {
				slowed += t.group.step.Need.CPU * table.Millicores(fullPace-t.pace) / fullPace
			}
		}
	}
	for _, g := range b.waitingGroups(now) {
		b.explain(g, now)
		for _, t := range g.tasks {
			if t.phase != waiting {
				continue
			}
			waits++
			if g.step.BestEffort {
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

// explainAfter is how long a step waits for places before its obstacles are logged, and how long until they are again.
const explainAfter = 8 * time.Second

// explain logs why a step has waited for long.
func (b *Scheduler) explain(g *group, now time.Time) {
	if g.wanting.IsZero() || now.Sub(g.wanting) < explainAfter || now.Sub(g.explained) < explainAfter {
		return
	}
	g.explained = now
	for _, t := range g.tasks {
		if t.phase != waiting {
			continue
		}
		b.cfg.Log.Info("task waits for a place", "Task", t.key.String(), "For", now.Sub(g.wanting).Round(time.Millisecond), "Waiting", g.idle,
			"CPU", g.step.Need.CPU, "Memory", g.step.Need.Memory, "Label", g.step.Label, "Gang", g.step.Gang, "Fills", g.step.BestEffort, "Image", g.step.Image,
			"Obstacles", fmt.Sprint(b.obstacles(t, now)))
		return
	}
}
