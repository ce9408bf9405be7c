package dispatch

import (
	"slices"
	"time"

	"persimmonpick/table"
	"persimmonpick/workload"
)

// The weights of the score of a place; one unit is a worker that is used in full.
const (
	weightFar       = 4.0 // away from the data or from the rack of the gang
	weightImage     = 3.0 // tasks that serve of one image beside each other, since images bear different neighbours
	weightPressure  = 3.0 // load that tasks that fill add to tasks that serve
	weightTolerance = 2.0 // share of the images that a worker bears
	weightRetry     = 3.0 // the worker that failed the task before
	weightUnproven  = 1.0 // a task that has failed goes to workers that have finished something lately
	provenFor       = 10 * time.Second
	fillTo          = 1.0 // share of the capacity up to which tasks that fill are placed
	weightFit       = 2.0 // places that a task just fits in, when the capacity is nearly taken
	weightCrowd     = 0.9 // by which a crowd makes the use of processors count less than the fit
	crowdedFrom     = 0.7 // share of the capacity from which places that just fit count
	crowdedFull     = 0.9 // share from which they count in full
	maxPlaced       = 96  // tasks placed in one round, so that a round stays short
)

// shape is a need that found no place in this round.
type shape struct {
	need  table.Resources
	fills bool
	image string // of tasks that fill, since workers bear some images and not others
	plain bool   // no constraint that other steps may not share
}

// Decide places waiting tasks; they are started once their records are in the log.
func (b *Scheduler) Decide(now time.Time) {
	b.supervise(now)
	b.crowd = b.crowded(now)
	var refused []shape
	placed := 0
	b.unadvised = nil
	for _, g := range b.waitingGroups(now) {
		if placed >= maxPlaced {
			return
		}
		sh := shapeOf(g.step, g.job.queue.NeedsApproval)
		if hopeless(refused, sh) {
			g.wants(true, now)
			continue
		}
		n, all := b.placeGroup(g, now)
		placed += n
		g.wants(!all, now)
		if !all && g.job.queue.NeedsApproval {
			b.unadvised = append(b.unadvised, g)
		}
		if !all && sh.plain {
			refused = append(refused, sh)
		}
	}
}

func shapeOf(s *workload.Step, advised bool) shape {
	sh := shape{need: s.Need, fills: s.BestEffort, plain: s.Label == "" && s.MaxPerWorker == 0 && !s.Gang && !advised}
	if s.BestEffort {
		sh.image = s.Image
	}
	return sh
}

func hopeless(refused []shape, s shape) bool {
	for _, r := range refused {
		if r.fills == s.fills && r.image == s.image && r.need.Fits(s.need) {
			return true
		}
	}
	return false
}

// waitingGroups returns the steps with tasks to place, in the order in which they are placed.
func (b *Scheduler) waitingGroups(now time.Time) []*group {
	var gs []*group
	for _, j := range b.jobs {
		if j.state.Final() {
			continue
		}
		for _, occurrence := range j.groups {
			for _, g := range occurrence {
				if g.idle > 0 && g.ready() && g.waits(now) {
					gs = append(gs, g)
				}
			}
		}
	}
	b.order(gs, now)
	return gs
}

// due returns the objective of the occurrence that g belongs to.
func (g *group) due() time.Time {
	if d := g.job.spec.Due(g.occurrence); !d.IsZero() {
		return d.Add(g.job.deadline.Sub(g.job.submitted))
	}
	return g.job.deadline
}

func (g *group) waits(now time.Time) bool {
	for _, t := range g.tasks {
		if t.phase == waiting && !now.Before(t.notBefore) {
			return true
		}
	}
	return false
}

// placeGroup places the waiting tasks of g, all or none of a gang; it returns how many it placed and whether none was left for want of a place.
func (b *Scheduler) placeGroup(g *group, now time.Time) (int, bool) {
	if g.step.Gang {
		return b.placeGang(g, now)
	}
	n := 0
	var places []place
	for _, t := range g.tasks {
		if t.phase != waiting || now.Before(t.notBefore) {
			continue
		}
		var w *worker
		if t.failures > 0 {
			w = b.choose(t, now) // its own history counts
		} else {
			if places == nil {
				places = b.places(t, now)
			}
			w = b.takeBest(places, t, now)
		}
		if w == nil {
			return n, false
		}
		b.reserve(t, w)
		n++
	}
	return n, true
}

// place is a worker that fits the tasks of a step, with its score.
type place struct {
	w     *worker
	score float64
}

// places rates the workers for the tasks of one step, which differ in nothing else that counts.
func (b *Scheduler) places(t *task, now time.Time) []place {
	ps := make([]place, 0, len(b.workers))
	for _, w := range b.workers {
		if w.usable(now) && b.fits(t, w, now) {
			ps = append(ps, place{w, b.score(t, w, now)})
		}
	}
	return ps
}

// takeBest returns the best place for t and rates it anew for the next task, or returns nil if none is left.
func (b *Scheduler) takeBest(ps []place, t *task, now time.Time) *worker {
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
		if !b.fits(t, w, now) {
			ps[best].w = nil
			continue
		}
		if s := b.score(t, w, now); s > ps[best].score {
			ps[best].score = s // it was taken by the task before
			continue
		}
		return w
	}
}

// placeGang places all tasks of a gang under one run number.
func (b *Scheduler) placeGang(g *group, now time.Time) (int, bool) {
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
		w := b.choose(t, now)
		if w == nil {
			break
		}
		places = append(places, w)
		w.hold(t, reserved) // takes the room, which the next member cannot have
	}
	for i, w := range places {
		w.release(g.tasks[i])
	}
	if len(places) < len(g.tasks) {
		return 0, false
	}
	for i, t := range g.tasks {
		t.run, t.checkpoint = top, checkpoint
		b.reserve(t, places[i])
	}
	return len(g.tasks), true
}

// newestCheckpoint returns a checkpoint of any member, which holds for all of them.
func newestCheckpoint(g *group) string {
	best := ""
	for _, t := range g.tasks {
		if len(t.checkpoint) > len(best) || len(t.checkpoint) == len(best) && t.checkpoint > best {
			best = t.checkpoint
		}
	}
	return best
}

func (b *Scheduler) reserve(t *task, w *worker) {
	t.run++
	t.answered = time.Time{}
	w.hold(t, reserved)
	t.began = time.Time{}
	t.group.job.dirty = true
	b.placed = append(b.placed, t)
}

// choose returns the best worker for t, or nil if there is none.
func (b *Scheduler) choose(t *task, now time.Time) *worker {
	var best *worker
	var bestScore float64
	for _, w := range b.workers {
		if !w.usable(now) || !b.fits(t, w, now) {
			continue
		}
		s := b.score(t, w, now)
		if best == nil || s < bestScore || s == bestScore && w.info.ID < best.info.ID {
			best, bestScore = w, s
		}
	}
	return best
}

// obstacle is why a task may not run on a worker.
type obstacle string

// The obstacles, in the order in which they are looked for.
const (
	noObstacle        obstacle = ""
	obstacleUnfit     obstacle = "NotUsable" // draining, silent, failing or not looked at yet
	obstacleService   obstacle = "OtherService"
	obstacleLabel     obstacle = "LabelMissing"
	obstacleSize      obstacle = "TooLarge" // even for the worker when it is empty
	obstacleRoom      obstacle = "NoRoom"
	obstacleSpread    obstacle = "EnoughOfStep"
	obstacleNeighbors obstacle = "Neighbors" // tasks that serve there do not bear it
	obstaclePolicy    obstacle = "NotApproved"
	obstacleAdvice    obstacle = "NoTicket" // it must be asked whether the worker is approved
)

// fits says whether t may run on w, which must be usable.
func (b *Scheduler) fits(t *task, w *worker, now time.Time) bool {
	return b.obstacle(t, w, now) == noObstacle
}

// obstacle returns why t may not run on w, which must be usable.
func (b *Scheduler) obstacle(t *task, w *worker, now time.Time) obstacle {
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
		return obstacleSpread
	}
	if g.step.BestEffort {
		if o := b.neighbors(t, w); o != noObstacle {
			return o
		}
	}
	if g.job.queue.NeedsApproval {
		return g.verdictOn(w, now)
	}
	return noObstacle
}

// neighbors returns the obstacle that what runs on w is to t, which fills.
func (b *Scheduler) neighbors(t *task, w *worker) obstacle {
	s := t.group.step
	room := fillTo*float64(w.info.Capacity.CPU) - w.counted() - float64(w.fills)
	switch {
	case room < float64(s.Need.CPU) && (w.fills > 0 || room <= 0):
		return obstacleRoom
	case w.highest > tailHigh || w.paceOf(s.Image) != fullPace || !b.bearable(w, t):
		return obstacleNeighbors
	}
	return noObstacle
}

// obstacles counts the workers by why a task may not run there.
func (b *Scheduler) obstacles(t *task, now time.Time) map[obstacle]int {
	n := map[obstacle]int{}
	for _, w := range b.workers {
		if !w.usable(now) {
			n[obstacleUnfit]++
			continue
		}
		n[b.obstacle(t, w, now)]++
	}
	return n
}

// score rates a place for t; lower is better.
func (b *Scheduler) score(t *task, w *worker, now time.Time) float64 {
	g := t.group
	s := 0.0
	switch {
	case g.step.LatencyCritical():
		// Packing tasks that serve leaves whole workers to those that fill.
		s = -float64(w.serving) / w.processors()
		s += weightPressure * b.plannedLoad(w, g.step.Image, nil)
		if w.serves > 0 {
			s += weightImage * (1 - float64(w.byImage[g.step.Image])/float64(w.serves))
		}
	case g.step.BestEffort:
		// Workers that bear most images are left to those that few others bear.
		s = w.pressure() + weightTolerance*w.tolerance
		for image := range w.byImage {
			s += weightPressure * b.images.factor(g.step.Image, image) * float64(g.step.Need.CPU) / w.processors()
		}
	default:
		s = (1 - weightCrowd*b.crowd) * w.pressure()
	}
	if !g.step.BestEffort && b.crowd > 0 {
		// Room in pieces is of no use to large tasks.
		left := w.free().CPU - g.step.Need.CPU
		s += b.crowd * weightFit * float64(left) / w.processors()
	}
	if g.step.DataRack != "" && g.step.DataRack != w.info.Rack {
		s += weightFar * (b.cfg.Far - 1)
	}
	if g.step.OneRack && g.rack != "" && g.rack != w.info.Rack {
		s += weightFar * (b.cfg.Far - 1)
	}
	if t.failures == 0 {
		return s
	}
	if t.failedOn == w.info.ID {
		s += weightRetry
	}
	if now.Sub(w.lastDone) > provenFor || w.failStreak > 0 {
		s += weightUnproven
	}
	return s
}

// crowded returns how much of the capacity is taken, from 0 for little to 1 for nearly all.
func (b *Scheduler) crowded(now time.Time) float64 {
	var capacity, used table.Millicores
	for _, w := range b.workers {
		if w.usable(now) {
			capacity += w.info.Capacity.CPU
			used += w.used.CPU
		}
	}
	share := float64(used) / float64(max(1, capacity))
	return min(1, max(0, (share-crowdedFrom)/(crowdedFull-crowdedFrom)))
}
