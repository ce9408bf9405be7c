package main

import (
	"fmt"
	"slices"
	"strings"
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

// Limits on tasks that crash their workers.
const (
	crashesToGiveUp = 2           // a task may be given up after so many workers have crashed under it
	crashesToCount  = 3           // after so many, further starts of a deadly task count
	maxFurther      = 3           // so many further starts are a violation once crashesToGiveUp crashes are known
	maxUndecided    = 6           // so many are one in any case
	keepTime        = time.Second // without faults after the answer to a start, in which a leader records it
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
	overStarted   violationKind = "OverStarted"      // a deadly task that is started on and on
	startedInZone violationKind = "StartedInZone"    // a start in an availability zone that is evacuated
)

// jobRecord is what callers have observed of a job.
type jobRecord struct {
	accepted       time.Time
	unknownOutcome bool // some submission got no definite response
	cancelled      time.Time
	cancelUnknown  bool // some cancellation got no definite response
	tasks          int
	final          string    // completed or failed, whichever was shown first
	ended          time.Time // first shown in that state
	shown          string    // status and state of the last response
}

// taskRun names a run of a task.
type taskRun struct {
	task string
	run  int
}

// answer is the response of a worker to a start.
type answer struct {
	worker string
	at     time.Time
}

// faultTime is the time of a fault that keeps hosts from learning or recording what a worker answers.
type faultTime struct {
	worker   string // behind a faulty link; empty for a fault of hosts or the log
	from, to time.Time
}

// checker records what callers and workers observe and the violations of invariants in it.
type checker struct {
	mu          sync.Mutex
	running     map[string]map[string]int // run numbers by task and worker
	doneRuns    map[string]int            // by task; an unacknowledged result that its worker discards no longer counts
	doneTasks   map[string]bool           // tasks with at least one done run
	startedJobs map[string]bool           // jobs of which some run has started
	crashes     map[string]int            // workers that crashed while a run of the task was at work on them
	further     map[string]int            // starts of deadly tasks after crashesToCount crashes
	answers     map[taskRun]answer        // to the starts of deadly tasks
	crashedRuns map[string][]int          // of deadly tasks, by task
	faults      []*faultTime
	jobs        map[string]*jobRecord
	zones       map[string]time.Time // that are evacuated, by when that was requested
	thawed      time.Time            // when a host last ran again after a pause
	violations  []string
	starts      int
}

func newChecker() *checker {
	return &checker{
		running: map[string]map[string]int{}, doneRuns: map[string]int{}, doneTasks: map[string]bool{}, startedJobs: map[string]bool{},
		crashes: map[string]int{}, further: map[string]int{}, jobs: map[string]*jobRecord{},
		answers: map[taskRun]answer{}, crashedRuns: map[string][]int{}, zones: map[string]time.Time{},
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
	if n := c.crashes[task]; n >= crashesToCount && isDeadly(task) {
		c.further[task]++
		known := c.knownCrashes(task)
		if further := c.further[task]; further >= maxUndecided || further >= maxFurther && known >= crashesToGiveUp {
			c.report(overStarted, "task %s: run %d is start %d after %d workers crashed under it, %d crashes were known", task, run, further, crashesToCount, known)
		}
	}
	if c.running[task] == nil {
		c.running[task] = map[string]int{}
	}
	c.running[task][worker] = run
}

// startAnswered records the response to the start of a run; workers call it.
func (c *checker) startAnswered(worker, zone, task string, run int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checkZone(worker, zone, task, run)
	if isDeadly(task) {
		c.answers[taskRun{task, run}] = answer{worker, time.Now()}
	}
}

// faultBegan records that a fault keeps hosts from learning or recording what a worker answers, or any worker if the
// given name is empty. The fault goes on until ended is called.
func (c *checker) faultBegan(worker string) (ended func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := &faultTime{worker: worker, from: time.Now()}
	c.faults = append(c.faults, f)
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		f.to = time.Now()
	}
}

// knownCrashes returns how many crashes of a deadly task hosts must know to be under runs that had taken effect: the
// start was answered, and no fault kept a leader from recording that.
func (c *checker) knownCrashes(task string) int {
	n := 0
	for _, run := range c.crashedRuns[task] {
		if a, answered := c.answers[taskRun{task, run}]; answered && !c.disturbed(a) {
			n++
		}
	}
	return n
}

// disturbed reports whether a fault may have kept a leader from recording a.
func (c *checker) disturbed(a answer) bool {
	until := a.at.Add(keepTime)
	return time.Now().Before(until) || slices.ContainsFunc(c.faults, func(f *faultTime) bool {
		return (f.worker == "" || f.worker == a.worker) && f.from.Before(until) && (f.to.IsZero() || f.to.After(a.at))
	})
}

// runEnded records the end of a run, or that its result was discarded; workers call it.
func (c *checker) runEnded(worker, task string, run int, outcome string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch outcome {
	case emulator.Forgotten:
		c.doneRuns[task]--
		return
	case "done":
		c.doneRuns[task]++
		c.doneTasks[task] = true
	case emulator.Crashed:
		c.crashes[task]++
		if isDeadly(task) {
			c.crashedRuns[task] = append(c.crashedRuns[task], run)
		}
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
	isFinal := state == "completed" || state == "failed"
	if r.final != "" && r.final != state && status == 200 && r.cancelled.IsZero() && (isFinal || time.Since(r.ended) > maxViewAge+callTimeout) {
		c.report(falseState, "job %s: shown as %s before and as %s now", id, r.final, state)
	}
	if isFinal && r.final == "" {
		r.final, r.ended = state, time.Now()
		if n := c.mostCrashes(id); state == "failed" && n < crashesToGiveUp {
			c.report(falseState, "job %s: shown as failed, but no run failed and %d workers crashed under one of its tasks", id, n)
		}
	}
	if state == "completed" {
		if n := c.countDoneTasks(id); n < r.tasks {
			c.report(falseState, "job %s: shown as completed with %d of %d tasks done", id, n, r.tasks)
		}
	}
}

// mostCrashes returns the largest number of workers that have crashed under one task of a job.
func (c *checker) mostCrashes(id string) int {
	most := 0
	for task, n := range c.crashes {
		if job, _ := emulator.JobOf(task); job == id {
			most = max(most, n)
		}
	}
	return most
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

// openJobs returns the accepted jobs that were neither cancelled nor observed as completed or failed.
func (c *checker) openJobs() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var ids []string
	for id, r := range c.jobs {
		ended := r.final != "" || r.cancelUnknown && r.shown == shownCancelled
		if !r.accepted.IsZero() && r.cancelled.IsZero() && !ended {
			ids = append(ids, id)
		}
	}
	return ids
}

// givenUp returns the number of jobs without a deadly task that were shown as failed.
func (c *checker) givenUp() int {
	n := 0
	for id, r := range c.jobs {
		if r.final == "failed" && !strings.HasPrefix(id, deadlyPrefix) {
			n++
		}
	}
	return n
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
