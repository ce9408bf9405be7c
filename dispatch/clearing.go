package dispatch

import (
	"cmp"
	"slices"
	"time"

	"persimmonpick/table"
)

// clearing is a plan to move latency-critical tasks off a worker, so that it tolerates blocked images.
type clearing struct {
	w      *worker
	image  string           // best-effort image that the tasks do not tolerate
	tasks  []*task          // to be moved
	kept   map[string]int   // latency-critical images that stay
	moved  table.Millicores // that the tasks reserve
	gained float64          // millicores that blocked images can use afterwards
}

// gain returns the core-seconds that c gains, less those of the interruption.
func (c *clearing) gain() float64 {
	used := criticalCPUUse * float64(c.moved) // elsewhere afterwards
	milli := (c.gained-used)*consolidateHorizon.Seconds() - interruptionWeight*float64(c.moved)*interruption.Seconds()
	return milli / 1000
}

// admits reports whether tasks of b can run on the worker of c afterwards.
func (c *clearing) admits(model *interferenceModel, b blockedImage) bool {
	return b.service == c.w.info.Service && model.allTolerate(c.kept, b.image)
}

// unblocked returns what stays blocked once images can use what c gains.
func (sched *Scheduler) unblocked(blocked []blockedImage, c *clearing) []blockedImage {
	var left []blockedImage
	gained := c.gained
	for _, b := range blocked {
		if c.admits(sched.interference, b) {
			by := min(gained, b.cpu)
			gained -= by
			b.cpu -= by
		}
		if b.cpu > 0 {
			left = append(left, b)
		}
	}
	return left
}

// clearings returns the plans that gain, the largest gain first.
func (sched *Scheduler) clearings(blocked []blockedImage, now time.Time) []*clearing {
	var cs []*clearing
	for _, w := range sched.workers {
		if w.criticalTasks == 0 || !w.usable(now) || now.Before(w.clearedUntil) {
			continue
		}
		for _, b := range blocked {
			if b.service != w.info.Service {
				continue
			}
			if c := sched.planClearing(w, b.image, blocked); c != nil && c.gain() > 0 {
				cs = append(cs, c)
			}
		}
	}
	slices.SortFunc(cs, func(a, b *clearing) int {
		return cmp.Or(cmp.Compare(b.gain(), a.gain()), cmp.Compare(a.w.info.ID, b.w.info.ID), cmp.Compare(a.image, b.image))
	})
	return cs
}

// planClearing plans to move the tasks that do not tolerate image off w. It returns nil if there are none, or if one
// cannot be moved now.
func (sched *Scheduler) planClearing(w *worker, image string, blocked []blockedImage) *clearing {
	c := &clearing{w: w, image: image, kept: map[string]int{}}
	for _, t := range w.tasks {
		s := t.group.step
		switch {
		case !s.LatencyCritical():
		case sched.interference.tolerates(s.Image, image):
			c.kept[s.Image]++
		case !s.LongRunning || s.Gang || t.phase != running || t.percent != fullPercent || t.stopReason != "" || t.justLeftZone(sched.decidedAt) || t.late.mayComeAt(sched.decidedAt) || !t.withinDisruptionBudget():
			return nil
		default:
			c.tasks = append(c.tasks, t)
			c.moved += s.Need.CPU
		}
	}
	if len(c.tasks) == 0 {
		return nil
	}
	slices.SortFunc(c.tasks, func(a, b *task) int { return cmp.Compare(a.key.String(), b.key.String()) })
	waiting := 0.0
	for _, b := range blocked {
		if c.admits(sched.interference, b) {
			waiting += b.cpu
		}
	}
	c.gained = min(waiting, w.bestEffortRoom()+criticalCPUUse*float64(c.moved))
	return c
}
