package main

import (
	"fmt"
	"sync"
	"time"

	"persimmonpick/platform/emulator"
)

// The bounds that the judge holds the system to.
const (
	settleTimeout = 40 * time.Second        // after the last fault until all accepted jobs must have ended
	maxViewAge    = 2500 * time.Millisecond // hosts show no older states
	maxCancelTime = 4 * time.Second         // after a confirmed cancel, without faults, until nothing of the job runs
)

// violationKind names a broken promise.
type violationKind string

const (
	runsTwice     violationKind = "RunsTwice"
	runsAfterDone violationKind = "RunsAfterDone"
	ranRefused    violationKind = "RanThoughRefused"
	lostJob       violationKind = "LostJob"
	falseState    violationKind = "FalseState"
	notStopped    violationKind = "NotStopped"
)

// jobRecord is what callers know of a job.
type jobRecord struct {
	accepted       time.Time
	unknownOutcome bool // some attempt got no definite answer
	cancelled      time.Time
	tasks          int
	completed      time.Time // first shown as completed
}

// checker notes what callers and workers see and what promises that breaks.
type checker struct {
	mu          sync.Mutex
	running     map[string]map[string]int // by task, the worker and the run
	doneRuns    map[string]int            // ends that count; a worker that restarts takes those back that nobody acknowledged
	doneTasks   map[string]bool           // tasks of which some run was done
	startedJobs map[string]bool           // by job
	jobs        map[string]*jobRecord
	violations  []string
	starts      int
}

func newChecker() *checker {
	return &checker{
		running: map[string]map[string]int{}, doneRuns: map[string]int{}, doneTasks: map[string]bool{}, startedJobs: map[string]bool{}, jobs: map[string]*jobRecord{},
	}
}

func (j *checker) report(kind violationKind, format string, args ...any) {
	j.violations = append(j.violations, fmt.Sprintf("%s %s", kind, fmt.Sprintf(format, args...)))
}

// runStarted is called by a worker.
func (j *checker) runStarted(worker, task string, run int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.starts++
	job, _ := emulator.JobOf(task)
	j.startedJobs[job] = true
	if len(j.running[task]) > 0 {
		j.report(runsTwice, "%s run %d on %s beside %v", task, run, worker, j.running[task])
	}
	if j.doneRuns[task] > 0 {
		j.report(runsAfterDone, "%s run %d on %s", task, run, worker)
	}
	if j.running[task] == nil {
		j.running[task] = map[string]int{}
	}
	j.running[task][worker] = run
}

// runEnded is called by a worker.
func (j *checker) runEnded(worker, task string, _ int, how string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	switch how {
	case emulator.Forgotten:
		j.doneRuns[task]--
		return
	case "done":
		j.doneRuns[task]++
		j.doneTasks[task] = true
	}
	delete(j.running[task], worker)
}

// submitted notes the answer to a submission; status 0 means that there was none.
func (j *checker) submitted(id string, tasks, status int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r := j.jobs[id]
	if r == nil {
		r = &jobRecord{tasks: tasks}
		j.jobs[id] = r
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

// observed notes a state that a caller read.
func (j *checker) observed(id string, status int, state string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r := j.jobs[id]
	if r == nil || r.accepted.IsZero() {
		return
	}
	if status == 410 {
		j.report(falseState, "%s is unknown %v after it was accepted", id, time.Since(r.accepted).Round(time.Millisecond))
	}
	if !r.completed.IsZero() && time.Since(r.completed) > maxViewAge+callTimeout && state != "completed" && status == 200 && r.cancelled.IsZero() {
		j.report(falseState, "%s was completed and is %s", id, state)
	}
	if state == "failed" {
		j.report(falseState, "%s failed though no run did", id)
	}
	if state == "completed" {
		if r.completed.IsZero() {
			r.completed = time.Now()
		}
		if n := j.countDoneTasks(id); n < r.tasks {
			j.report(falseState, "%s is completed with %d of %d tasks done", id, n, r.tasks)
		}
	}
}

func (j *checker) countDoneTasks(id string) int {
	n := 0
	for task := range j.doneTasks {
		if job, _ := emulator.JobOf(task); job == id {
			n++
		}
	}
	return n
}

// cancelConfirmed notes a confirmed cancel.
func (j *checker) cancelConfirmed(id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if r := j.jobs[id]; r != nil && r.cancelled.IsZero() {
		r.cancelled = time.Now()
	}
}

// openJobs returns the accepted jobs that callers have not seen end.
func (j *checker) openJobs() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	var ids []string
	for id, r := range j.jobs {
		if !r.accepted.IsZero() && r.cancelled.IsZero() && r.completed.IsZero() {
			ids = append(ids, id)
		}
	}
	return ids
}

// finish judges what only the end can show.
func (j *checker) finish() {
	for _, id := range j.openJobs() {
		j.mu.Lock()
		j.report(lostJob, "%s has %d of %d tasks done", id, j.countDoneTasks(id), j.jobs[id].tasks)
		j.mu.Unlock()
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	for id, r := range j.jobs {
		if r.accepted.IsZero() && !r.unknownOutcome && j.startedJobs[id] {
			j.report(ranRefused, "%s", id)
		}
	}
	for task, on := range j.running {
		job, _ := emulator.JobOf(task)
		r := j.jobs[job]
		if len(on) > 0 && r != nil && !r.cancelled.IsZero() && time.Since(r.cancelled) > maxCancelTime {
			j.report(notStopped, "%s runs on %v", task, on)
		}
	}
}
