package dispatch

import (
	"fmt"
	"math"
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

// Guards against a sound task that pauses on after the trouble, for longer than LOST allows.
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

// Guards against workers that count as calm late, since the crash of a replaced one shows again once it is dropped.
func TestCrashThatShowsTwiceDelaysCalmOnce(t *testing.T) {
	s, k := startSound(t, backReplaced, 2)
	s.passUntilStarted(k, 1)
	service := s.task(k).worker.info.Service
	s.takeDown(s.worker(s.task(k).worker.info.ID), backReplaced)
	for end := s.now.Add(10 * time.Second); s.crashedAt[service].IsZero() && s.now.Before(end); {
		s.pass(20 * time.Millisecond)
	}
	seen := s.crashedAt[service]
	s.is.Equal(seen, s.now)
	s.pass(10 * time.Second)
	s.is.Equal(s.crashedAt[service], seen)
}

// loseRack starts a sound task with the given crashes again, and takes down its worker and eight others at the same
// moment; those of the others show 0.6 s later.
func loseRack(t *testing.T, crashes, known int, evidence float64) (*crashSite, *task) {
	s, k := startSound(t, backReplaced, 12)
	s.pass(time.Second)
	x := s.task(k)
	s.requeue(x, s.now, 0)
	for _, w := range s.workers {
		delete(w.running, k)
	}
	x.crashes, x.knownCrashes, x.evidence = crashes, known, evidence
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
	return s, x
}

// Guards against a sound job that is failed at its fifth crash before other crashes of the same moment show.
func TestFifthCrashWaitsForOthersOfItsMoment(t *testing.T) {
	s, _ := loseRack(t, 4, 2, 2)
	s.passUntilFinal(time.Minute)
	s.checkDeadly()
}

// Guards against a next leader that fails a job while the one before still waited.
func TestNextLeaderWaitsForOtherCrashesOfTheMoment(t *testing.T) {
	s, x := loseRack(t, 2, 1, 8)
	for end := s.now.Add(10 * time.Second); x.crashes < 3 && s.now.Before(end); {
		s.pass(20 * time.Millisecond)
	}
	s.changeLeader()
	s.passUntilFinal(time.Minute)
	s.checkDeadly()
}

// Guards against deadly tasks that start again with each new leader, as it has not seen their last crash.
func TestDeadlyTaskIsGivenUpThoughTheLeaderChangesAfterEachCrash(t *testing.T) {
	for _, way := range []string{backReplaced, backRestarted} {
		testDeadlyThroughLeaders(t, way)
	}
}

// Guards against the same where a new leader does not see the silent worker end. Red, see KNOWN-RED.txt.
func TestDeadlyTaskIsGivenUpThoughTheLeaderChangesAfterEachSilence(t *testing.T) {
	for _, way := range []string{backLate, backLater, neverBack} {
		testDeadlyThroughLeaders(t, way)
	}
}

func testDeadlyThroughLeaders(t *testing.T, way string) {
	t.Run(way, func(t *testing.T) {
		s := newCrashSite(t, way, 6)
		s.answered = true
		s.pass(time.Second)
		s.submitJob("deadly", step(1))
		k, crashes := key("deadly", 0, 0), 0
		for end := s.now.Add(3 * time.Minute); !s.loggedState("deadly").Final() && s.now.Before(end); {
			s.pass(20 * time.Millisecond)
			if x := s.task(k); x != nil && x.crashes > crashes {
				crashes = x.crashes
				s.changeLeader()
			}
		}
		s.checkDeadly()
		t.Logf("%d starts", len(s.starts[k]))
	})
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

// startOnceCrashed starts a sound job of one task with a known crash, and lets its run work for a while.
func startOnceCrashed(t *testing.T, way string, workers int) (*crashSite, workload.TaskKey) {
	s, k := startSound(t, way, workers)
	s.takes = time.Minute
	x := s.task(k)
	x.crashes, x.knownCrashes, x.evidence = 1, 1, 3
	s.suspects[x] = true
	s.passUntilStarted(k, 1)
	s.pass(100 * time.Millisecond)
	return s, k
}

// Guards against a crash that is counted as known since a new leader has not read the list of workers.
func TestWorkerOfAnUnreadListIsNotGone(t *testing.T) {
	s, k := startOnceCrashed(t, backReplaced, 1)
	s.listUnread, s.losesPoll = true, func(PollOrder) bool { return true }
	s.changeLeader()
	s.pass(20 * time.Second)
	x := s.task(k)
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
	s, k := startOnceCrashed(t, neverBack, 2)
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

// Guards against causes of one crash that do not explain each other, since it was seen in two ways.
func TestEndOfAnIncarnationIsOneCrash(t *testing.T) {
	evidence := func(way string) map[workload.TaskKey]float64 {
		s := newCrashSite(t, way, 1)
		s.answered = true
		s.pass(time.Second)
		unanswered := key("unanswered", 0, 0)
		s.losesStart = func(o StartOrder) bool { return o.Task == unanswered }
		s.submitJob("answered", step(2))
		s.submitJob("unanswered", step(1))
		s.onOrders = func() { s.takeDown(s.workers[0], way) }
		s.pass(20 * time.Millisecond)
		s.onOrders = func() {}
		crashes := map[*crash]bool{}
		got := map[workload.TaskKey]float64{}
		for end := s.now.Add(20 * time.Second); len(got) < 3 && s.now.Before(end); {
			for _, k := range []workload.TaskKey{key("answered", 0, 0), key("answered", 0, 1), unanswered} {
				if x := s.task(k); x.lastCrash != nil {
					got[k] = x.evidence
					crashes[x.lastCrash] = true
				}
			}
			s.pass(20 * time.Millisecond)
		}
		if len(got) != 3 || len(crashes) != 1 {
			t.Errorf("worker %s: %d crashes of %d tasks are counted, want 1 of 3", way, len(crashes), len(got))
		}
		return got
	}
	for _, c := range []struct{ inTime, late string }{{backRestarted, backLate}, {backReplaced, backLater}} {
		want := evidence(c.inTime)
		for k, got := range evidence(c.late) {
			if math.Abs(got-want[k]) > 1e-6 {
				t.Errorf("worker %s: evidence of %s is %v, want %v", c.late, k, got, want[k])
			}
		}
	}
}

// Guards against causes that stay counted when a crash that was seen in two ways is taken back.
func TestCrashSeenTwiceIsTakenBack(t *testing.T) {
	is := is.New(t)
	s := newCrashSite(t, onlySilent, 1)
	s.answered, s.takes = true, time.Minute
	s.pass(time.Second)
	s.losesStart = func(o StartOrder) bool { return o.Task == key("unanswered", 0, 0) }
	s.submitJob("answered", step(1))
	s.submitJob("unanswered", step(1))
	w := s.workers[0]
	s.onOrders = func() {
		s.takeDown(w, onlySilent)
		w.downTo = s.now.Add(time.Minute)
	}
	s.pass(maxLeaseDuration(testTerm) + time.Second)
	x, y := s.task(key("answered", 0, 0)), s.task(key("unanswered", 0, 0))
	is.Equal(x.crashes, 1)
	is.Equal(y.crashes, 0)
	s.pass(lateOrderLimit)
	is.Equal(y.crashes, 1)
	is.True(x.lastCrash == y.lastCrash)
	s.onOrders = func() {}
	w.downTo = s.now
	s.pass(900 * time.Millisecond)
	for _, o := range []*task{x, y} {
		is.Equal(o.crashes, 0)
		is.True(math.Abs(o.evidence) < 1e-6)
	}
	is.True(s.crashRateOf("q").crashed < 1e-6)
}

// Guards against a run that stays an explanation of a crash though its worker's next incarnation lists it.
func TestRunOfTheNextIncarnationDoesNotExplainACrash(t *testing.T) {
	evidence := func(ids ...string) float64 {
		s := newCrashSite(t, backRestarted, 1)
		s.answered = true
		s.pass(time.Second)
		k := key("late", 0, 0)
		s.losesStart = func(o StartOrder) bool { return o.Task == k }
		for _, id := range ids {
			s.submitJob(id, step(1))
		}
		w := s.workers[0]
		s.onOrders = func() {
			s.onOrders = func() {}
			s.takeDown(w, backRestarted)
			if s.task(k) != nil {
				w.running[k], w.lease = &simRun{run: 1, since: w.downTo}, w.downTo.Add(testTerm)
			}
		}
		x := s.task(key("answered", 0, 0))
		for end := s.now.Add(10 * time.Second); s.now.Before(end) && x.lastCrash == nil; {
			s.pass(20 * time.Millisecond)
		}
		s.pass(100 * time.Millisecond)
		if late := s.task(k); late != nil && (late.crashes != 0 || math.Abs(late.evidence) > 1e-6) {
			t.Errorf("%d crashes, evidence %v of a run at work", late.crashes, late.evidence)
		}
		return x.evidence
	}
	want, got := evidence("answered"), evidence("answered", "late")
	if math.Abs(got-want) > 1e-6 {
		t.Errorf("evidence is %v beside a run of the next incarnation, want %v", got, want)
	}
}

// Guards against a crash that stays known though the incarnation that was gone answers again.
func TestIncarnationThatAnswersAgainHasNotCrashed(t *testing.T) {
	for _, c := range []struct {
		silent, away time.Duration // before it leaves the list, and once it is gone
		polled       bool          // it is not forgotten, since a poll is under way all the while
		restarted    bool          // another incarnation answers
	}{
		{polled: true},
		{silent: 8 * time.Second, polled: true},
		{polled: true, restarted: true},
		{},
		{silent: 8 * time.Second},
		{away: 10 * time.Second},
		{silent: 8 * time.Second, away: 10 * time.Second},
		{restarted: true},
	} {
		t.Run(fmt.Sprintf("%+v", c), func(t *testing.T) {
			s, k := startSound(t, neverBack, 2)
			s.takes = time.Minute
			s.passUntilStarted(k, 1)
			x := s.task(k)
			w := s.worker(x.worker.info.ID)
			s.losesPoll = func(o PollOrder) bool { return o.Worker == w.info.ID }
			s.losesStart = func(StartOrder) bool { return true } // another run would clear the task
			s.pass(c.silent)
			if c.polled {
				s.Scheduler.workers[w.info.ID].pollsInFlight++
			}
			s.RemoveWorker(w.info.ID, s.now)
			known := false
			for end := s.now.Add(30 * time.Second); !known && s.now.Before(end); {
				s.pass(20 * time.Millisecond)
				known = x.knownCrashes > 0
			}
			s.is.True(known)
			s.pass(c.away)
			s.losesPoll = nil
			s.is.Equal(s.Scheduler.workers[w.info.ID] != nil, c.polled)
			if c.polled {
				s.Scheduler.workers[w.info.ID].pollsInFlight--
			}
			if c.restarted {
				w.info.Incarnation++
			}
			s.SetWorker(w.info, s.now)
			s.pass(700 * time.Millisecond)
			if c.restarted {
				s.is.Equal(x.knownCrashes, 1)
				return
			}
			if x.crashes > 0 || x.knownCrashes > 0 || x.evidence != 0 {
				t.Errorf("%d crashes, %d known, evidence %v, under an incarnation that lives on", x.crashes, x.knownCrashes, x.evidence)
			}
		})
	}
}

// Guards against what is kept of gone incarnations without bound.
func TestCrashesOfGoneWorkersAreKeptWithinBounds(t *testing.T) {
	is := is.New(t)
	r := newRig()
	w := newWorker(r.workerInfo("w"), 1)
	c := &crash{incarnation: w.info.Incarnation, gone: true}
	for range maxGone + 1 {
		w.crash = c
		r.keepGone(w, r.now)
	}
	is.Equal(len(r.gone), maxGone)
	r.now = r.now.Add(goneTime + 1)
	w.crash = nil
	r.restoreGone(w, r.now)
	is.Equal(w.crash, nil)
	w.crash = c
	r.keepGone(w, r.now)
	is.Equal(len(r.gone), 1)
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

// Guards against a rate of crashes that is underestimated while starts are not answered, since there is no worker
// without such a start.
func TestCrashUnderAnUnansweredStartHasNoLikelyCause(t *testing.T) {
	causeless := func(unanswered bool) int {
		s := newCrashSite(t, backRestarted, 8)
		s.answered, s.takes = true, 200*time.Millisecond
		s.losesStart = func(StartOrder) bool { return unanswered }
		s.pass(time.Second)
		s.submitJob("before", step(16))
		s.pass(time.Second)
		s.losesStart = func(StartOrder) bool { return true }
		s.submitJob("beside", step(16))
		s.onOrders = func() {
			s.onOrders = func() {}
			for _, w := range s.workers {
				s.takeDown(w, s.way)
			}
		}
		s.pass(5 * time.Second)
		return len(s.causeless)
	}
	if n := causeless(false); n != 0 {
		t.Errorf("starts are answered; %d of 8 crashes count as without a likely cause", n)
	}
	if n := causeless(true); n != 8 {
		t.Errorf("starts are not answered; %d of 8 crashes count as without a likely cause", n)
	}
}
