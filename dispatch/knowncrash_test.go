package dispatch

import (
	"fmt"
	"testing"
	"time"

	"persimmonpick/table"
	"persimmonpick/workload"
)

// passUntilStarted lets time pass until a task has started so often.
func (s *crashSite) passUntilStarted(k workload.TaskKey, n int) {
	for end := s.now.Add(time.Minute); len(s.starts[k]) < n && s.now.Before(end); {
		s.pass(20 * time.Millisecond)
	}
}

// startSound starts a sound job of one task on a site whose workers crash in the given way.
func startSound(t *testing.T, way string, workers int) (*crashSite, workload.TaskKey) {
	s := newCrashSite(t, way, workers)
	s.answered = true
	s.pass(time.Second)
	s.submitJob("sound", step(1))
	return s, key("sound", 0, 0)
}

// Guards against a job that is failed after one run whose crash each new leader counts again.
func TestCrashOfOneRunCountsOnceThroughChangesOfLeader(t *testing.T) {
	s, k := startSound(t, backRestarted, 1)
	s.passUntilStarted(k, 1)
	w := s.workers[0]
	clear(w.running)
	s.losesPoll = func(PollOrder) bool { return true }
	for n := range 4 {
		w.info.Incarnation = table.UnixMillis(s.now.UnixMilli())
		s.SetWorker(w.info, s.now)
		s.pass(200 * time.Millisecond)
		if x := s.task(k); x != nil && x.knownCrashes > 1 {
			t.Errorf("leader %d knows of %d crashes under one run", n, x.knownCrashes)
		}
		if n < 3 {
			s.changeLeader()
		}
	}
	s.losesPoll = nil
	s.passUntilFinal(time.Minute)
	s.checkDeadly()
}

// Guards against a leave by plan that is taken for a known crash.
func TestPlannedLeaveIsNoKnownCrash(t *testing.T) {
	s, k := startSound(t, leftByPlan, 6)
	x := s.task(k)
	x.crashes, x.knownCrashes, x.evidence = 2, 1, 9.2
	s.suspects[x] = true
	s.passUntilStarted(k, 1)
	w := s.worker(x.worker.info.ID)
	w.info.Draining = true
	s.SetWorker(w.info, s.now)
	s.takeDown(w, leftByPlan)
	s.passUntilFinal(time.Minute)
	s.checkDeadly()
}

// Guards against a run at work that counts as crashed with the life before, since its answer came first.
func TestStartAnsweredByANewLifeIsNoKnownCrash(t *testing.T) {
	s, k := startSound(t, backRestarted, 1)
	w := s.workers[0]
	s.losesPoll = func(PollOrder) bool { return true }
	w.info.Incarnation = table.UnixMillis(s.now.UnixMilli())
	s.passUntilStarted(k, 1)
	s.SetWorker(w.info, s.now)
	s.pass(40 * time.Millisecond)
	s.changeLeader()
	s.losesPoll = nil
	s.pass(200 * time.Millisecond)
	if x := s.task(k); x.crashes > 0 || x.knownCrashes > 0 {
		t.Errorf("%d crashes, %d known, of a task that is at work", x.crashes, x.knownCrashes)
	}
}

// Guards against a deadly task that starts again each time that another start is answered.
func TestStartsOfAnUnansweredTaskAreBoundedBesideOthers(t *testing.T) {
	t.Parallel()
	for _, gap := range []time.Duration{time.Second, 3 * time.Second, 5 * time.Second, 8 * time.Second} {
		t.Run(fmt.Sprint(gap), func(t *testing.T) {
			t.Parallel()
			s := newCrashSite(t, backReplaced, 12)
			s.pass(time.Second)
			s.submitJob("deadly", step(1))
			began := s.now
			for n := 0; s.now.Sub(began) < 5*time.Minute; n++ {
				s.submitJob(fmt.Sprintf("sound%d", n), step(1))
				s.pass(gap)
			}
			if at := s.starts[key("deadly", 0, 0)]; len(at) > maxUndecidedStarts {
				t.Errorf("%d starts in five minutes, of %d at most", len(at), maxUndecidedStarts)
			}
		})
	}
}

// Guards against a job that is failed since its workers were cut off and left the list. Red, see KNOWN-RED.txt.
func TestWorkersCutOffAreNoKnownCrashes(t *testing.T) {
	s, k := startSound(t, onlySilent, 8)
	for n := 1; n <= 5; n++ {
		s.passUntilStarted(k, n)
		for _, w := range s.workers {
			if w.running[k] != nil && w.way == "" {
				s.takeDown(w, onlySilent)
				w.downTo = s.now.Add(time.Minute)
				s.pass(3 * time.Second)
				s.RemoveWorker(w.info.ID, s.now)
			}
		}
	}
	s.passUntilFinal(3 * time.Minute)
	if s.loggedState("sound") == workload.Failed {
		t.Error("the job is failed, and no worker has crashed")
	}
}

// Guards against a sound task that pauses on after the trouble, for longer than LOST allows. Red, see KNOWN-RED.txt.
func TestSoundTaskStartsSoonAfterAllIsCalm(t *testing.T) {
	for _, crashes := range []int{3, 4, 5, 6, 7} {
		t.Run(fmt.Sprint(crashes), func(t *testing.T) {
			s, k := startSound(t, backReplaced, 8)
			seen := 0
			s.losesStart = func(o StartOrder) bool {
				if seen == crashes {
					return false
				}
				seen++
				s.takeDown(s.worker(o.Worker), backReplaced)
				return true
			}
			for end := s.now.Add(10 * time.Minute); seen < crashes && s.now.Before(end); {
				s.pass(20 * time.Millisecond)
			}
			s.pass(4 * time.Second) // the worker is back
			calm := s.now
			for end := s.now.Add(10 * time.Minute); len(s.starts[k]) == 0 && s.now.Before(end); {
				s.pass(20 * time.Millisecond)
			}
			if idle := s.now.Sub(calm); idle > 3*time.Second {
				t.Errorf("idle for %v after %d crashes", idle, crashes)
			}
		})
	}
}

// Guards against runs that count as at work until their lease ends, as the worker that replaced theirs crashed soon.
func TestRunsAreLostThoughTheReplacementOfTheirWorkerCrashesAtOnce(t *testing.T) {
	s := newCrashSite(t, backReplaced, 1)
	s.answered = true
	s.pass(time.Second)
	s.submitJob("sound", step(1))
	s.pass(100 * time.Millisecond)
	s.submitJob("deadly1", step(1))
	s.pass(100 * time.Millisecond)
	s.submitJob("deadly2", step(1))
	began := s.now
	sound := s.task(key("sound", 0, 0))
	for sound.worker != nil && sound.run == 1 && s.now.Sub(began) < 20*time.Second {
		s.pass(20 * time.Millisecond)
	}
	s.is.True(s.crashes > 0)
	if took := s.now.Sub(began); took > 3500*time.Millisecond {
		t.Errorf("the run is lost after %v", took)
	}
}
