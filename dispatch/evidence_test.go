package dispatch

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"persimmonpick/table"
	"persimmonpick/workload"
)

// All workers crash at once, some of them under runs that have just started.
func TestCrashRateStaysALikelihood(t *testing.T) {
	s := newCrashSite(t, backRestarted, 100)
	s.takes = time.Minute
	s.pass(time.Second)
	rate := s.crashRateOf("q")
	rate.sound = maxRateStarts - 3
	for i := range 12 {
		s.submitJob(fmt.Sprintf("sound%d", i), step(1))
	}
	s.pass(20 * time.Millisecond)
	for _, w := range s.workers {
		s.takeDown(w, s.way)
		if len(s.Scheduler.workers[w.info.ID].tasks) == 0 {
			w.downTo = w.downTo.Add(200 * time.Millisecond)
		}
	}
	s.pass(8 * time.Second)
	share := s.crashRates["q"].share()
	if !(share > 0 && share < 1) {
		t.Errorf("the share of starts that crash their workers is %v: %+v", share, *s.crashRates["q"])
	}
	for _, j := range s.jobs {
		j.each(func(task *task) {
			if l := s.likelihood(task); !(l >= 0 && l <= 1) || math.IsNaN(task.evidence) {
				t.Errorf("%s: likelihood %v, evidence %v, crashes %d", task.key, l, task.evidence, task.crashes)
			}
		})
	}
}

// All workers are cut off under runs that have just started, and answer again after their leases.
func TestCrashRateForgetsCrashesTakenBack(t *testing.T) {
	s := newCrashSite(t, onlySilent, 24)
	s.takes = time.Minute
	s.pass(time.Second)
	s.submitJob("sound", step(48))
	s.pass(20 * time.Millisecond)
	for _, w := range s.workers {
		s.takeDown(w, onlySilent)
	}
	s.pass(20 * time.Second)
	for _, w := range s.workers {
		if !s.up(w) {
			t.Fatal("a worker is still silent")
		}
	}
	if share := s.crashRates["q"].share(); share > 10*usualRate {
		t.Errorf("after crashes that were taken back %.3f of the starts are said to crash their workers: %+v", share, *s.crashRates["q"])
	}
}

// No task is deadly; all workers crash together, each time soon after the tasks have started again. Red, see
// KNOWN-RED.txt.
func TestCrashesOfAllWorkersAtOnceGiveUpNoSoundTask(t *testing.T) {
	t.Parallel()
	for _, after := range []time.Duration{40 * time.Millisecond, 150 * time.Millisecond, 400 * time.Millisecond} {
		for _, workers := range []int{2, 8, 24} {
			t.Run(fmt.Sprintf("%d workers, %v after the starts", workers, after), func(t *testing.T) {
				t.Parallel()
				s := newCrashSite(t, backReplaced, workers)
				s.answered = true
				s.pass(time.Second)
				for i := range 3 * workers {
					s.submitJob(fmt.Sprintf("sound%d", i), step(1))
				}
				for range 5 {
					s.pass(after)
					for _, w := range s.workers {
						if s.up(w) {
							s.takeDown(w, s.way)
						}
					}
					for end := s.now.Add(10 * time.Second); s.now.Before(end) && !s.anyRuns(); {
						s.pass(20 * time.Millisecond)
					}
				}
				s.passUntilFinal(2 * time.Minute)
				s.checkDeadly()
			})
		}
	}
}

func (s *crashSite) anyRuns() bool {
	for _, w := range s.workers {
		if s.up(w) && len(w.running) > 0 {
			return true
		}
	}
	return false
}

// One worker crashes soon after each start there. Red, see KNOWN-RED.txt.
func TestWorkerThatFlapsGivesUpNoSoundTask(t *testing.T) {
	for _, way := range []string{backRestarted, backReplaced} {
		t.Run(way, func(t *testing.T) {
			s := newCrashSite(t, way, 6)
			s.answered = true
			s.pass(time.Second)
			address := s.workers[0].info.Address
			s.onOrders = func() {
				for _, w := range s.workers {
					if w.info.Address == address && s.up(w) && len(w.running) > 0 && w.crashAt.IsZero() {
						w.crashAt = s.now.Add(50 * time.Millisecond)
					}
				}
			}
			for i := range 120 {
				s.submitJob(fmt.Sprintf("sound%d", i), step(4))
				s.pass(300 * time.Millisecond)
			}
			s.passUntilFinal(2 * time.Minute)
			s.checkDeadly()
		})
	}
}

// No worker ever crashes: the priority of queues decides.
func TestCalmPlacementFollowsPriority(t *testing.T) {
	is := is.New(t)
	r := newRig()
	low := entryOf(r, "low")
	low.Submission.Queue.Priority = 5
	need := step(1)
	need.Need.CPU = 16000
	low.Submission.Spec.Steps = []workload.Step{need}
	r.SetEntry(low, r.now)
	r.addWorkers("a", "b", "c", "d")
	for _, w := range r.workers {
		w.fullUntil = r.now.Add(5 * time.Second)
	}
	for end := r.now.Add(4500 * time.Millisecond); r.now.Before(end); {
		r.answerPolls(nil)
		r.place()
	}
	r.submit("high", need)
	for _, id := range []string{"b", "c", "d"} {
		r.workers[table.WorkerID(id)].fullUntil = r.now.Add(time.Minute)
	}
	r.workers["a"].fullUntil = time.Time{}
	r.placeAndStart()
	is.Equal(r.task(key("high", 0, 0)).phase, running)
	is.Equal(r.task(key("low", 0, 0)).phase, waiting)
}

// The rate is that of TestCrashRateStaysALikelihood after the crash of all workers.
func TestEvidenceStaysFinite(t *testing.T) {
	r := newRig()
	*r.crashRateOf("q") = crashRate{crashed: -1.98, sound: 198.5}
	r.addWorkers("a", "b")
	r.submit("j", step(8))
	for incarnation := range 3 {
		r.placeAndStart()
		info := r.workerInfo("a")
		info.Incarnation = table.UnixMillis(incarnation + 2)
		r.SetWorker(info, r.now)
		for range 30 {
			r.now = r.now.Add(100 * time.Millisecond)
			for _, o := range r.PollOrders(r.now, true) {
				l := r.listRunning(o.Worker)
				if o.Worker == "a" {
					l = PollReply{Incarnation: info.Incarnation, Clock: WorkerClock(r.now.UnixMilli())}
				}
				r.PollDone(o, r.now, l, nil, r.now)
			}
			r.Tick(r.now)
		}
		r.Decide(r.now)
	}
	r.jobs["j"].each(func(x *task) {
		if math.IsNaN(x.evidence) {
			t.Errorf("%s: evidence %v, crashes %d", x.key, x.evidence, x.crashes)
		}
	})
	for id, w := range r.workers {
		if math.IsNaN(w.risk) || math.IsNaN(w.suspicion(r.task(key("j", 0, 0)))) {
			t.Errorf("%s: risk %v", id, w.risk)
		}
	}
	if share := r.crashRates["q"].share(); math.IsNaN(share) {
		t.Errorf("the share of the queue is %v", share)
	}
}

func TestDeadlyTaskIsGivenUpInAnyState(t *testing.T) {
	s := newCrashSite(t, backRestarted, 4)
	s.answered = true
	*s.crashRateOf("q") = crashRate{crashed: -1.98, sound: 198.5}
	s.pass(time.Second)
	s.submitJob("deadly", step(24))
	s.passUntilFinal(2 * time.Minute)
	s.checkDeadly()
}

// Workers that have come back since do not show that the cause spared any.
func TestCrashOfAllWorkersHasAnotherCause(t *testing.T) {
	for _, way := range []string{backReplaced, backRestarted} {
		t.Run(way, func(t *testing.T) {
			s := newCrashSite(t, way, 40)
			s.takes = time.Minute
			s.pass(time.Second)
			for i := range 6 {
				s.submitJob(fmt.Sprintf("sound%d", i), step(1))
			}
			s.pass(20 * time.Millisecond)
			for i, w := range s.workers {
				s.takeDown(w, s.way)
				w.downTo = w.downTo.Add(time.Duration(i%10) * 40 * time.Millisecond)
			}
			least := 1.0
			for end := s.now.Add(6 * time.Second); s.now.Before(end); {
				s.pass(20 * time.Millisecond)
				if len(s.causeless) == 34 {
					for _, c := range s.Scheduler.crashes {
						least = min(least, c.external)
					}
				}
			}
			if least < 0.9 {
				t.Errorf("34 workers crashed at once without a possible cause; another cause of 6 more has likelihood %.2f", least)
			}
		})
	}
}

// The crash is told from the silence of the first worker only after the task was proven elsewhere and lost again.
func TestCrashOfAnEarlierRowIsNotTakenBack(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.addWorkers("a")
	r.submit("j", step(1))
	r.placeAndStart()
	x := r.task(key("j", 0, 0))
	w := r.workers["a"]
	w.missedPolls, w.silentAt = 1, r.now
	r.workerCrashed(w, crashSilent, r.now)
	r.requeue(x, r.now, 0)
	x.cleared()
	c := &crash{service: "s", at: r.now, seenAt: r.now, causes: []crashCause{{task: x, row: x.crashRow}}}
	r.weigh(c)
	x.crashes, x.lastCrash, c.causes[0].counted = 1, c, true
	before := x.evidence
	w.missedPolls = 0
	w.answersAgain()
	is.Equal(x.crashes, 1)
	is.Equal(x.evidence, before)
}

// The leader stands still between the answers to a start and to a poll that was sent right after it.
func TestCrashAfterAStandstillOfTheLeaderCounts(t *testing.T) {
	for _, still := range []time.Duration{0, 400 * time.Millisecond, 900 * time.Millisecond, 2 * time.Second} {
		t.Run(still.String(), func(t *testing.T) {
			r := newRig()
			r.addWorkers("a")
			r.submit("j", step(2))
			r.placeAndStart()
			x := r.task(key("j", 0, 0))
			r.now = r.now.Add(5 * time.Millisecond)
			r.workers["a"].nextPollAt = r.now
			o := r.PollOrders(r.now, true)[0]
			sent := r.now
			l := r.listRunning("a")
			l.Clock = WorkerClock(sent.UnixMilli())
			r.now = r.now.Add(still)
			r.PollDone(o, sent, l, nil, r.now)
			info := r.workerInfo("a")
			info.Incarnation = 2
			r.now = r.now.Add(3 * time.Second)
			r.SetWorker(info, r.now)
			if x.crashes != 1 || x.evidence < 1 {
				t.Errorf("%d crashes, evidence %.2f", x.crashes, x.evidence)
			}
		})
	}
}

// Runs that crash their workers before they are proven.
func TestTaskThatCrashesItsWorkerBeforeItIsProven(t *testing.T) {
	for _, after := range []time.Duration{100 * time.Millisecond, 250 * time.Millisecond, 400 * time.Millisecond, 700 * time.Millisecond, 900 * time.Millisecond} {
		t.Run(after.String(), func(t *testing.T) {
			s := newCrashSite(t, backRestarted, 4)
			s.answered = true
			s.takes = time.Minute
			s.pass(time.Second)
			crashAt := map[*simWorker]time.Time{}
			s.onOrders = func() {
				for _, w := range s.workers {
					if !w.crashAt.IsZero() {
						w.crashAt, crashAt[w] = time.Time{}, s.now.Add(after)
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
		})
	}
}

// Guards against a job that is failed after fewer crashes of its own than allowed: starts that were not answered may
// not have taken effect.
func TestTaskIsGivenUpAfterCrashesThatAreItsOwn(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.addWorkers("a")
	r.submit("i", step(1))
	r.submit("j", step(1))
	x, y := r.task(key("i", 0, 0)), r.task(key("j", 0, 0))
	crash := func() {
		for _, o := range r.place() {
			r.StartDone(o, StartUnknown, r.now)
		}
		info := r.workers["a"].info
		info.Incarnation++
		r.SetWorker(info, r.now)
		for _, o := range []*task{x, y} {
			if o.worker != nil {
				r.loseRun(o, r.now, crashRestarted)
			}
			o.notBefore, o.starved = r.now, false
		}
		r.workers["a"].contacted, r.workers["a"].missedPolls, r.workers["a"].heardAt = true, 0, r.now
	}
	for range 3 {
		x.evidence, y.evidence = 0, 0
		crash()
	}
	x.evidence = 20
	is.Equal(x.crashes, 3)
	is.True(r.likelihood(x) > giveUpLikelihood)
	is.True(!r.mustGiveUp(x))
	x.knownCrashes = leastCrashes
	is.True(r.mustGiveUp(x))
}

// Guards against a sixth start of a task of whose crashes two are known.
func TestTaskIsGivenUpAfterFiveCrashesOfWhichTwoAreKnown(t *testing.T) {
	r := newRig()
	r.submit("i", step(1))
	x := r.task(key("i", 0, 0))
	for _, c := range []struct {
		crashes, known int
		likelihood     float64
		want           bool
	}{
		{maxCrashes, leastKnown, 0.25, true},
		{maxCrashes - 1, leastKnown, 0.95, false},
		{maxCrashes, leastKnown - 1, 0.999, false},
		{maxCrashes, leastKnown, 0.15, false},
	} {
		x.crashes, x.knownCrashes = c.crashes, c.known
		x.evidence = math.Log(c.likelihood/(1-c.likelihood)) - math.Log(usualRate/(1-usualRate))
		if got := r.mustGiveUp(x); got != c.want {
			t.Errorf("%+v: given up %v", c, got)
		}
	}
}
