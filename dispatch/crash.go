package dispatch

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"persimmonpick/table"
	"persimmonpick/workload"
)

// How worker crashes are counted against tasks. Only crashes in a row count: a run that works on ends the row.
const (
	suspectCrashes = 2 // make a task a suspect, which is started apart from other suspects
	maxCrashes     = 5 // after which a task is given up unless too few are known, or the evidence speaks for it

	provenAge  = time.Second            // a run that its worker lists so long after its start does not crash it
	settledAge = 300 * time.Millisecond // few tasks that crash their workers do so later
	pollMargin = 40 * time.Millisecond
	crashPause = 500 * time.Millisecond // added before the next start for each crash after the first

	// Before the next start of a task that is likely to crash its workers, if too few of its crashes are known; the
	// pause is multiplied with each further crash. Once so many have been counted it is the longest and does not end
	// early.
	firstUnknownPause   = time.Second
	unknownPauseFactor  = 4
	longestUnknownPause = 5 * time.Minute
	mostUnknownCrashes  = 8

	maxLoggedTasks = 4 // keys in the log line on a crash

	// Of the workers that were dropped and may be back, so many are kept for so long.
	maxGone  = 1000
	goneTime = 5 * time.Minute
)

// The ways in which a crash shows.
const (
	crashReplaced  = "worker replaced"
	crashRestarted = "worker restarted"
	crashGone      = "worker gone, lease ended"   // taken back if the incarnation answers again
	crashSilent    = "worker silent, lease ended" // taken back if the incarnation answers again
)

// mayCrash reports whether t can be the cause if its worker crashes.
func (t *task) mayCrash() bool { return !t.proven && t.phase != reserved }

// workerCrashed counts the end of the incarnation of w against the runs that can have caused it. It counts once a run,
// and against suspects only if w leaves by plan. Each incarnation has one crash, which may show in several ways.
func (sched *Scheduler) workerCrashed(w *worker, why string, now time.Time) {
	leaves := w.leavesByPlan()
	ended := why != crashSilent && !leaves
	c := w.currentCrash()
	if c == nil {
		c = &crash{worker: w, service: w.info.Service, incarnation: w.info.Incarnation, at: w.crashTime(now), silent: why == crashSilent}
	}
	if ended {
		c.gone = why == crashGone && (c.gone || !c.ended)
	}
	if ended && !c.ended {
		c.ended, c.silent = true, false
		sched.weighAgain(c)
		c.know()
	}
	var causes []*task
	for _, t := range w.tasks {
		if t.mayCrash() && !t.crashCounted && (why != crashSilent || !sched.heldForLateOrders(t, now)) && (!leaves || t.suspect()) && c.cause(t) == nil {
			causes = append(causes, t)
		}
	}
	if len(causes) == 0 && !ended {
		return
	}
	if w.crash != c {
		sched.crashedAt[w.info.Service] = now
		w.crash = c
	}
	c.likely = c.likely || slices.ContainsFunc(causes, func(t *task) bool {
		return !w.settled(t) && (t.started != startNotKnown || !sched.startOutcomes.of(c.service).areUnanswered(now))
	})
	if ended && !c.likely && !c.causeless && w.contacted && w.info.Incarnation != 0 {
		c.causeless = true
		sched.crashWithoutCause(w, now)
	}
	if len(causes) > 0 {
		sched.addCauses(c, causes, why, now)
	}
}

// currentCrash returns the crash that was counted of the present incarnation of w, or nil if there is none.
func (w *worker) currentCrash() *crash {
	if c := w.crash; c != nil && (c.incarnation == w.info.Incarnation || c.incarnation == 0) {
		return c
	}
	return nil
}

// addCauses counts c against the given tasks too, whose runs its worker still holds.
func (sched *Scheduler) addCauses(c *crash, causes []*task, why string, now time.Time) {
	w := c.worker
	slices.SortFunc(causes, func(a, b *task) int { return cmp.Compare(a.key.String(), b.key.String()) })
	if len(c.causes) == 0 {
		sched.counts.Crashes++
		c.unheard = !w.contacted
	}
	c.unheard = c.unheard && !recordedStart(causes)
	c.seenAt = now
	earlier := len(c.causes)
	var keys, suspects []string
	for _, t := range causes {
		keys = append(keys, t.key.String())
		if t.suspect() {
			suspects = append(suspects, t.key.String())
		}
		k := crashCause{task: t, run: t.run, row: t.crashRow, age: w.ageOf(t), started: t.started != startNotKnown, effect: 1}
		if !k.started {
			k.effect = sched.startOutcomes.of(c.service).effect(now)
		}
		if t.crashes == 0 {
			k.rate = sched.crashRateOf(t.group.job.queue.ID)
		}
		c.causes = append(c.causes, k)
		t.crashCounted, t.lastCrash = true, c
		t.recordEnd(why)
		sched.suspects[t] = true
	}
	sched.weighAgain(c)
	for i := earlier; i < len(c.causes); i++ {
		if k := &c.causes[i]; !(k.weight < leastWeight) {
			k.task.crashes++
			k.counted = true
		}
	}
	if c.ended {
		c.know()
	}
	sched.crashes = append(slices.DeleteFunc(sched.crashes, func(o *crash) bool { return o == c }), c)
	if len(suspects) > 0 {
		keys = suspects
	}
	sched.cfg.Log.Warn("worker crashed under task", "Worker", w.info.ID, "Why", why, "Tasks", len(w.tasks), "PossibleCauses", len(causes),
		"Earlier", earlier, "Suspects", len(suspects), "OtherCause", rounded(c.external), "Likeliest", rounded(sched.likeliest(c)),
		"Keys", fmt.Sprint(keys[:min(len(keys), maxLoggedTasks)]))
}

// know counts c as known against its causes, since its incarnation has ended.
func (c *crash) know() {
	for i := range c.causes {
		if k := &c.causes[i]; k.task != nil {
			k.know()
		}
	}
}

// crashTime returns when w crashed, as far as its silence tells.
func (w *worker) crashTime(now time.Time) time.Time {
	if w.missedPolls > 0 {
		return w.silentAt
	}
	return now
}

// recordedStart reports whether an earlier leader knew that one of the runs had taken effect, and so knew the
// incarnation of their worker.
func recordedStart(tasks []*task) bool {
	return slices.ContainsFunc(tasks, func(t *task) bool { return t.started == startRecorded })
}

// goneWorker is what is kept of a worker that was dropped, in case it is back.
type goneWorker struct {
	id    table.WorkerID
	at    time.Time
	crash *crash // counted since the incarnation was gone; nil if none was
}

// keepGone keeps what is needed of w, which is dropped, if it is back.
func (sched *Scheduler) keepGone(w *worker, now time.Time) {
	sched.droppedToken = max(sched.droppedToken, w.token)
	g := goneWorker{id: w.info.ID, at: now}
	if c := w.currentCrash(); c != nil && c.gone && c.incarnation != 0 {
		g.crash = c
	}
	sched.gone = append(sched.gone, g)
	for len(sched.gone) > 0 && (len(sched.gone) > maxGone || now.Sub(sched.gone[0].at) > goneTime) {
		sched.gone = sched.gone[1:]
	}
}

// restoreGone gives w, which is back, the crash that is kept of its incarnation.
func (sched *Scheduler) restoreGone(w *worker, now time.Time) {
	for i, g := range sched.gone {
		if g.id == w.info.ID && g.crash != nil && g.crash.incarnation == w.info.Incarnation {
			if now.Sub(g.at) <= goneTime {
				w.crash = g.crash
			}
			sched.gone = slices.Delete(sched.gone, i, i+1)
			return
		}
	}
}

// outdoDropped gives w, which may have been dropped before, a token that is newer than those of its orders then, and
// counts with late ones among these if it was.
func (sched *Scheduler) outdoDropped(w *worker) {
	w.token = max(w.token, sched.droppedToken+1)
	w.restarted = slices.ContainsFunc(sched.gone, func(g goneWorker) bool { return g.id == w.info.ID })
}

// answersAgain takes back the crash that was counted while w was silent or gone, since its incarnation has not ended.
func (w *worker) answersAgain() {
	c := w.currentCrash()
	if c == nil {
		return
	}
	w.crash = nil
	if c.ended && !c.gone {
		return
	}
	for _, k := range c.causes {
		if k.task != nil {
			k.task.takeBack(c)
		}
	}
}

// crashRefuted takes back the crash that was counted for the run of t, so that other runs are likelier to have caused
// it.
func (sched *Scheduler) crashRefuted(t *task) {
	if !t.crashCounted {
		return
	}
	t.crashCounted, t.listed = false, false
	if t.lastCrash == nil {
		t.takeBackRecorded()
		return
	}
	t.takeBack(t.lastCrash)
	sched.weighAgain(t.lastCrash)
}

// takeBackRecorded takes back the crash of the run of t that an earlier leader has counted.
func (t *task) takeBackRecorded() {
	t.evidence -= t.evidence / float64(max(1, t.crashes))
	t.crashes = max(0, t.crashes-1)
	if t.started != startNotKnown {
		t.knownCrashes = max(0, t.knownCrashes-1)
	}
	t.group.job.dirty = true
}

// takeBack takes c back, unless t has been cleared since.
func (t *task) takeBack(c *crash) {
	if t.lastCrash == nil {
		return
	}
	k := c.drop(t)
	if k.counted {
		t.crashes = max(0, t.crashes-1)
	}
	t.dropEnds(func(e runEnd) bool { return e.run == k.run })
	t.evidence -= k.weight
	t.group.job.dirty = true
}

// cleared ends the row of crashes of t.
func (t *task) cleared() {
	t.group.job.dirty = t.group.job.dirty || t.crashes > 0
	t.crashes, t.knownCrashes, t.evidence, t.lastCrash = 0, 0, 0, nil
	t.crashRow++
	t.dropEnds(func(e runEnd) bool { return e.how != endedFailed })
}

// startAnswered notes when the start of t was confirmed; its worker's clock does not run fast, so it was no later
// there.
func (w *worker) startAnswered(t *task, now time.Time) {
	if !w.clockAt.IsZero() && !t.listed {
		t.listed, t.listedAt = true, w.clock+WorkerClock(now.Sub(w.clockAt)/time.Millisecond)+1
	}
	t.confirmedAt, t.started = now, startAnswered
	t.group.job.dirty = t.group.job.dirty || t.crashes > 0 // the next leader is to know
	if t.orderedAt.After(w.aliveAt) {
		w.aliveAt = t.orderedAt
	}
	if t.watched || t.isolated {
		w.settleDueAt = now.Add(settledAge + pollMargin)
	}
}

// ageOf returns for how long the run of t has been at work on w at least, by the answers of w.
func (w *worker) ageOf(t *task) time.Duration {
	age := time.Duration(0)
	if t.listed {
		age = max(age, time.Duration(w.clock-t.listedAt)*time.Millisecond)
	}
	if !t.confirmedAt.IsZero() {
		age = max(age, w.aliveAt.Sub(t.confirmedAt))
	}
	return age
}

// settled reports whether the run of t has outlived the time in which most tasks that crash their workers do so.
func (w *worker) settled(t *task) bool { return t.proven || w.ageOf(t) >= settledAge }

// runListed applies to t that its worker lists its run.
func (sched *Scheduler) runListed(w *worker, t *task, r RunningTask) {
	sched.crashRefuted(t)
	t.seen = true
	if t.started == startNotKnown {
		t.started = startListed
		t.group.job.dirty = t.group.job.dirty || t.crashes > 0
	}
	if !t.listed {
		t.listed, t.listedAt = true, w.clock
	}
	if w.settled(t) {
		w.unwatch(t)
	}
	if t.proven || w.clock-t.listedAt < WorkerClock(provenAge/time.Millisecond) {
		return
	}
	w.unwatch(t)
	if !t.group.step.Gang || r.Percent > 0 { // it may wait for the other members
		sched.observeSound(t)
		t.cleared()
		t.proven = true
	}
}

// pauseAfterCrash returns how long t waits before its next start, whose last run ended with a crash of its worker.
func (sched *Scheduler) pauseAfterCrash(t *task) time.Duration {
	t.pauses, t.awaitsAnswers = false, false
	pause := time.Duration(max(0, t.crashes-1)) * crashPause
	switch {
	case sched.mustGiveUp(t):
		return max(pause, evidenceDelay)
	case t.started != startNotKnown, t.knownCrashes >= leastKnown:
		return pause
	case t.crashes < leastCrashes || t.crashes < maxCrashes && sched.likelihood(t) < isolatedLikelihood:
		return pause
	}
	// A deadly task must not start again each time that starts are answered for a while.
	t.pauses, t.awaitsAnswers = true, t.crashes < mostUnknownCrashes
	return max(pause, unknownPause(t.crashes))
}

// unknownPause returns how long a task waits after so many crashes if too few are known to be under its runs.
func unknownPause(crashes int) time.Duration {
	pause := firstUnknownPause
	for n := leastCrashes; n < crashes && pause < longestUnknownPause; n++ {
		pause = min(longestUnknownPause, pause*unknownPauseFactor)
	}
	return pause
}

// pauseEndsEarly reports whether t need not wait longer, since its next start is likely to be answered: the starts of
// others are, or no worker has crashed lately.
func (sched *Scheduler) pauseEndsEarly(t *task, now time.Time) bool {
	if !t.pauses || !t.awaitsAnswers || !now.Before(t.notBefore) {
		return false
	}
	service := t.group.job.queue.Service
	at, known := sched.crashedAt[service]
	if !known {
		at = now
		sched.crashedAt[service] = now
	}
	return now.Sub(at) >= calmTime || sched.startOutcomes.of(service).areAnswered(now)
}

// othersHaveShown reports whether t, which is to be given up, has waited for other crashes of the moment of its last
// one to show. After many crashes its pause may be longer than that takes.
func (t *task) othersHaveShown(now time.Time) bool {
	return !now.Before(t.notBefore) || t.crashes >= maxCrashes && t.lastCrash != nil && now.Sub(t.lastCrash.seenAt) >= evidenceDelay
}

// giveUpSuspects gives up the tasks that crash every worker by the evidence against them.
func (sched *Scheduler) giveUpSuspects(now time.Time) {
	for t := range sched.suspects {
		j := t.group.job
		switch {
		case t.crashes == 0 || t.phase == done || j.state.Final():
			delete(sched.suspects, t)
		case t.phase == waiting && !sched.mustGiveUp(t) && sched.pauseEndsEarly(t, now):
			t.pauses, t.awaitsAnswers = false, false
			t.notBefore = now
			sched.cfg.Log.Info("pause after unanswered starts ends early", "Task", t.key.String(), "Crashes", t.crashes, "KnownCrashes", t.knownCrashes)
		case t.phase == waiting && sched.mustGiveUp(t) && t.othersHaveShown(now):
			delete(sched.suspects, t)
			sched.counts.GivenUp++
			sched.cfg.Log.Warn("task given up", "Task", t.key.String(), "Run", t.run, "Crashes", t.crashes, "KnownCrashes", t.knownCrashes,
				"Likelihood", rounded(sched.likelihood(t)), "Runs", t.describeEnds())
			sched.finishJob(j, workload.Failed, now)
		}
	}
}
