package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"persimmonpick/table"
)

// Parameters of consolidation.
const (
	consolidateInterval = 500 * time.Millisecond
	consolidateDelay    = 1 * time.Second // a step that waits for less may still find a place
	// Time for which a cleared worker gets latency-critical tasks only if they fit nowhere else.
	clearedTime = 15 * time.Second
	// Time within which the processors gained must outweigh the interruption.
	consolidateHorizon = 10 * time.Second
	interruption       = 2500 * time.Millisecond // from the stop of a long-running task until it works elsewhere
	interruptionWeight = 2.0                     // of a core-second of latency-critical work against one of best-effort work
	maxInterrupted     = 0.05                    // share of the latency-critical tasks that are stopped at a time
	maxClearingTried   = 16                      // clearings tried per round, so that a round stays short
)

// blockedImage is a best-effort image of a service whose tasks wait although processors are idle.
type blockedImage struct {
	service table.ServiceID
	image   string
	cpu     float64 // millicores that its waiting tasks need
}

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

// consolidate moves latency-critical tasks together where best-effort images wait for lack of workers that tolerate
// them, and gain more than the interruption costs.
//
// It answers the load of busy days on which best-effort images disturb most latency-critical ones: these tasks wait
// while the workers that do not tolerate them are half idle.
func (sched *Scheduler) consolidate(now time.Time) {
	if now.Sub(sched.consolidatedAt) < consolidateInterval {
		return
	}
	sched.consolidatedAt = now
	movable := sched.movableTasks()
	blocked := sched.blockedImages(now)
	taken := map[*worker]table.Resources{} // by the clearings of this round
	for tried, c := range sched.clearings(blocked, now) {
		if tried >= maxClearingTried || len(blocked) == 0 {
			return
		}
		// Earlier clearings may have changed what is blocked, and used c.w as a destination.
		current := sched.planClearing(c.w, c.image, blocked)
		_, isDestination := taken[c.w]
		if current == nil || current.gain() <= 0 || len(current.tasks) > movable || now.Before(c.w.clearedUntil) || isDestination {
			continue
		}
		destinations := sched.destinations(current, blocked, taken, now)
		if destinations == nil {
			continue
		}
		sched.carryOut(current, destinations, taken, now)
		movable -= len(current.tasks)
		blocked = sched.unblocked(blocked, current)
	}
}

// movableTasks returns how many more latency-critical tasks may be moved now. It withdraws moves that were not carried
// out because of a disruption budget.
func (sched *Scheduler) movableTasks() int {
	moving, critical := 0, 0
	for _, w := range sched.workers {
		critical += w.criticalTasks
		for _, t := range w.tasks {
			switch {
			case t.stopReason != whyConsolidated:
			case t.phase == running:
				t.stopReason = ""
			default:
				moving++
			}
		}
	}
	return max(1, int(maxInterrupted*float64(critical))) - moving
}

// blockedImages returns the images of steps that have long waited for a place and can still be of use, those that need
// most processors first. Steps that few workers can run for other reasons, such as a label, do not count.
func (sched *Scheduler) blockedImages(now time.Time) []blockedImage {
	var blocked []blockedImage
	for _, g := range sched.unplacedGroups() {
		q := g.job.queue
		if !g.step.BestEffort || !needOf(g.step, q).plain || now.Sub(g.unplacedSince) <= consolidateDelay || sched.rate(g, now).prospect == tooLate {
			continue
		}
		i := slices.IndexFunc(blocked, func(b blockedImage) bool { return b.service == q.Service && b.image == g.step.Image })
		if i < 0 {
			i = len(blocked)
			blocked = append(blocked, blockedImage{service: q.Service, image: g.step.Image})
		}
		blocked[i].cpu += float64(g.waitingTasks) * float64(g.step.Need.CPU)
	}
	slices.SortFunc(blocked, func(a, b blockedImage) int {
		return cmp.Or(cmp.Compare(b.cpu, a.cpu), cmp.Compare(a.service, b.service), cmp.Compare(a.image, b.image))
	})
	return blocked
}

// unplacedGroups returns the steps of which the last decision left tasks without a place.
func (sched *Scheduler) unplacedGroups() []*group {
	var unplaced []*group
	for _, j := range sched.jobs {
		if j.state.Final() {
			continue
		}
		for _, gs := range j.groups {
			for _, g := range gs {
				if !g.unplacedSince.IsZero() {
					unplaced = append(unplaced, g)
				}
			}
		}
	}
	return unplaced
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
		case !s.LongRunning || s.Gang || t.phase != running || t.percent != fullPercent || t.stopReason != "" || !t.withinDisruptionBudget():
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

// destinations returns the workers that the tasks of c move to, or nil if one has no place beside what is taken.
func (sched *Scheduler) destinations(c *clearing, blocked []blockedImage, taken map[*worker]table.Resources, now time.Time) []*worker {
	added := maps.Clone(taken)
	places := make([]*worker, 0, len(c.tasks))
	for _, t := range c.tasks {
		var best *worker
		for _, w := range sched.workers {
			if w == c.w || w.criticalTasks == 0 || now.Before(w.clearedUntil) || !w.usable(now) || !t.group.need().Fits(w.free().Minus(added[w])) {
				continue
			}
			if !sched.fits(t, w, now) || !sched.staysTolerant(w, t.group.step.Image, blocked) {
				continue
			}
			if best == nil || w.criticalCPU > best.criticalCPU || w.criticalCPU == best.criticalCPU && w.info.ID < best.info.ID {
				best = w
			}
		}
		if best == nil {
			return nil
		}
		added[best] = added[best].Plus(t.group.need())
		places = append(places, best)
	}
	return places
}

// staysTolerant reports whether w, with a task of a latency-critical image added, tolerates the blocked images that it
// tolerates now, and the best-effort tasks on it.
func (sched *Scheduler) staysTolerant(w *worker, critical string, blocked []blockedImage) bool {
	if w.criticalByImage[critical] > 0 {
		return true
	}
	for _, b := range blocked {
		if b.service == w.info.Service && !sched.interference.tolerates(critical, b.image) && sched.interference.allTolerate(w.criticalByImage, b.image) {
			return false
		}
	}
	for bestEffort := range w.bestEffortByImage {
		if !sched.interference.tolerates(critical, bestEffort) {
			return false
		}
	}
	return true
}

// carryOut stops the tasks of c, so that they are placed at their destinations.
func (sched *Scheduler) carryOut(c *clearing, destinations []*worker, taken map[*worker]table.Resources, now time.Time) {
	c.w.clearedUntil = now.Add(clearedTime)
	for i, t := range c.tasks {
		to := destinations[i]
		taken[to] = taken[to].Plus(t.group.need())
		t.stopReason, t.destination = whyConsolidated, to.info.ID
		sched.counts.Moved++
		sched.cfg.Log.Info("moving run", "Task", t.key.String(), "Run", t.run, "Worker", c.w.info.ID, "Why", whyConsolidated, "To", to.info.ID)
	}
	sched.cfg.Log.Info("clearing worker", "Worker", c.w.info.ID, "For", c.image, "Tasks", len(c.tasks), "Gained", int(c.gained), "CoreSeconds", int(c.gain()))
}
