package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"persimmonpick/table"
	"persimmonpick/workload"
)

// Guards against members of a gang that keep each other from the only worker.
func TestGangBesideADeadlyTaskCompletes(t *testing.T) {
	s := newCrashSite(t, backRestarted, 1)
	s.pass(time.Second)
	gang := step(3)
	gang.Gang = true
	s.submitJob("sound", gang)
	s.submitJob("deadly", step(1))
	s.passUntilFinal(2 * time.Minute)
	s.check(false)
}

// The worker is silent for longer than an unanswered start can still take effect.
func TestCrashUnderAnUnansweredStartIsCountedInALongOutage(t *testing.T) {
	s := newCrashSite(t, backLate, 8)
	s.pass(time.Second)
	s.onOrders = func() {
		for _, w := range s.workers {
			if w.crashAt.IsZero() {
				continue
			}
			w.crashAt = time.Time{}
			s.crashes++
			s.takeDown(w, backLate)
			w.downTo = s.now.Add(testTerm + lateOrderLimit + 5*time.Second)
		}
	}
	s.submitJob("deadly", step(1))
	s.passUntilFinal(4 * time.Minute)
	s.check(false)
}

func TestNextLeaderKnowsThatARunEndedARowOfCrashes(t *testing.T) {
	is := is.New(t)
	s := newCrashSite(t, backRestarted, 4)
	s.takes = time.Minute
	s.pass(time.Second)
	s.submitJob("sound", step(1))
	s.task(key("sound", 0, 0)).crashes = maxCrashes - 1
	s.pass(5 * time.Second)
	is.Equal(s.task(key("sound", 0, 0)).crashes, 0)
	s.changeLeader()
	is.Equal(s.task(key("sound", 0, 0)).crashes, 0)
}

func TestRefusedSuspectGoesElsewhere(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.addWorkers("a", "b")
	r.submit("k", step(1))
	busy := r.placeAndStart()[0].Worker
	r.submit("j", step(1))
	suspect := r.task(key("j", 0, 0))
	suspect.crashes, suspect.refusedBy = suspectCrashes, "a"
	if busy == "a" {
		suspect.refusedBy = "b"
	}
	is.Equal(r.placeAndStart()[0].Worker, busy)
}

func TestCrashOfALeavingWorkerCountsAgainstSuspects(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.addWorkers("a")
	r.submit("j", step(2))
	r.task(key("j", 0, 0)).crashes = suspectCrashes
	r.placeAndStart()
	r.drain("a")
	info := r.workerInfo("a")
	info.Incarnation = 2
	r.SetWorker(info, r.now)
	is.Equal(r.task(key("j", 0, 0)).crashes, suspectCrashes+1)
	is.Equal(r.task(key("j", 0, 1)).crashes, 0)
}

// Another deadly job comes each time before the sound task starts again on the only worker.
func TestSoundTaskBesideFreshDeadlyTasksIsNotGivenUp(t *testing.T) {
	s := newCrashSite(t, backRestarted, 1)
	s.answered = true
	s.pass(time.Second)
	s.submitJob("sound", step(1))
	s.submitJob("deadly0", step(1))
	n := 0
	for end := s.now.Add(2 * time.Minute); s.now.Before(end); {
		s.pass(20 * time.Millisecond)
		sound := s.task(key("sound", 0, 0))
		if sound != nil && sound.phase == waiting && sound.crashes > n && n < maxCrashes && s.workers[0].way == "" &&
			!s.now.Add(20*time.Millisecond).Before(sound.notBefore) {
			n = sound.crashes
			s.submitJob(fmt.Sprintf("deadly%d", n), step(1))
		}
	}
	s.checkDeadly()
}

// Red, see KNOWN-RED.txt.
func TestTaskThatCrashesItsWorkerLateIsGivenUp(t *testing.T) {
	s := newCrashSite(t, backRestarted, 4)
	s.answered = true
	s.takes = time.Minute
	s.pass(time.Second)
	crashAt := map[*simWorker]time.Time{}
	s.onOrders = func() {
		for _, w := range s.workers {
			if !w.crashAt.IsZero() {
				w.crashAt, crashAt[w] = time.Time{}, s.now.Add(provenAge+500*time.Millisecond)
			}
		}
	}
	s.submitJob("deadly", step(1))
	for end := s.now.Add(time.Minute); s.now.Before(end); {
		s.pass(20 * time.Millisecond)
		for w, at := range crashAt {
			if !s.now.Before(at) {
				delete(crashAt, w)
				s.takeDown(w, s.way)
			}
		}
	}
	s.checkDeadly()
}

func TestSoundSuspectsDoNotWaitForEachOther(t *testing.T) {
	s := newCrashSite(t, backRestarted, 2)
	s.answered = true
	s.pass(time.Second)
	for i := range 12 {
		s.submitJob(fmt.Sprintf("sound%d", i), step(1))
	}
	s.submitJob("deadly", step(2))
	worst, waits := time.Duration(0), map[table.JobID]time.Time{}
	for end := s.now.Add(90 * time.Second); s.now.Before(end); {
		s.pass(20 * time.Millisecond)
		allUp := s.up(s.workers[0]) && s.up(s.workers[1])
		for id, j := range s.jobs {
			if id == "deadly" || j.state.Final() {
				continue
			}
			switch {
			case !allUp || s.task(key(string(id), 0, 0)).phase != waiting:
				delete(waits, id)
			case waits[id].IsZero():
				waits[id] = s.now
			default:
				worst = max(worst, s.now.Sub(waits[id]))
			}
		}
	}
	s.checkDeadly()
	if worst > 3*time.Second {
		t.Errorf("a sound job waits for %v while all workers are up", worst)
	}
	s.is.Equal(s.loggedState("deadly"), workload.Failed)
}
