package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"persimmonpick/fault"
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

// Guards against a long pause though the start before it was answered.
func TestPauseMayEndEarlyOnceAStartWasAnswered(t *testing.T) {
	const answered = 4 // run
	is := is.New(t)
	s, k := startSound(t, backReplaced, 8)
	s.losesStart = func(o StartOrder) bool {
		if o.Task != k || o.Run == answered {
			return false
		}
		s.takeDown(s.worker(o.Worker), backReplaced)
		return true
	}
	x := s.task(k)
	crashedAt := s.now
	for end := s.now.Add(2 * time.Minute); x.run < answered+2 && s.now.Before(end); {
		s.submitJob(fmt.Sprint("other", s.now.UnixMilli()), step(1)) // whose start is answered
		s.pass(20 * time.Millisecond)
		if x.run == answered && x.started == startAnswered && s.up(s.worker(x.worker.info.ID)) {
			s.takeDown(s.worker(x.worker.info.ID), backReplaced)
		}
		if x.crashes <= answered {
			crashedAt = s.now
		}
	}
	is.Equal(x.knownCrashes, 1)
	is.Equal(x.crashes, answered+1)
	is.True(s.now.Sub(crashedAt) < unknownPause(x.crashes))
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

// Guards against a sound job that is failed at its fifth crash before other crashes of the same moment show.
func TestFifthCrashWaitsForOthersOfItsMoment(t *testing.T) {
	s, k := startSound(t, backReplaced, 12)
	s.pass(time.Second)
	x := s.task(k)
	s.requeue(x, s.now, 0)
	for _, w := range s.workers {
		delete(w.running, k)
	}
	x.crashes, x.knownCrashes, x.evidence = 4, 2, 2
	s.suspects[x] = true
	s.starts[k] = nil
	s.passUntilStarted(k, 1)
	n := 0
	for _, w := range s.workers {
		if w == s.worker(x.worker.info.ID) {
			s.takeDown(w, backReplaced)
		} else if n < 8 {
			n++
			s.takeDown(w, backReplaced)
			w.downTo = w.downTo.Add(600 * time.Millisecond)
		}
	}
	s.passUntilFinal(time.Minute)
	s.checkDeadly()
}

// Guards against runs that count as crashed since a poll of before their incarnation was refused.
func TestLateRefusalByAnEarlierLifeEndsNoRun(t *testing.T) {
	for _, c := range []struct{ heard, answered bool }{{true, true}, {true, false}, {false, false}} {
		t.Run(fmt.Sprintf("%+v", c), func(t *testing.T) {
			is := is.New(t)
			r := newRig()
			r.SetWorker(r.workerInfo("w"), r.now)
			if c.heard {
				r.answerPolls(nil)
			}
			r.now = r.now.Add(time.Second)
			o, sent := r.PollOrders(r.now, true)[0], r.now
			refuse := func() { r.PollDone(o, sent, PollReply{}, fault.New(fault.NotCurrent, "421"), r.now) }
			r.now = r.now.Add(time.Second)
			info := r.workerInfo("w")
			info.Incarnation = 2
			r.SetWorker(info, r.now)
			answer := func() {
				r.now = r.now.Add(pollPause)
				for _, p := range r.PollOrders(r.now, true) {
					l := r.listRunning("w")
					l.Incarnation = 2
					r.PollDone(p, r.now, l, nil, r.now)
				}
			}
			if !c.answered {
				refuse()
			}
			answer()
			r.submit("j", step(1))
			is.Equal(len(r.placeAndStart()), 1)
			answer()
			x := r.task(key("j", 0, 0))
			is.Equal(x.phase, running)
			if c.answered {
				refuse()
			}
			if x.phase != running || x.crashes > 0 || x.knownCrashes > 0 {
				t.Errorf("run that is at work: phase %s, %d crashes, %d known", x.phase, x.crashes, x.knownCrashes)
			}
		})
	}
}

// Guards against a crash that is counted as known since a new leader has not read the list of workers.
func TestWorkerOfAnUnreadListIsNotGone(t *testing.T) {
	s, k := startSound(t, backReplaced, 1)
	s.takes = time.Minute
	x := s.task(k)
	x.crashes, x.knownCrashes, x.evidence = 1, 1, 3
	s.suspects[x] = true
	s.passUntilStarted(k, 1)
	s.pass(100 * time.Millisecond)
	s.listUnread, s.losesPoll = true, func(PollOrder) bool { return true }
	s.changeLeader()
	s.pass(20 * time.Second)
	x = s.task(k)
	if x.phase != waiting || x.knownCrashes > 1 {
		t.Errorf("phase %s, %d crashes, %d known; the lease ended, and no list was read", x.phase, x.crashes, x.knownCrashes)
	}
	s.losesPoll = nil
	s.readList()
	s.pass(200 * time.Millisecond)
	if x.crashes > 1 || x.knownCrashes > 1 {
		t.Errorf("%d crashes, %d known, and the worker answers", x.crashes, x.knownCrashes)
	}
}

// Guards against runs that wait for longer than the lease though the list tells that their worker is gone.
func TestRunsOfAGoneWorkerStartAgainWithANewLeader(t *testing.T) {
	s, k := startSound(t, neverBack, 2)
	s.takes = time.Minute
	x := s.task(k)
	x.crashes, x.knownCrashes, x.evidence = 1, 1, 3
	s.suspects[x] = true
	s.passUntilStarted(k, 1)
	s.pass(100 * time.Millisecond)
	for _, w := range s.workers {
		if w.running[k] != nil {
			s.takeDown(w, neverBack)
			s.back(w)
		}
	}
	s.changeLeader()
	began := s.now
	s.passUntilStarted(k, 2)
	latest := s.inheritedLeaseEnd(began).Add(crashPause + 100*time.Millisecond)
	if took := s.now.Sub(began); s.now.After(latest) || s.task(k).knownCrashes != 2 {
		t.Errorf("started again after %v, %d crashes are known", took, s.task(k).knownCrashes)
	}
}
