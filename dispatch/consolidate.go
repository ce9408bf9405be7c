package dispatch

import (
	"maps"
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
	interruptionWeight = 2.0                     // of an interrupted core-second against one that is gained
	maxInterrupted     = 0.05                    // share of the latency-critical tasks that are stopped at a time
	maxClearingTried   = 16                      // clearings tried per round, so that a round stays short
)

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
	if movable <= 0 {
		return
	}
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
