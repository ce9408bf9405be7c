package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"persimmonpick/table"
)

// How suspects are kept apart from other runs.
const (
	weightSuspect  = 20.0 // in the score, keeps runs that may crash the worker apart
	weightNeighbor = 1.0  // for each task that would lose its run by the crash of a suspect

	// A starved suspect that has waited so long for a worker without another one is started beside it.
	separation = 2 * time.Second
	// From this likelihood, and before the last start, a suspect starts beside settled runs only.
	isolatedLikelihood = 0.2
	isolationStep      = 1.0         // of the logarithm of the odds; within a step those that have waited longest come first
	spareRuns          = 0.9         // that a suspect may be expected to end while many workers are away
	isolationTime      = time.Second // for which a worker is kept free for a suspect
	// Suspects are isolated on this share of the workers of a service at least, and on others as long as so many remain
	// for other tasks: this share, and this many times what their tasks reserve.
	leastIsolating = 0.125
	maxIsolating   = 0.5 // of the usable workers, of those that are isolated at least
	leastRemaining = 0.25
	remainingRoom  = 2.0
	returning      = 0.9             // share of the usual workers below which others are about to return
	crashTime      = 4 * time.Second // for which a crash takes a worker away, about
	sizeDecay      = 0.998           // of the usual number of workers, with each check for idle jobs
)

// suspect reports whether t may crash every worker that starts it. A task that worked on for longer than such tasks do
// before its worker crashed is none.
func (t *task) suspect() bool { return t.crashes >= suspectCrashes && t.evidence >= 0 }

// isolates reports whether t may start beside settled runs only, and no other beside it until it is settled.
func (sched *Scheduler) isolates(t *task) bool {
	return t.crashes > 0 && !t.group.step.Gang && (t.lastAttempt() || sched.likelihood(t) >= isolatedLikelihood)
}

// lastAttempt reports whether one more known crash makes t one to be given up.
func (t *task) lastAttempt() bool { return t.crashes >= maxCrashes-1 && t.knownCrashes >= leastKnown-1 }

// prepareWatch notes how likely t crashes w, on which it is to start.
func (sched *Scheduler) prepareWatch(t *task, w *worker) {
	sched.startTurn(t, w)
	if t.crashes == 0 {
		return
	}
	t.risk, t.isolated = sched.likelihood(t), sched.isolates(t)
	if i := sched.isolations[w.info.Service]; t.isolated && i != nil && w.keptFor != t {
		i.isolating++
	}
	if w.keptFor == t {
		w.keptFor = nil
	}
}

// isolationRank ranks tasks that are to be isolated by likelihood, in steps of its odds; it is 0 for others,
// and less for those whose turn it is.
func (sched *Scheduler) isolationRank(t *task) int {
	switch {
	case t.turn:
		return -1
	case !sched.isolates(t):
		return 0
	}
	l := sched.likelihood(t)
	return 1 + max(0, int(math.Log(l/(1-l))/isolationStep-math.Log(isolatedLikelihood/(1-isolatedLikelihood))/isolationStep))
}

// watch counts a task that was assigned to w and may crash it.
func (w *worker) watch(t *task) {
	if t.isolated {
		w.isolated++
	}
	switch {
	case t.watched:
	case t.suspect():
		t.watched = true
		w.watched++
	case t.risk > 0:
		w.risk += t.risk
	}
}

func (w *worker) unwatch(t *task) {
	if t.isolated {
		w.isolated--
	}
	if t.watched {
		w.watched--
	} else {
		w.risk -= t.risk
	}
	t.watched, t.isolated, t.risk = false, false, 0
}

// waitsForRoom reports whether a task of g can be placed that no suspect, or being one, keeps from a worker.
func (sched *Scheduler) waitsForRoom(g *group, now time.Time) bool {
	return slices.ContainsFunc(g.tasks, func(t *task) bool {
		return t.placeable(now) && !t.suspect() && !sched.isolates(t)
	})
}

// separated reports whether t must not run on w because of a suspect, since a crash would not tell which run is the
// cause. The members of a gang are given up together. What has been starved for separation goes beside suspects.
func (sched *Scheduler) separated(w *worker, t *task, now time.Time) bool {
	waited := t.starvedFor(separation, now)
	switch {
	case sched.isolates(t):
		return w.isolated > 0 || w.isKeptFromOthers(t, now) || w.hasUnsettled(t) || !sched.mayIsolateOn(w, t, now)
	case w.isolated > 0:
		return true
	case w.isKeptFromOthers(t, now) && !waited:
		return true
	case t.crashes == 0 || !t.suspect() || w.watched == 0 || waited:
		return false
	}
	for _, o := range w.tasks {
		if o.watched && (o.group != t.group || !t.group.step.Gang) {
			return true
		}
	}
	return false
}

// starvedFor reports whether t is starved, and has been without a place that it could have taken for so long.
func (t *task) starvedFor(d time.Duration, now time.Time) bool {
	return t.starved && now.Sub(t.idleSince) >= d && now.Sub(t.notBefore) >= d
}

// isKeptFor reports whether w is kept for t; isKeptFromOthers reports whether it is kept for another task.
func (w *worker) isKeptFor(t *task, now time.Time) bool {
	return w.keptFor == t && now.Before(w.keptUntil)
}

func (w *worker) isKeptFromOthers(t *task, now time.Time) bool {
	return w.keptFor != nil && w.keptFor != t && now.Before(w.keptUntil)
}

// mayIsolateOn reports whether t may be isolated on w. A task whose turn it is may be on any worker.
func (sched *Scheduler) mayIsolateOn(w *worker, t *task, now time.Time) bool {
	return t.turn || sched.spares(w, t, now) && (w.isKeptFor(t, now) || sched.mayIsolate(w.info.Service))
}

// hasUnsettled reports whether a run on w, other than that of t, is likely to crash it if it does at all.
func (w *worker) hasUnsettled(t *task) bool {
	for _, o := range w.tasks {
		if o != t && !w.settled(o) {
			return true
		}
	}
	return false
}

// unsettled returns the number of such runs.
func (w *worker) unsettled() int {
	n := 0
	for _, t := range w.tasks {
		if !w.settled(t) {
			n++
		}
	}
	return n
}

// isolation counts the workers of a service on which suspects may be isolated.
type isolation struct {
	usable, isolating int
	size              float64          // usual number of workers
	used, capacity    table.Millicores // of the usable ones
	turns             []turn           // that are not over, see takeTurns
	usableSince       time.Time        // when a worker was usable for the first time after none was
}

// mayIsolate reports whether one more worker of the service may be used to isolate a suspect.
func (sched *Scheduler) mayIsolate(s table.ServiceID) bool {
	i := sched.isolations[s]
	return i != nil && float64(i.isolating) < i.limit()
}

// limit returns on how many workers suspects may be isolated.
func (i *isolation) limit() float64 {
	inUse := float64(i.used) / float64(max(1, i.capacity)) * float64(i.usable)
	return max(1, min(leastIsolating*i.size, maxIsolating*float64(i.usable)), float64(i.usable)-max(leastRemaining*i.size, remainingRoom*inUse))
}

// spares reports whether t may crash w without ending many runs. While many workers are away, others return without
// runs, and a task that has waited for one may start beside short runs, the fewer the likelier it crashes the worker.
func (sched *Scheduler) spares(w *worker, t *task, now time.Time) bool {
	i := sched.isolations[w.info.Service]
	return len(w.tasks) == 0 || i == nil || float64(i.usable) >= returning*i.size ||
		w.longRunning == 0 && sched.likelihood(t)*float64(len(w.tasks)) <= spareRuns && now.Sub(t.notBefore) >= separation
}

// hasPlace reports whether a worker could take t if suspects are left out of account.
func (sched *Scheduler) hasPlace(t *task, now time.Time) bool {
	for _, w := range sched.workers {
		if w.offered(t, now) && sched.obstacleBesideSuspects(t, w, now) == noObstacle {
			return true
		}
	}
	return false
}

// heldBySuspects reports whether a worker could take t but for the suspects there.
func (sched *Scheduler) heldBySuspects(t *task, now time.Time) bool {
	for _, w := range sched.workers {
		if w.offered(t, now) && sched.obstacle(t, w, now) == obstacleSuspect {
			return true
		}
	}
	return false
}

// turn lets a suspect start on any worker.
type turn struct {
	task   *task
	worker *worker // nil until it is placed
	at     time.Time
}

// turnOver reports whether n takes no worker away any more: its run is settled or did not take effect, or a crash has
// been over for long. A turn for which no worker is found or kept ends too.
func (sched *Scheduler) turnOver(n turn, now time.Time) bool {
	t, w := n.task, n.worker
	if w == nil {
		return t.phase != waiting || t.group.job.state.Final() || !sched.isolates(t) || now.Sub(n.at) >= isolationTime || !sched.hasPlace(t, now)
	}
	return now.Sub(n.at) >= crashTime || w.reachable(now) && (t.worker != w || w.settled(t))
}

// takeTurns gives the suspects that have waited longest for isolation, or since their last turn, and for which a
// worker has room, their turns, which bounds their wait whatever others come. There are so few turns at a time
// that by the crashes that they may cause few workers are away. A wait without any worker does not count.
func (sched *Scheduler) takeTurns(waiting []*task, now time.Time) {
	free := 0
	for _, i := range sched.isolations {
		i.turns = slices.DeleteFunc(i.turns, func(n turn) bool {
			over := sched.turnOver(n, now)
			n.task.turn = n.task.turn && !(over && n.worker == nil)
			return over
		})
		free += max(0, i.maxTurns()-len(i.turns))
	}
	if free == 0 {
		return
	}
	var longest []*task
	for _, t := range waiting {
		if !t.turn && !t.idleSince.IsZero() && now.Sub(t.idleSince) >= separation && now.Sub(t.notBefore) >= separation && sched.isolates(t) {
			longest = append(longest, t)
		}
	}
	slices.SortFunc(longest, func(a, b *task) int {
		return cmp.Or(a.turnDue().Compare(b.turnDue()), cmp.Compare(sched.isolationRank(a), sched.isolationRank(b)), cmp.Compare(a.key.String(), b.key.String()))
	})
	for _, t := range longest {
		i := sched.isolations[t.group.job.queue.Service]
		if i == nil || now.Sub(i.usableSince) < separation || len(i.turns) >= i.maxTurns() || !sched.hasPlace(t, now) {
			continue
		}
		t.turn, t.turnAt = true, now
		i.turns = append(i.turns, turn{task: t, at: now})
	}
}

// turnDue orders the tasks that wait for a turn.
func (t *task) turnDue() time.Time {
	if t.turnAt.After(t.idleSince) {
		return t.turnAt
	}
	return t.idleSince
}

// startTurn notes that the turn of t, if it has one, begins on w.
func (sched *Scheduler) startTurn(t *task, w *worker) {
	if !t.turn {
		return
	}
	t.turn = false
	i := sched.isolations[t.group.job.queue.Service]
	for n := range i.turns {
		if i.turns[n].task == t && i.turns[n].worker == nil {
			i.turns[n].worker, i.turns[n].at = w, sched.decidedAt
		}
	}
}

// maxTurns returns how many turns there are at a time.
func (i *isolation) maxTurns() int { return max(1, int(leastIsolating*i.size)) }

// countIsolations counts the workers on which suspects are isolated.
func (sched *Scheduler) countIsolations(now time.Time) {
	for _, i := range sched.isolations {
		*i = isolation{size: i.size, turns: i.turns, usableSince: i.usableSince}
	}
	for _, w := range sched.workers {
		if !w.reachable(now) {
			continue
		}
		i := sched.isolations[w.info.Service]
		if i == nil {
			i = &isolation{usableSince: now}
			sched.isolations[w.info.Service] = i
		}
		i.usable++
		i.used += w.used.CPU
		i.capacity += w.info.Capacity.CPU
		if w.keptFor != nil && (w.keptFor.phase != waiting || !now.Before(w.keptUntil)) {
			w.keptFor = nil
		}
		if w.isolated > 0 || w.keptFor != nil {
			i.isolating++
		}
	}
	for _, i := range sched.isolations {
		i.size = max(i.size, float64(i.usable))
		if i.usable == 0 {
			i.usableSince = now
		}
	}
}

// keepWorkerFor keeps new tasks off a worker until its runs are settled and t, a suspect to be isolated that found no
// place, can start there.
func (sched *Scheduler) keepWorkerFor(t *task, now time.Time) {
	if !sched.isolates(t) || !t.turn && !sched.mayIsolate(t.group.job.queue.Service) {
		return
	}
	var best *worker
	fewest := 0
	for _, w := range sched.workers {
		if w.isKeptFor(t, now) {
			return
		}
		if !w.offered(t, now) || w.isolated > 0 || w.isKeptFromOthers(t, now) || !t.turn && !sched.spares(w, t, now) || sched.obstacleBesideSuspects(t, w, now) != noObstacle {
			continue
		}
		n := w.unsettled()
		if best == nil || n < fewest || n == fewest && w.info.ID < best.info.ID {
			best, fewest = w, n
		}
	}
	if best == nil {
		return
	}
	best.keptFor, best.keptUntil = t, now.Add(isolationTime)
	best.settleDueAt = now.Add(settledAge + pollMargin)
	sched.isolations[best.info.Service].isolating++
	sched.cfg.Log.Debug("worker kept for a suspect", "Worker", best.info.ID, "Task", t.key.String(), "Unsettled", fewest)
}

// suspicion returns the part of the score that keeps t and the runs on w from being taken for each other's crashes.
func (w *worker) suspicion(t *task) float64 {
	s := weightSuspect * (float64(w.watched) + max(0, w.risk))
	if t.crashes == 0 {
		return s
	}
	alone := weightNeighbor * float64(len(w.tasks))
	for _, o := range w.tasks {
		if !w.settled(o) {
			alone += weightSuspect
		}
	}
	if t.suspect() {
		return alone
	}
	return s + t.risk*alone
}
