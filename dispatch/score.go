package dispatch

import (
	"time"

	"persimmonpick/table"
)

// Weights of the score of a place; a score of one is a worker whose processors are all in use.
const (
	weightRemote = 4.0 // in another rack than the data or the rest of the gang
	// Keeps latency-critical tasks of one image together, since images tolerate different best-effort images.
	weightImage     = 3.0
	weightCleared   = 10.0 // more than all other terms for a latency-critical task
	weightPressure  = 3.0  // load that best-effort tasks add to latency-critical tasks
	weightTolerance = 2.0  // share of the best-effort images that a worker tolerates
	weightRetry     = 3.0  // the worker on which the task failed or stalled last
	weightUnproven  = 1.0  // keeps a task that has failed off workers without a recent success
	provenWindow    = 10 * time.Second
	weightFit       = 2.0 // prefers places that a task just fits in when capacity is scarce
	weightScarcity  = 0.9 // by which scarcity reduces the weight of processor use relative to the fit
	scarceFrom      = 0.7 // share of the capacity in use from which the fit counts
	scarceFull      = 0.9 // share from which it counts in full
)

// Weights that outweigh all other terms.
const (
	weightQuarantine = 20.0
	weightRefused    = 50.0 // the worker that refused the task last
)

// score rates a place for t; lower is better.
func (sched *Scheduler) score(t *task, w *worker, now time.Time) float64 {
	g := t.group
	s := 0.0
	switch {
	case g.step.LatencyCritical():
		// Packing latency-critical tasks leaves whole workers to best-effort tasks.
		s = -float64(w.criticalCPU) / w.processors()
		s += weightPressure * sched.plannedLoad(w, g.step.Image, nil)
		if now.Before(w.clearedUntil) {
			s += weightCleared
		}
		if t.destination == w.info.ID {
			s -= weightCleared
		}
		if w.criticalTasks > 0 {
			s += weightImage * (1 - float64(w.criticalByImage[g.step.Image])/float64(w.criticalTasks))
		}
	case g.step.BestEffort:
		// Workers that tolerate most images are left to the images that few others tolerate.
		s = w.estimatedUse() + weightTolerance*w.tolerance
		if w.worstTail > tailHigh || w.cpuPercentOf(g.step.Image) != fullPercent {
			s += weightPressure // only a starved task may go there
		}
		for image := range w.criticalByImage {
			s += weightPressure * sched.interference.coefficient(g.step.Image, image) * float64(g.step.Need.CPU) / w.processors()
		}
	default:
		s = (1 - weightScarcity*sched.scarcity) * w.estimatedUse()
	}
	if !g.step.BestEffort && sched.scarcity > 0 {
		// Fragmented free capacity is of no use to large tasks.
		left := w.free().CPU - g.step.Need.CPU
		s += sched.scarcity * weightFit * float64(left) / w.processors()
	}
	if g.step.DataRack != "" && g.step.DataRack != w.info.Rack {
		s += weightRemote * (sched.cfg.RemoteFactor - 1)
	}
	if g.step.OneRack && g.rack != "" && g.rack != w.info.Rack {
		s += weightRemote * (sched.cfg.RemoteFactor - 1)
	}
	if t.refusedBy == w.info.ID {
		s += weightRefused
	}
	if w.quarantined(now) {
		s += weightQuarantine + float64(w.quarantinedUntil.Sub(now))/float64(longestQuarantine)
	}
	if t.stall.on == w.info.ID {
		s += weightRetry
	}
	s += w.suspicion(t)
	if t.failures == 0 {
		return s
	}
	if t.lastFailedOn == w.info.ID {
		s += weightRetry
	}
	if now.Sub(w.lastSuccessAt) > provenWindow || w.failStreak > 0 {
		s += weightUnproven
	}
	return s
}

// capacityScarcity returns how scarce capacity is, from 0 (plenty) to 1 (nearly all in use).
func (sched *Scheduler) capacityScarcity(now time.Time) float64 {
	var capacity, used table.Millicores
	for _, w := range sched.workers {
		if w.usable(now) {
			capacity += w.info.Capacity.CPU
			used += w.used.CPU
		}
	}
	share := float64(used) / float64(max(1, capacity))
	return min(1, max(0, (share-scarceFrom)/(scarceFull-scarceFrom)))
}
