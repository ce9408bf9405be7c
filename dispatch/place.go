package dispatch

import (
	"slices"
	"time"

	"persimmonpick/table"
	"persimmonpick/workload"
)

// Weights of the score of a place; a score of one is a worker whose processors are all in use.
const (
	weightRemote = 4.0 // in another rack than the data or the rest of the gang
	// Keeps latency-critical tasks of one image together, since images tolerate different best-effort images.
	weightImage     = 3.0
	weightCleared   = 10.0 // more than all other terms for a latency-critical task
	weightPressure  = 3.0  // load that best-effort tasks add to latency-critical tasks
	weightTolerance = 2.0  // share of the best-effort images that a worker tolerates
	weightRetry     = 3.0  // the worker that failed the task before
	weightUnproven  = 1.0  // keeps a task that has failed off workers without a recent success
	provenWindow    = 10 * time.Second
	bestEffortLimit = 1.0 // share of the capacity up to which best-effort tasks are placed
	weightFit       = 2.0 // prefers places that a task just fits in when capacity is scarce
	weightScarcity  = 0.9 // by which scarcity reduces the weight of processor use relative to the fit
	scarceFrom      = 0.7 // share of the capacity in use from which the fit counts
	scarceFull      = 0.9 // share from which it counts in full
	maxPlaced       = 96  // tasks placed per round, so that a round stays short
)

// rejectedNeed is the need of a step whose tasks found no place in this round.
type rejectedNeed struct {
	need       table.Resources
	bestEffort bool
	image      string // of best-effort tasks, since workers tolerate some images and not others
	// No label, gang, limit per worker or approval, so the rejection holds for other steps with the same need.
	plain bool
}

// Decide places waiting tasks; they are started once their records are in the log.
func (sched *Scheduler) Decide(now time.Time) {
	sched.supervise(now)
	sched.consolidate(now)
	sched.scarcity = sched.capacityScarcity(now)
	var rejected []rejectedNeed
	placed := 0
	sched.awaitingApproval = nil
	for _, g := range sched.waitingGroups(now) {
		if placed >= maxPlaced {
			return
		}
		need := needOf(g.step, g.job.queue.NeedsApproval)
		if alreadyRejected(rejected, need) {
			g.recordUnplaced(true, now)
			continue
		}
		n, all := sched.placeGroup(g, now)
		placed += n
		g.recordUnplaced(!all, now)
		if !all && g.job.queue.NeedsApproval {
			sched.awaitingApproval = append(sched.awaitingApproval, g)
		}
		if !all && need.plain {
			rejected = append(rejected, need)
		}
	}
}

func needOf(s *workload.Step, needsApproval bool) rejectedNeed {
	n := rejectedNeed{need: s.Need, bestEffort: s.BestEffort, plain: s.Label == "" && s.MaxPerWorker == 0 && !s.Gang && !needsApproval}
	if s.BestEffort {
		n.image = s.Image
	}
	return n
}

// alreadyRejected reports whether a step that needs no more than n found no place in this round.
func alreadyRejected(rejected []rejectedNeed, n rejectedNeed) bool {
	for _, r := range rejected {
		if r.bestEffort == n.bestEffort && r.image == n.image && r.need.Fits(n.need) {
			return true
		}
	}
	return false
}

// waitingGroups returns the steps with tasks to place, in the order in which they are placed.
func (sched *Scheduler) waitingGroups(now time.Time) []*group {
	var gs []*group
	for _, j := range sched.jobs {
		if j.state.Final() {
			continue
		}
		for _, occurrence := range j.groups {
			for _, g := range occurrence {
				if g.waitingTasks > 0 && g.ready() && g.hasPlaceableTask(now) {
					gs = append(gs, g)
				}
			}
		}
	}
	sched.sortGroups(gs, now)
	return gs
}

// startsFrom returns the time from which the objective of the occurrence that g belongs to counts.
func (g *group) startsFrom() time.Time {
	if d := g.job.spec.Due(g.occurrence); !d.IsZero() {
		return d
	}
	return g.job.submitted
}

func (g *group) hasPlaceableTask(now time.Time) bool {
	for _, t := range g.tasks {
		if t.phase == waiting && !now.Before(t.notBefore) {
			return true
		}
	}
	return false
}

// placeGroup places the waiting tasks of g, or all or none of a gang. It returns the number of placed tasks, and
// false if tasks are left that found no place.
func (sched *Scheduler) placeGroup(g *group, now time.Time) (int, bool) {
	if g.step.Gang {
		return sched.placeGang(g, now)
	}
	n := 0
	var places []place
	for _, t := range g.tasks {
		if t.phase != waiting || now.Before(t.notBefore) {
			continue
		}
		var w *worker
		if t.failures > 0 {
			w = sched.choose(t, now) // its own failures count
		} else {
			if places == nil {
				places = sched.places(t, now)
			}
			w = sched.takeBest(places, t, now)
		}
		if w == nil {
			return n, false
		}
		sched.reserve(t, w)
		n++
	}
	return n, true
}

// place is a worker that fits the tasks of a step, with its score.
type place struct {
	w     *worker
	score float64
}

// places returns the workers that fit t, with their scores. They hold for all tasks of its step that have not failed.
func (sched *Scheduler) places(t *task, now time.Time) []place {
	ps := make([]place, 0, len(sched.workers))
	for _, w := range sched.workers {
		if w.usable(now) && sched.fits(t, w, now) {
			ps = append(ps, place{w, sched.score(t, w, now)})
		}
	}
	return ps
}

// takeBest returns the best worker for t, or nil if none is left. It raises the scores of workers to which earlier
// tasks of the step were assigned.
func (sched *Scheduler) takeBest(ps []place, t *task, now time.Time) *worker {
	for {
		best := -1
		for i, p := range ps {
			if p.w != nil && (best < 0 || p.score < ps[best].score || p.score == ps[best].score && p.w.info.ID < ps[best].w.info.ID) {
				best = i
			}
		}
		if best < 0 {
			return nil
		}
		w := ps[best].w
		if !sched.fits(t, w, now) {
			ps[best].w = nil
			continue
		}
		if s := sched.score(t, w, now); s > ps[best].score {
			ps[best].score = s // an earlier task has taken room there
			continue
		}
		return w
	}
}

// placeGang places all tasks of a gang under one run number.
func (sched *Scheduler) placeGang(g *group, now time.Time) (int, bool) {
	top := g.tasks[0].run
	for _, t := range g.tasks {
		if t.phase != waiting || now.Before(t.notBefore) {
			return 0, true // members of the last run have not ended yet
		}
		top = max(top, t.run)
	}
	checkpoint := newestCheckpoint(g)
	g.rack = ""
	places := make([]*worker, 0, len(g.tasks))
	for _, t := range g.tasks {
		w := sched.choose(t, now)
		if w == nil {
			break
		}
		places = append(places, w)
		w.assign(t, reserved) // reserves the room, so that the next member cannot have it
	}
	for i, w := range places {
		w.release(g.tasks[i])
	}
	if len(places) < len(g.tasks) {
		return 0, false
	}
	for i, t := range g.tasks {
		t.run, t.checkpoint = top, checkpoint
		sched.reserve(t, places[i])
	}
	return len(g.tasks), true
}

// newestCheckpoint returns the newest checkpoint of the members of a gang, by length and then by its bytes; it is valid
// for all of them.
func newestCheckpoint(g *group) string {
	best := ""
	for _, t := range g.tasks {
		if len(t.checkpoint) > len(best) || len(t.checkpoint) == len(best) && t.checkpoint > best {
			best = t.checkpoint
		}
	}
	return best
}

func (sched *Scheduler) reserve(t *task, w *worker) {
	t.run++
	t.startResolvedAt = time.Time{}
	w.assign(t, reserved)
	t.startedAt, t.destination = time.Time{}, ""
	t.group.job.dirty = true
	sched.reserved = append(sched.reserved, t)
}

// choose returns the best worker for t, or nil if there is none.
func (sched *Scheduler) choose(t *task, now time.Time) *worker {
	var best *worker
	var bestScore float64
	for _, w := range sched.workers {
		if !w.usable(now) || !sched.fits(t, w, now) {
			continue
		}
		s := sched.score(t, w, now)
		if best == nil || s < bestScore || s == bestScore && w.info.ID < best.info.ID {
			best, bestScore = w, s
		}
	}
	return best
}

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
)

// fits reports whether t may run on w, which must be usable.
func (sched *Scheduler) fits(t *task, w *worker, now time.Time) bool {
	return sched.obstacle(t, w, now) == noObstacle
}

// obstacle returns why t may not run on w, which must be usable.
func (sched *Scheduler) obstacle(t *task, w *worker, now time.Time) obstacle {
	g := t.group
	switch {
	case w.info.Service != g.job.queue.Service:
		return obstacleService
	case g.step.Label != "" && !slices.Contains(w.info.Labels, g.step.Label):
		return obstacleLabel
	case now.Before(w.fullUntil) || !g.need().Fits(w.free()):
		if !g.need().Fits(w.info.Capacity) {
			return obstacleSize
		}
		return obstacleRoom
	case g.step.MaxPerWorker > 0 && g.perWorker[w.info.ID] >= g.step.MaxPerWorker:
		return obstacleMaxPerWorker
	}
	if g.step.BestEffort {
		if o := sched.neighborObstacle(t, w); o != noObstacle {
			return o
		}
	}
	if g.job.queue.NeedsApproval {
		return g.approvalObstacle(w, now)
	}
	return noObstacle
}

// neighborObstacle returns the obstacle that the tasks on w are to t, a best-effort task.
func (sched *Scheduler) neighborObstacle(t *task, w *worker) obstacle {
	s := t.group.step
	room := w.bestEffortRoom()
	switch {
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
