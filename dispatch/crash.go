package dispatch

import (
	"fmt"
	"slices"
	"time"

	"persimmonpick/workload"
)

// How worker crashes are counted against tasks. Only crashes in a row count: a run that works on ends the row.
const (
	suspectCrashes = 2 // make a task a suspect, which is started apart from others
	// Crashes after which a task is given up: if no other run can have caused the last one, if no other suspect can
	// have, and in any case.
	provenCrashes = 3
	likelyCrashes = 4
	maxCrashes    = 5

	provenAge  = time.Second            // a run that is listed twice, so far apart, does not crash its worker
	crashPause = 500 * time.Millisecond // added before the next start for each crash after the first

	weightSuspect  = 20.0 // in the score, keeps runs that may crash the worker apart
	weightNeighbor = 1.0  // for each task that would lose its run by the crash of a suspect

	maxLoggedTasks = 4 // keys in the log line on a crash
)

// crashEvidence tells how surely a run has crashed its worker.
type crashEvidence uint8

const (
	noCrash crashEvidence = iota
	possibleCause
	onlySuspect // the only suspect among the possible causes
	onlyCause
)

// The ways in which a crash shows.
const (
	crashReplaced  = "worker replaced"
	crashRestarted = "worker restarted"
	crashGone      = "worker gone, lease ended"
	crashSilent    = "worker silent, lease ended" // taken back if the incarnation answers again
)

// suspect reports whether t may crash every worker that starts it.
func (t *task) suspect() bool { return t.crashes >= suspectCrashes }

// watch marks a suspect that was assigned to w.
func (w *worker) watch(t *task) {
	if t.suspect() && !t.watched {
		t.watched = true
		w.watched++
	}
}

func (w *worker) unwatch(t *task) {
	if t.watched {
		t.watched = false
		w.watched--
	}
}

// mayCrash reports whether t can be the cause if its worker crashes.
func (t *task) mayCrash() bool { return !t.proven && t.phase != reserved }

// workerCrashed counts the end of the incarnation of w against the runs that can have caused it. It counts once a run,
// and against suspects only if w leaves by plan.
func (sched *Scheduler) workerCrashed(w *worker, why string, now time.Time) {
	if why != crashSilent {
		w.lostRuns = nil
	}
	leaves := w.info.Draining || w.evacuating || w.leaseBound.covers(w.info.Incarnation)
	var causes []*task
	var suspects []string
	for _, t := range w.tasks {
		if !t.mayCrash() || t.crash != noCrash || why == crashSilent && t.heldByUnansweredStart(now) || leaves && !t.suspect() {
			continue
		}
		causes = append(causes, t)
		if t.suspect() {
			suspects = append(suspects, t.key.String())
		}
	}
	if len(causes) == 0 {
		return
	}
	// What an earlier leader has proven of the other runs is not known.
	sure := w.contacted && why != crashSilent
	for _, t := range causes {
		switch {
		case sure && len(causes) == 1:
			t.crash = onlyCause
		case sure && len(suspects) == 1 && t.suspect():
			t.crash = onlySuspect
		default:
			t.crash = possibleCause
		}
		t.crashes++
		t.group.job.dirty = true
		if why == crashSilent {
			w.rememberLost(t)
		}
	}
	sched.counts.Crashes++
	keys := suspects
	if len(keys) == 0 {
		for _, t := range causes {
			keys = append(keys, t.key.String())
		}
	}
	slices.Sort(keys)
	sched.cfg.Log.Warn("worker crashed under task", "Worker", w.info.ID, "Why", why, "Tasks", len(w.tasks), "PossibleCauses", len(causes),
		"Suspects", len(suspects), "Keys", fmt.Sprint(keys[:min(len(keys), maxLoggedTasks)]))
}

func (w *worker) rememberLost(t *task) {
	if w.lostRuns == nil {
		w.lostRuns = map[workload.TaskKey]workload.RunNumber{}
	}
	w.lostRuns[t.key] = t.run
}

// answersAgain takes back the crashes that were counted while w was silent, since its incarnation has not ended.
func (sched *Scheduler) answersAgain(w *worker) {
	for key := range w.lostRuns {
		if t := sched.task(key); t != nil && t.crashes > 0 {
			t.crashes--
			t.group.job.dirty = true
		}
	}
	w.lostRuns = nil
}

// crashRefuted takes back the crash that was counted for the run of t.
func (t *task) crashRefuted() {
	if t.crash == noCrash {
		return
	}
	t.crash, t.listed = noCrash, false
	t.crashes = max(0, t.crashes-1)
	t.group.job.dirty = true
}

// runListed applies to t that its worker lists its run.
func (w *worker) runListed(t *task, r RunningTask) {
	t.crashRefuted()
	if !t.listed {
		t.listed, t.listedAt = true, w.clock
	}
	if t.proven || w.clock-t.listedAt < WorkerClock(provenAge/time.Millisecond) {
		return
	}
	w.unwatch(t)
	if !t.group.step.Gang || r.Percent > 0 { // it may wait for the other members
		t.group.job.dirty = t.group.job.dirty || t.crashes > 0
		t.proven, t.crashes = true, 0
	}
}

// settleCrash gives t up, which has just lost its run, if its crashes show that it crashes every worker.
func (sched *Scheduler) settleCrash(t *task, evidence crashEvidence, w *worker, now time.Time) {
	j := t.group.job
	certain := t.crashes >= maxCrashes || evidence == onlySuspect && t.crashes >= likelyCrashes || evidence == onlyCause && t.crashes >= provenCrashes
	if !certain || j.state.Final() {
		return
	}
	sched.counts.GivenUp++
	sched.cfg.Log.Warn("task given up", "Task", t.key.String(), "Run", t.run, "Crashes", t.crashes, "Worker", w.info.ID, "OnlyCause", evidence == onlyCause)
	sched.finishJob(j, workload.Failed, now)
}

// waitsForRoom reports whether a task of g can be placed that no other suspect keeps from a worker.
func (g *group) waitsForRoom(now time.Time) bool {
	return slices.ContainsFunc(g.tasks, func(t *task) bool {
		return t.phase == waiting && !now.Before(t.notBefore) && !t.suspect()
	})
}

// separated reports whether t, a suspect, must not run on w, since the next crash would not tell which of two suspects
// is the cause. The members of a gang are given up together.
func (w *worker) separated(t *task) bool {
	if w.watched == 0 || !t.suspect() {
		return false
	}
	for _, o := range w.tasks {
		if o.watched && (o.group != t.group || !t.group.step.Gang) {
			return true
		}
	}
	return false
}

// suspicion returns the part of the score that keeps t and the runs on w from being taken for each other's crashes.
func (w *worker) suspicion(t *task) float64 {
	if !t.suspect() {
		return weightSuspect * float64(w.watched)
	}
	s := weightNeighbor * float64(len(w.tasks))
	for _, o := range w.tasks {
		if !o.proven {
			s += weightSuspect
		}
	}
	return s
}
