package dispatch

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"persimmonpick/table"
	"persimmonpick/workload"
)

func (r *rig) setCrashes(k workload.TaskKey, n int, evidence float64) *task {
	t := r.task(k)
	t.crashes, t.evidence, t.notBefore = n, evidence, r.now
	r.suspects[t] = true
	return t
}

// waitUntilRunning lets time pass until a run of k is at work, for at most d, and returns how long it took.
func (s *crashSite) waitUntilRunning(k workload.TaskKey, d time.Duration) time.Duration {
	began := s.now
	for s.now.Sub(began) < d {
		s.pass(20 * time.Millisecond)
		if t := s.task(k); t == nil || t.phase == running {
			break
		}
	}
	return s.now.Sub(began)
}

// A task that waits to be isolated does not show that there is no room.
func TestIsolatedTaskHoldsBackNoOthers(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.addWorkers("a", "b", "c", "d")
	for i := range 5 {
		id := fmt.Sprintf("a%d", i)
		r.submit(id, step(1))
		r.setCrashes(key(id, 0, 0), 1, 8)
	}
	r.submit("z", step(1))
	r.placeAndStart()
	is.Equal(r.task(key("z", 0, 0)).phase, running)
}

// Most of the workers are gone for good; the others run a small long-running task each.
func TestIsolatedTaskStartsThoughWorkersAreAway(t *testing.T) {
	for _, left := range []int{6, 12} {
		t.Run(fmt.Sprint(left, " of 24"), func(t *testing.T) {
			s := newCrashSite(t, backRestarted, 24)
			s.takes = time.Minute
			s.pass(time.Second)
			lasting := step(24)
			lasting.LongRunning, lasting.MaxPerWorker = true, 1
			s.submitJob("lasting", lasting)
			s.pass(3 * time.Second)
			for _, w := range s.workers[left:] {
				s.takeDown(w, backRestarted)
				w.downTo = s.now.Add(time.Hour)
			}
			s.pass(12 * time.Second)
			s.submitJob("sound", step(1))
			s.setCrashes(key("sound", 0, 0), suspectCrashes, 9)
			if took := s.waitUntilRunning(key("sound", 0, 0), 3*time.Minute); took > 3*time.Second {
				t.Errorf("it waits for %v beside %d workers with 15 of 16 cores free", took, left)
			}
		})
	}
}

func TestIsolatedTaskStartsBesideManyThatFindNoPlace(t *testing.T) {
	t.Parallel()
	s := newCrashSite(t, backRestarted, 8)
	s.takes = time.Minute
	s.pass(time.Second)
	elsewhere := step(1)
	elsewhere.Label = "away"
	for i := range maxStarvedTried {
		s.submitJob(fmt.Sprintf("away%d", i), elsewhere)
	}
	s.pass(5 * time.Second)
	s.submitJob("sound", step(1))
	s.setCrashes(key("sound", 0, 0), suspectCrashes, 9)
	if took := s.waitUntilRunning(key("sound", 0, 0), 20*time.Second); took > 3*time.Second {
		t.Errorf("it waits for %v while all workers are empty", took)
	}
}

// Others come that are less likely to crash their workers.
func TestLikelySuspectStartsBesideAStreamOfOthers(t *testing.T) {
	for _, sound := range []bool{true, false} {
		t.Run(fmt.Sprint("others are sound: ", sound), func(t *testing.T) {
			s := newCrashSite(t, backReplaced, 8)
			s.answered = true
			s.takes = time.Minute
			s.pass(time.Second)
			busy := step(8)
			busy.Need.CPU, busy.MaxPerWorker = 7000, 1
			s.submitJob("busy", busy)
			s.pass(3 * time.Second)
			s.submitJob("sound", step(1))
			s.setCrashes(key("sound", 0, 0), suspectCrashes, 12)
			began, most := s.now, time.Duration(0)
			name := "other%d"
			if !sound {
				name = "deadly%d"
			}
			for i := 0; s.now.Sub(began) < 20*time.Second && s.task(key("sound", 0, 0)).phase != running; i++ {
				id := fmt.Sprintf(name, i)
				s.submitJob(id, workload.Step{Count: 1, Need: table.Resources{CPU: 10}, Estimate: 1000})
				s.setCrashes(key(id, 0, 0), 1, 6)
				s.pass(200 * time.Millisecond)
				most = s.now.Sub(began)
			}
			if most > 3*time.Second {
				t.Errorf("it waits for %v", most)
			}
		})
	}
}

// What fills is not use: the workers of this service are idle, but for a task that serves and is over its target.
func TestJobStartsThoughBestEffortTasksFillTheOthers(t *testing.T) {
	for _, cpu := range []table.Millicores{8000, 16000} {
		t.Run(fmt.Sprint(cpu, " on each of two"), func(t *testing.T) {
			r := newRig()
			r.addWorkers("a", "b", "c")
			serving := step(1)
			serving.LongRunning, serving.LatencyTarget, serving.Image = true, 100, "serving"
			r.submit("serving", serving)
			r.placeAndStart()
			w := r.task(key("serving", 0, 0)).worker
			filling := step(2)
			filling.BestEffort, filling.Image, filling.Need.CPU, filling.MaxPerWorker = true, "filling", cpu, 1
			w.fullUntil = r.now.Add(time.Second)
			r.submit("filling", filling)
			r.placeAndStart()
			w.fullUntil = time.Time{}
			small := step(1)
			small.BestEffort, small.Image, small.Need.CPU = true, "small", 10000
			var submitted time.Time
			for began := r.now; r.now.Sub(began) < 30*time.Second; {
				r.answerPolls(map[string]PollReply{string(w.info.ID): {Running: []RunningTask{
					{Task: key("serving", 0, 0), Run: 1, Percent: fullPercent, Tail: 300 * time.Millisecond},
				}}})
				if submitted.IsZero() && r.now.Sub(began) > 3*time.Second {
					submitted = r.now
					r.submit("small", small)
				}
				r.placeAndStart()
				if k := r.task(key("small", 0, 0)); k != nil && k.phase == running {
					break
				}
			}
			if took := r.now.Sub(submitted); took > 3*time.Second {
				t.Errorf("it waits for %v: %v, idle %v", took, r.obstacles(r.task(key("small", 0, 0)), r.now), r.services["s"].idle)
			}
		})
	}
}

// Red, see KNOWN-RED.txt.
func TestIdleJobsStartInQuarantine(t *testing.T) {
	s := newCrashSite(t, backRestarted, 2)
	s.takes = time.Minute
	s.pass(time.Second)
	for _, w := range s.Scheduler.workers {
		w.quarantines = 3
		w.quarantine(s.now, "failures in a row")
	}
	for i := range 8 {
		s.submitJob(fmt.Sprintf("j%d", i), step(1))
	}
	began := s.now
	worst := time.Duration(0)
	for s.now.Sub(began) < 30*time.Second {
		s.pass(20 * time.Millisecond)
		for _, j := range s.jobs {
			j.each(func(t *task) {
				if t.phase == waiting {
					worst = s.now.Sub(began)
				}
			})
		}
	}
	if worst > 3*time.Second {
		t.Errorf("the last job waits for %v", worst)
	}
}

// A stream of suspects must not keep a gang, or a job with a label, from all workers.
func TestGangStartsBesideAStreamOfSuspects(t *testing.T) {
	s := newCrashSite(t, backReplaced, 4)
	s.takes = time.Minute
	s.pass(time.Second)
	gang := step(4)
	gang.Gang, gang.MaxPerWorker = true, 1
	began := s.now
	for i := 0; s.now.Sub(began) < 20*time.Second; i++ {
		id := fmt.Sprintf("other%d", i)
		s.submitJob(id, workload.Step{Count: 1, Need: table.Resources{CPU: 10}, Estimate: 1000})
		s.setCrashes(key(id, 0, 0), 1, 6)
		if i == 5 {
			s.submitJob("gang", gang)
		}
		s.pass(200 * time.Millisecond)
		if i > 5 && s.task(key("gang", 0, 0)).phase == running {
			break
		}
	}
	if took := s.now.Sub(began) - time.Second; took > 3*time.Second {
		t.Errorf("it waits for %v", took)
	}
}

func TestLabelledJobStartsBesideAStreamOfSuspects(t *testing.T) {
	for _, filled := range []bool{false, true} {
		t.Run(fmt.Sprint("best effort elsewhere: ", filled), func(t *testing.T) {
			s := newCrashSite(t, backReplaced, 4)
			s.takes = 100 * time.Second
			s.pass(time.Second)
			only := s.workers[0]
			only.info.Labels = append(only.info.Labels, "gpu")
			s.SetWorker(only.info, s.now)
			if filled {
				filling := step(3)
				filling.BestEffort, filling.Image, filling.Need.CPU, filling.MaxPerWorker = true, "filling", 16000, 1
				s.Scheduler.workers[only.info.ID].fullUntil = s.now.Add(time.Second)
				s.submitJob("filling", filling)
			}
			s.pass(3 * time.Second)
			labelled := step(1)
			labelled.Label, labelled.Need = "gpu", table.Resources{CPU: 100}
			began, submitted := s.now, time.Time{}
			for i := 0; s.now.Sub(began) < 20*time.Second; i++ {
				id := fmt.Sprintf("other%d", i)
				s.submitJob(id, labelled)
				s.setCrashes(key(id, 0, 0), 1, 6)
				if i == 5 {
					s.submitJob("sound", labelled)
					submitted = s.now
				}
				s.pass(200 * time.Millisecond)
				if i > 5 && s.task(key("sound", 0, 0)).phase == running {
					break
				}
			}
			if took := s.now.Sub(submitted); took > 3*time.Second {
				t.Errorf("it waits for %v", took)
			}
		})
	}
}

// Some tasks wait to be isolated, one after the other; sound jobs come beside them.
func TestSoundJobsStartBesideWaitingSuspects(t *testing.T) {
	for _, filled := range []bool{false, true} {
		t.Run(fmt.Sprint("best effort fills: ", filled), func(t *testing.T) {
			s := newCrashSite(t, backReplaced, 8)
			s.takes = 100 * time.Second
			s.pass(time.Second)
			if filled {
				filling := step(8)
				filling.BestEffort, filling.Image, filling.Need.CPU, filling.MaxPerWorker = true, "filling", 10000, 1
				s.submitJob("filling", filling)
			}
			s.pass(4 * time.Second)
			worst, since := time.Duration(0), map[table.JobID]time.Time{}
			for i := range 60 {
				for n := range 4 {
					id := fmt.Sprintf("suspect%d-%d", i, n)
					s.submitJob(id, workload.Step{Count: 1, Need: table.Resources{CPU: 10}, Estimate: 1000})
					s.setCrashes(key(id, 0, 0), 1, 7)
				}
				if i%5 == 0 {
					id := fmt.Sprintf("sound%d", i)
					s.submitJob(id, workload.Step{Count: 2, Need: table.Resources{CPU: 20}, Estimate: 1000})
					since[table.JobID(id)] = s.now
				}
				for range 10 {
					s.pass(20 * time.Millisecond)
					for id, at := range since {
						if s.task(key(string(id), 0, 1)).phase == waiting && s.task(key(string(id), 0, 0)).phase == waiting {
							worst = max(worst, s.now.Sub(at))
						}
					}
				}
			}
			if worst > time.Second {
				t.Errorf("a sound job waits for %v, %d of 8 workers are usable", worst, s.isolations["s"].usable)
			}
		})
	}
}

// turnRound is how long a turn of a sound suspect takes: its worker is polled once the run is settled, then decides.
const turnRound = 500 * time.Millisecond

// newBusySite returns a site of which a quarter of the workers is gone; the others run three tasks each that last.
func newBusySite(t *testing.T, workers int) *crashSite {
	s := newCrashSite(t, backReplaced, workers)
	s.answered, s.takes = true, 100*time.Second
	s.pass(time.Second)
	busy := step(3 * workers)
	busy.Need.CPU, busy.MaxPerWorker = 1000, 3
	s.submitJob("busy", busy)
	s.pass(3 * time.Second)
	for _, w := range s.workers[:workers/4] {
		s.takeDown(w, backReplaced)
		w.downTo = s.now.Add(time.Hour)
	}
	s.pass(12 * time.Second)
	return s
}

// submitSuspects submits jobs with a task that is at work and one that is suspected.
func (s *crashSite) submitSuspects(name string, n int, need table.Millicores) []workload.TaskKey {
	var keys []workload.TaskKey
	for i := range n {
		id := fmt.Sprintf("%s%03d", name, i)
		atWork := workload.Step{Count: 1, Need: table.Resources{CPU: 10}, Estimate: 1000}
		suspected := atWork
		suspected.Need.CPU = need
		s.submitJob(id, atWork, suspected)
		keys = append(keys, key(id, 1, 0))
		s.setCrashes(key(id, 1, 0), suspectCrashes, 9)
	}
	return keys
}

// waitUntilSettled lets time pass until a run of each of the keys has settled or its job is final, for at most d.
func (s *crashSite) waitUntilSettled(keys []workload.TaskKey, d time.Duration) time.Duration {
	began := s.now
	told := map[workload.TaskKey]bool{}
	for len(told) < len(keys) && s.now.Sub(began) < d {
		s.pass(20 * time.Millisecond)
		for _, k := range keys {
			if t := s.task(k); t == nil || t.group.job.state.Final() || t.phase == running && t.worker.settled(t) {
				told[k] = true
			}
		}
	}
	return s.now.Sub(began)
}

// Guards against suspects whose wait grows by the time of a crash for each sound suspect before them.
func TestSuspectsOfJobsAtWorkStartInTimeThoughWorkersAreAway(t *testing.T) {
	t.Parallel()
	const workers = 48
	for _, suspects := range []int{1, 60, 240} {
		t.Run(fmt.Sprint(suspects), func(t *testing.T) {
			t.Parallel()
			s := newBusySite(t, workers)
			keys := s.submitSuspects("sound", suspects, 10)
			bound := separation + idleCheckInterval + time.Duration((suspects+workers/8-1)/(workers/8))*turnRound
			took := s.waitUntilSettled(keys, 2*bound)
			t.Logf("%v, bound %v", took, bound)
			if took > bound {
				t.Errorf("%d sound suspects wait for %v, more than %v", suspects, took, bound)
			}
		})
	}
}

// Guards against a turn that is kept by a suspect for which no worker has room.
func TestSuspectStartsThoughOneThatWaitsLongerHasNoRoom(t *testing.T) {
	s := newBusySite(t, 24)
	s.submitSuspects("large", 3, 15500)
	s.pass(4 * time.Second)
	keys := s.submitSuspects("sound", 1, 10)
	if took := s.waitUntilSettled(keys, 20*time.Second); took > separation+idleCheckInterval+turnRound {
		t.Errorf("it waits for %v", took)
	}
}

// Guards against deadly tasks that have their turns at once and end the runs of many workers. Others of them start on
// the workers that come back without runs.
func TestTurnsOfDeadlyTasksEndTheRunsOfFewWorkers(t *testing.T) {
	t.Parallel()
	const workers = 48
	s := newBusySite(t, workers)
	s.deadly = func(k workload.TaskKey) bool { return k.Step == 1 }
	keys := s.submitSuspects("deadly", 60, 10)
	var ended []time.Time // runs of a worker
	began, least := s.now, s.countUp()
	for s.now.Sub(began) < 20*time.Second {
		s.pass(20 * time.Millisecond)
		least = min(least, s.countUp())
		for _, w := range s.workers {
			if !w.crashAt.IsZero() && len(w.running) > 3 {
				ended = append(ended, s.now)
			}
		}
		ended = slices.DeleteFunc(ended, func(at time.Time) bool { return s.now.Sub(at) >= crashTime })
		if n := len(ended); n > workers/8 {
			t.Fatalf("the runs of %d workers are ended within %v", n, crashTime)
		}
	}
	t.Logf("%d crashes, %d of %d workers are up at least", s.crashes, least, workers)
	for _, k := range keys {
		if n := len(s.starts[k]); n > maxDeadlyStarts {
			t.Errorf("%s was started %d times", k, n)
		}
	}
}

// Guards against sound suspects that wait until all deadly ones are given up, or for ever.
func TestSoundSuspectsStartBesideDeadlyOnesThoughWorkersAreAway(t *testing.T) {
	t.Parallel()
	const workers, each = 48, 30
	s := newBusySite(t, workers)
	s.deadly = func(k workload.TaskKey) bool { return k.Step == 1 && strings.HasPrefix(string(k.Job), "deadly") }
	deadly := s.submitSuspects("deadly", each, 10)
	sound := s.submitSuspects("sound", each, 10)
	took := s.waitUntilSettled(sound, 2*time.Minute)
	starts := 0
	for _, k := range deadly {
		starts += len(s.starts[k])
	}
	turns := time.Duration(workers/8 - 1) // the usual number of workers decays
	bound := separation + idleCheckInterval + (time.Duration(each)*turnRound+time.Duration(starts)*crashTime)/turns
	t.Logf("%v, bound %v with %d starts of deadly tasks", took, bound, starts)
	if took > bound {
		t.Errorf("%d sound suspects wait for %v, more than %v", each, took, bound)
	}
}

// Guards against deadly tasks that end the runs of sound ones, just told apart, again and again.
func TestLikelySuspectEndsNoNeighborsWhileWorkersAreAway(t *testing.T) {
	for evidence, most := range map[float64]int{6: 3, 9: 1, 12: 0} {
		t.Run(fmt.Sprint(evidence), func(t *testing.T) {
			is := is.New(t)
			r := newRig()
			r.addWorkers("a", "b", "c", "d")
			r.countIsolations(r.now)
			r.workers["c"].missedPolls, r.workers["d"].missedPolls = 1, 1
			r.countIsolations(r.now)
			r.submit("suspect", step(1))
			suspect := r.setCrashes(key("suspect", 0, 0), suspectCrashes, evidence)
			w := r.workers["a"]
			for n := range 5 {
				is.Equal(r.spares(w, suspect, r.now.Add(separation)), n <= most)
				k := key("sound", 0, n)
				w.tasks[k] = &task{key: k}
			}
		})
	}
}
