package dispatch

import (
	"slices"
	"time"

	"persimmonpick/table"
	"persimmonpick/workload"
)

// maxPlaced is the number of tasks placed per round, so that a round stays short.
const maxPlaced = 96

// rejectedNeed is the need of a step whose tasks found no place in this round.
type rejectedNeed struct {
	service    table.ServiceID
	need       table.Resources
	bestEffort bool
	image      string // of best-effort tasks, since workers tolerate some images and not others
	// No label, gang, limit per worker or approval, so the rejection holds for other steps with the same need.
	plain bool
}

// Decide places waiting tasks; they are started once their records are in the log.
func (sched *Scheduler) Decide(now time.Time) {
	sched.supervise(now)
	sched.moveFromZones(now)
	sched.consolidate(now)
	sched.scarcity = sched.capacityScarcity(now)
	sched.decidedAt = now
	sched.giveUpSuspects(now)
	sched.countIsolations(now)
	if sched.startsHeld {
		return
	}
	var rejected []rejectedNeed
	sched.roomWanted = false
	sched.awaitingApproval = nil
	placed := sched.placeBound(now)
	placed += sched.placeLongestWaiting(now)
	for _, g := range sched.waitingGroups(now) {
		if placed >= maxPlaced {
			return
		}
		need := needOf(g.step, g.job.queue)
		if !g.hasStarvedTask() && alreadyRejected(rejected, need) {
			g.recordUnplaced(true, now)
			continue
		}
		n, all := sched.placeGroup(g, now)
		placed += n
		g.recordUnplaced(!all, now)
		if !all && g.job.queue.NeedsApproval && !slices.Contains(sched.awaitingApproval, g) {
			sched.awaitingApproval = append(sched.awaitingApproval, g)
		}
		if !all && need.plain && sched.waitsForRoom(g, now) {
			rejected = append(rejected, need)
			sched.roomWanted = true
		}
	}
}

func needOf(s *workload.Step, q workload.Queue) rejectedNeed {
	n := rejectedNeed{
		service: q.Service, need: s.Need, bestEffort: s.BestEffort,
		plain: s.Label == "" && s.MaxPerWorker == 0 && !s.Gang && !q.NeedsApproval,
	}
	if s.BestEffort {
		n.image = s.Image
	}
	return n
}

// alreadyRejected reports whether a step that needs no more than n found no place in this round.
func alreadyRejected(rejected []rejectedNeed, n rejectedNeed) bool {
	for _, r := range rejected {
		if r.service == n.service && r.bestEffort == n.bestEffort && r.image == n.image && r.need.Fits(n.need) {
			return true
		}
	}
	return false
}

// waitingGroups returns the steps with tasks to place, in the order in which they are placed.
func (sched *Scheduler) waitingGroups(now time.Time) []*group {
	gs := sched.openGroups(func(g *group) bool { return g.waitingTasks > 0 && g.ready() && g.hasPlaceableTask(now) })
	sched.sortGroups(gs, now)
	return gs
}

// openGroups returns the steps of jobs that are not final for which matches holds, in any order.
func (sched *Scheduler) openGroups(matches func(*group) bool) []*group {
	var gs []*group
	for _, j := range sched.jobs {
		if j.state.Final() {
			continue
		}
		for _, occurrence := range j.groups {
			for _, g := range occurrence {
				if matches(g) {
					gs = append(gs, g)
				}
			}
		}
	}
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
		if t.placeable(now) {
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
	n, all := sched.placeStarved(g, now), true
	var places []place
	for _, t := range g.tasks {
		if !t.placeable(now) {
			continue
		}
		if t.starved {
			all = false
			continue // there was no place for it
		}
		if sched.isolates(t) {
			all = false
			continue // as placeLongestWaiting left it
		}
		var w *worker
		if t.failures > 0 || t.crashes > 0 || t.refusedBy != "" {
			w = sched.choose(t, now) // its own failures, crashes and refusals count
		} else {
			if places == nil {
				places = sched.places(t, now)
			}
			w = sched.takeBest(places, t, now)
		}
		if w == nil && t.suspect() {
			all = false
			continue
		}
		if w == nil {
			return n, false
		}
		sched.reserve(t, w, now)
		n++
	}
	return n, all
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
		if w.offered(t, now) && sched.fits(t, w, now) {
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

func (sched *Scheduler) reserve(t *task, w *worker, now time.Time) {
	if w.quarantinedFor(t, now) {
		w.probedAt = now
		sched.cfg.Log.Info("starved task placed in quarantine", "Task", t.key.String(), "Worker", w.info.ID, "Why", w.quarantineReason, "Until", w.quarantinedUntil)
	}
	run := t.nextRun(w)
	t.repeated = run == t.run
	t.run, t.startResolvedAt = run, time.Time{}
	if t.starved && t.group.step.BestEffort && w.criticalTasks > 0 {
		w.imposedAt = now
	}
	sched.prepareWatch(t, w)
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
		if t.bound && w.info.ID != t.late.worker || !w.offered(t, now) || !sched.fits(t, w, now) {
			continue
		}
		s := sched.score(t, w, now)
		if best == nil || s < bestScore || s == bestScore && w.info.ID < best.info.ID {
			best, bestScore = w, s
		}
	}
	return best
}
