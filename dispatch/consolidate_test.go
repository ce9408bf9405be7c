package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"persimmonpick/table"
)

// Plays a busy site on which long-running jobs have ended here and there, so that the remaining latency-critical tasks
// are spread over most workers, while best-effort jobs come that disturb all of them. These jobs need more workers than
// are free of latency-critical tasks. They must meet their objectives nearly always, the latency-critical tasks their
// targets, and these may be interrupted only briefly.
func TestConsolidationMakesRoomForImagesThatDisturbAll(t *testing.T) {
	is := is.New(t)
	s := newSite()
	const criticalJobs, remaining = 12, 5
	for n := range criticalJobs {
		critical := criticalStep(6, fmt.Sprintf("serve%d", n%4))
		critical.Need, critical.LatencyTarget, critical.MaxPerWorker = table.Resources{CPU: 5000, Memory: 1 << 30}, siteTarget, 1
		s.submit(fmt.Sprintf("users%d", n), critical)
	}
	s.runFor(8 * time.Second)
	for n := remaining; n < criticalJobs; n++ {
		e := entryOf(s.rig, fmt.Sprintf("users%d", n))
		e.Cancelled = true
		s.SetEntry(e, s.now)
	}
	s.runFor(2 * time.Second)
	s.criticalTime, s.missedTime = 0, 0
	const every = 500 * time.Millisecond
	from, jobs := s.now, 0
	var away time.Duration
	for s.now.Sub(from) < 60*time.Second {
		if s.now.Sub(from) >= time.Duration(jobs)*every {
			bestEffort := step(16)
			bestEffort.Need = table.Resources{CPU: 1700, Memory: 1 << 30}
			bestEffort.BestEffort, bestEffort.Checkpoints, bestEffort.Estimate = true, true, table.Millis(siteWork.Milliseconds())
			bestEffort.Image = heavyImage
			s.submit(fmt.Sprintf("fill-%03d", jobs), bestEffort)
			jobs++
		}
		s.tick()
		for n := range remaining {
			for _, t := range s.jobs[table.JobID(fmt.Sprintf("users%d", n))].groups[0][0].tasks {
				if t.phase != running {
					away += siteTick
				}
			}
		}
	}
	prompt, due := s.promptJobs(from, every, jobs)
	t.Logf("%d of %d jobs met their objective; latency-critical tasks were pushed over their target for %.2f%% and interrupted for %.2f%% of the time",
		prompt, due, 100*s.missedTime.Seconds()/s.criticalTime.Seconds(), 100*away.Seconds()/s.criticalTime.Seconds())
	is.True(prompt >= due*9/10)
	is.True(s.missedTime < s.criticalTime/50)
	is.True(away < s.criticalTime/50)
}

func (s *simulatedSite) runFor(d time.Duration) {
	for until := s.now.Add(d); s.now.Before(until); {
		s.tick()
	}
}

// newSpread returns a rig with a latency-critical task of two cores on each of the given workers, beside which steps of
// the heavy image find no place.
func newSpread(maxUnavailable int, workers ...string) *rig {
	r := newRig()
	critical := criticalStep(1, "serve")
	critical.Need.CPU, critical.MaxUnavailable = 2000, maxUnavailable
	for _, w := range workers {
		r.addWorkers(w)
		critical.Label = w
		info := r.workerInfo(w)
		info.Labels = append(info.Labels, w)
		r.SetWorker(info, r.now)
	}
	critical.Label, critical.Count, critical.MaxPerWorker = "", len(workers), 1
	r.submit("s", critical)
	r.placeAndStart()
	r.interference.sensitivityOf("serve").addImage(heavyImage)
	r.interference.sensitivityOf("serve").mean[0] = 20
	r.jobs["s"].groups[0][0].step.MaxPerWorker = 0
	bestEffort := step(32)
	bestEffort.BestEffort, bestEffort.Image, bestEffort.Estimate = true, heavyImage, 10_000
	r.submit("h", bestEffort)
	return r
}

// waitForConsolidation lets the blocked step wait until consolidation considers it, and returns the stop orders.
func (r *rig) waitForConsolidation() []StopOrder {
	r.reportAtWork()
	r.placeAndStart()
	r.now = r.now.Add(consolidateDelay + consolidateInterval)
	r.reportAtWork()
	r.placeAndStart()
	return r.StopOrders(r.now)
}

// reportAtWork answers the due polls with long-running tasks that are at work.
func (r *rig) reportAtWork() {
	replies := map[string]PollReply{}
	for id := range r.workers {
		l := r.listRunning(id)
		for i := range l.Running {
			l.Running[i].Percent = fullPercent
		}
		replies[string(id)] = l
	}
	r.answerPolls(replies)
}

func TestClearedWorkerTakesBlockedTasksAndItsTaskItsDestination(t *testing.T) {
	is := is.New(t)
	r := newSpread(0, "a", "b")
	stops := r.waitForConsolidation()
	is.Equal(len(stops), 1) // one worker is cleared, the other one is the destination
	cleared, kept := stops[0].Worker, table.WorkerID("a")
	if cleared == kept {
		kept = "b"
	}
	r.answerPolls(map[string]PollReply{string(cleared): {Ended: []TaskResult{{Number: 1, Task: stops[0].Task, Run: stops[0].Run, Cause: EndStopped}}}})
	bestEffort := 0
	for _, o := range r.placeAndStart() {
		if o.Task == stops[0].Task {
			is.Equal(o.Worker, kept)
			continue
		}
		is.Equal(o.Worker, cleared)
		bestEffort++
	}
	is.Equal(bestEffort, 16)
}

func TestConsolidationKeepsTheDisruptionBudget(t *testing.T) {
	is := is.New(t)
	r := newSpread(1, "a", "b", "c", "d")
	is.Equal(len(r.waitForConsolidation()), 1) // the budget spares one task
	r.now = r.now.Add(consolidateInterval)
	r.placeAndStart()
	is.Equal(len(r.StopOrders(r.now)), 0)
}

func TestNoConsolidationWithoutDestination(t *testing.T) {
	is := is.New(t)
	r := newSpread(0, "a")
	is.Equal(len(r.waitForConsolidation()), 0) // the only task has no other worker
}

// Steps of another service, and those that only labelled workers can run, must not make workers be cleared; nor must a
// gang be broken, whose members all stop with one.
func TestWorkersThatAreNotCleared(t *testing.T) {
	for name, change := range map[string]func(*rig){
		"another service": func(r *rig) { r.jobs["h"].queue.Service = "elsewhere" },
		"a label":         func(r *rig) { r.jobs["h"].spec.Steps[0].Label = "gold" },
		"a gang":          func(r *rig) { r.jobs["s"].spec.Steps[0].Gang = true },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newSpread(0, "a", "b")
			change(r)
			is.Equal(len(r.waitForConsolidation()), 0)
		})
	}
}
