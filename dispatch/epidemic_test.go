package dispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"persimmonpick/table"
	"persimmonpick/workload"
)

// epidemic plays a stream of jobs, most of which have one deadly task, with a crash of nine workers in ten.
type epidemic struct {
	workers int
	perS    int           // jobs
	lasts   time.Duration // of the stream
	seed    uint64
}

// Guards against sound jobs that wait or are given up because deadly tasks have crashed the workers under them.
func TestSoundJobsNeitherIdleNorFailBesideManyDeadlyTasks(t *testing.T) {
	t.Parallel()
	for _, e := range []epidemic{{8, 2, 12 * time.Second, 1}, {48, 9, 26 * time.Second, 1}, {48, 9, 26 * time.Second, 2}} {
		t.Run(fmt.Sprintf("%d workers, seed %d", e.workers, e.seed), func(t *testing.T) {
			t.Parallel()
			e.play(t)
		})
	}
}

func (e epidemic) play(t *testing.T) {
	const settles = 20 * time.Second // after the last job
	s := newCrashSite(t, backReplaced, e.workers)
	s.answered = true
	r := rand.New(rand.NewPCG(e.seed, 0))
	deadly := map[workload.TaskKey]bool{}
	s.deadly = func(k workload.TaskKey) bool { return deadly[k] }
	s.pass(time.Second)
	sound := map[table.JobID]bool{}
	end := s.now.Add(e.lasts)
	crashAt := s.now.Add(e.lasts / 3)
	for n := 0; s.now.Before(end); n++ {
		id := fmt.Sprintf("sound%d", n)
		if r.IntN(10) < 6 && r.IntN(10) < 9 {
			id = fmt.Sprintf("deadly%d", n)
			deadly[key(id, 0, r.IntN(2))] = true
		} else {
			sound[table.JobID(id)] = true
		}
		s.submitJob(id, step(6))
		s.pass(time.Second / time.Duration(e.perS))
		if !crashAt.IsZero() && !s.now.Before(crashAt) {
			crashAt = time.Time{}
			for _, w := range s.workers {
				if s.up(w) && r.IntN(10) < 9 {
					s.takeDown(w, s.way)
				}
			}
		}
	}
	s.pass(settles)
	for id := range sound {
		if got := s.loggedState(id); got != workload.Completed {
			t.Errorf("sound job %s is %s %v after the last job, with %d of %d workers up", id, got, settles, s.countUp(), e.workers)
		}
	}
	for k, at := range s.starts {
		if deadly[k] && len(at) > maxDeadlyStarts {
			t.Errorf("%s was started %d times", k, len(at))
		}
	}
	t.Logf("%d crashes by %d deadly tasks, %d tasks given up", s.crashes, len(deadly), s.counts.GivenUp)
}

// countUp returns the number of workers that answer.
func (s *crashSite) countUp() int {
	n := 0
	for _, w := range s.workers {
		if s.up(w) {
			n++
		}
	}
	return n
}

// Guards against suspects that wait for each other for longer than their tests take on the workers that they may use.
func TestHundredSuspectsAreToldApartInTime(t *testing.T) {
	t.Parallel()
	const (
		workers, suspects = 48, 100
		round             = 400 * time.Millisecond // of a sound suspect: settled, polled, the next one placed
		crash             = 3600 * time.Millisecond
	)
	// A quarter of the workers is left to others.
	rounds := time.Duration((suspects + workers*3/4 - 1) / (workers * 3 / 4))
	for deadly, bound := range map[int]time.Duration{0: rounds * round, suspects / 2: rounds * (crash + evidenceDelay), suspects: rounds * (crash + evidenceDelay)} {
		t.Run(fmt.Sprintf("%d deadly", deadly), func(t *testing.T) {
			t.Parallel()
			s := newCrashSite(t, backReplaced, workers)
			s.answered = true
			s.pass(time.Second)
			for n := range suspects {
				id := fmt.Sprintf("sound%03d", n)
				if n < deadly {
					id = fmt.Sprintf("deadly%03d", n)
				}
				s.submitJob(id, step(1))
				suspect := s.task(key(id, 0, 0))
				suspect.crashes, suspect.knownCrashes, suspect.evidence = suspectCrashes, suspectCrashes, 2*math.Log(1/otherCause)
				s.suspects[suspect] = true
			}
			began := s.now
			for untold := suspects; untold > 0 && s.now.Sub(began) < time.Minute; {
				s.pass(20 * time.Millisecond)
				untold = 0
				for _, j := range s.jobs {
					told := j.state.Final()
					j.each(func(t *task) { told = told || t.phase == running && t.worker.settled(t) })
					if !told {
						untold++
					}
				}
			}
			took := s.now.Sub(began)
			t.Logf("%v, bound %v", took, bound)
			if took > bound {
				t.Errorf("it took %v to tell %d suspects apart, more than %v", took, suspects, bound)
			}
			s.passUntilFinal(time.Minute)
			s.checkDeadly()
		})
	}
}
