package main

import (
	"fmt"
	"sync"
	"time"

	"persimmonpick/platform/emulator"
)

// Bounds that the system must meet.
const (
	settleTimeout = 40 * time.Second        // from the last fault until all accepted jobs have ended
	maxViewAge    = 2500 * time.Millisecond // age of the job states that hosts show
	maxCancelTime = 4 * time.Second         // from a confirmed cancel, without faults, until no run of the job is left
)

// violationKind names the invariant that is violated.
type violationKind string

const (
	runsTwice     violationKind = "RunsTwice"        // two runs of a task at once
	runsAfterDone violationKind = "RunsAfterDone"    // a run of a task that was done
	ranRefused    violationKind = "RanThoughRefused" // a run of a job whose submissions were all refused
	lostJob       violationKind = "LostJob"          // an accepted job that did not end
	falseState    violationKind = "FalseState"       // a job state shown to a caller that cannot be true
	notStopped    violationKind = "NotStopped"       // a task that runs on after its job was cancelled
)

// jobRecord is what callers have observed of a job.
type jobRecord struct {
	accepted       time.Time
	unknownOutcome bool // some submission got no definite response
	cancelled      time.Time
	cancelUnknown  bool // some cancellation got no definite response
	tasks          int
	completed      time.Time // first shown as completed
	shown          string    // status and state of the last response
}

// checker records what callers and workers observe and the violations of invariants in it.
type checker struct {
	mu          sync.Mutex
	running     map[string]map[string]int // run numbers by task and worker
	doneRuns    map[string]int            // by task; an unacknowledged result that its worker discards no longer counts
	doneTasks   map[string]bool           // tasks with at least one done run
	startedJobs map[string]bool           // jobs of which some run has started
	jobs        map[string]*jobRecord
	violations  []string
	starts      int
}

func newChecker() *checker {
	return &checker{
		running: map[string]map[string]int{}, doneRuns: map[string]int{}, doneTasks: map[string]bool{}, startedJobs: map[string]bool{}, jobs: map[string]*jobRecord{},
	}
}

func (c *checker) report(kind violationKind, format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf("%s %s", kind, fmt.Sprintf(format, args...)))
}

// runStarted records the start of a run; workers call it.
func (c *checker) runStarted(worker, task string, run int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.starts++
	job, _ := emulator.JobOf(task)
	c.startedJobs[job] = true
	if len(c.running[task]) > 0 {
		c.report(runsTwice, "task %s: run %d started on %s while these run: %v", task, run, worker, c.running[task])
	}
	if c.doneRuns[task] > 0 {
		c.report(runsAfterDone, "task %s: run %d started on %s", task, run, worker)
	}
	if c.running[task] == nil {
		c.running[task] = map[string]int{}
	}
	c.running[task][worker] = run
}

// runEnded records the end of a run, or that its result was discarded; workers call it.
func (c *checker) runEnded(worker, task string, _ int, outcome string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch outcome {
	case emulator.Forgotten:
		c.doneRuns[task]--
		return
	case "done":
		c.doneRuns[task]++
		c.doneTasks[task] = true
	}
	delete(c.running[task], worker)
}

// submitted records the response to a submission; status 0 means that there was none.
func (c *checker) submitted(id string, tasks, status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.jobs[id]
	if r == nil {
		r = &jobRecord{tasks: tasks}
		c.jobs[id] = r
	}
	switch {
	case status >= 200 && status < 300:
		if r.accepted.IsZero() {
			r.accepted = time.Now()
		}
	case status == 0 || status == 502 || status == 504:
		r.unknownOutcome = true
	}
}

// observed checks and records a job state that a caller has read.
func (c *checker) observed(id string, status int, state string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.jobs[id]
	if r == nil || r.accepted.IsZero() {
		return
	}
	r.shown = fmt.Sprintf("%d %s", status, state)
	if status == 410 {
		c.report(falseState, "job %s: unknown %v after it was accepted", id, time.Since(r.accepted).Round(time.Millisecond))
	}
	if !r.completed.IsZero() && time.Since(r.completed) > maxViewAge+callTimeout && state != "completed" && status == 200 && r.cancelled.IsZero() {
		c.report(falseState, "job %s: shown as completed before and as %s now", id, state)
	}
	if state == "failed" {
		c.report(falseState, "job %s: shown as failed, but no run failed", id)
	}
	if state == "completed" {
		if r.completed.IsZero() {
			r.completed = time.Now()
		}
		if n := c.countDoneTasks(id); n < r.tasks {
			c.report(falseState, "job %s: shown as completed with %d of %d tasks done", id, n, r.tasks)
		}
	}
}

func (c *checker) countDoneTasks(id string) int {
	n := 0
	for task := range c.doneTasks {
		if job, _ := emulator.JobOf(task); job == id {
			n++
		}
	}
	return n
}

// cancelConfirmed records a confirmed cancellation.
func (c *checker) cancelConfirmed(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.jobs[id]; r != nil && r.cancelled.IsZero() {
		r.cancelled = time.Now()
	}
}

// cancelUnanswered records a cancellation that may have taken effect.
func (c *checker) cancelUnanswered(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.jobs[id]; r != nil {
		r.cancelUnknown = true
	}
}

// shownCancelled is what a caller is shown of a cancelled job.
const shownCancelled = "200 cancelled"

// openJobs returns the accepted jobs that were neither cancelled nor observed as completed.
func (c *checker) openJobs() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var ids []string
	for id, r := range c.jobs {
		ended := !r.completed.IsZero() || r.cancelUnknown && r.shown == shownCancelled
		if !r.accepted.IsZero() && r.cancelled.IsZero() && !ended {
			ids = append(ids, id)
		}
	}
	return ids
}

// finish checks the invariants that can be checked only at the end of a run.
func (c *checker) finish() {
	for _, id := range c.openJobs() {
		c.mu.Lock()
		c.report(lostJob, "job %s: not ended, %d of %d tasks done, last shown as %q", id, c.countDoneTasks(id), c.jobs[id].tasks, c.jobs[id].shown)
		c.mu.Unlock()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, r := range c.jobs {
		if r.accepted.IsZero() && !r.unknownOutcome && c.startedJobs[id] {
			c.report(ranRefused, "%s", id)
		}
	}
	for task, workers := range c.running {
		job, _ := emulator.JobOf(task)
		r := c.jobs[job]
		if len(workers) > 0 && r != nil && !r.cancelled.IsZero() && time.Since(r.cancelled) > maxCancelTime {
			c.report(notStopped, "task %s: still running on %v", task, workers)
		}
	}
}
