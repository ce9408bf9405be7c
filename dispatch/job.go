package dispatch

import (
	"math"
	"time"

	"persimmonpick/table"
	"persimmonpick/workload"
)

// phase is the scheduling state of a task.
type phase uint8

const (
	waiting  phase = iota
	reserved       // assigned to a worker; the record is being written to the log
	starting       // the start order was sent
	running
	stopping
	done
)

var phaseNames = [...]string{"Waiting", "Reserved", "Starting", "Running", "Stopping", "Done"}

// String returns the name of p.
func (p phase) String() string { return phaseNames[p] }

// held reports whether a task in phase p occupies a worker.
func (p phase) held() bool { return p > waiting && p < done }

// task is one task of a job.
type task struct {
	key             workload.TaskKey
	group           *group
	phase           phase
	run             workload.RunNumber // number of the newest run
	failures        int
	checkpoint      string
	cpuPercent      int // share of its processors that the run may use
	throttlePending bool
	shareUnknown    bool // an earlier leader or an order without an answer may have set another share

	worker          *worker          // while held
	token           FenceToken       // of the start order
	orderedTo       table.UnixMillis // incarnation that the start order is for
	startUnknown    bool             // the start order was not answered
	startResolvedAt time.Time        // when the outcome of the start order became known
	startedAt       time.Time        // when the run started, as far as known
	percent         int
	progressedAt    time.Time // when percent last changed
	observed        runProgress
	tailLatency     time.Duration
	cpuUsage        table.Millicores
	stopSentAt      time.Time
	stopReason      string
	notBefore       time.Time
	lastFailedOn    table.WorkerID
	displacedAt     time.Time      // when this leader took it off a worker, while it is to last
	refusedBy       table.WorkerID // refused the last start order; empty once a run has started
	destination     table.WorkerID // of a move by consolidate or out of a zone; empty once it is placed
	zoneMovedAt     time.Time      // when it last left an availability zone that was evacuated
	zoneTriedAt     time.Time      // when a move out of its zone was last considered
	late            lateStart
	bound           bool // may start on the worker of its late starts only, by the last decision
	notBegun        bool // its last start was not carried out by the incarnation that it was for
	repeated        bool // it was sent again under its number
	outdated        bool // the worker has refused the run of the last start as stopped or ended
	moves           int  // times it was moved by supervise
	stalls          int  // times it was moved since its run made no progress
	stall           taskStall
	wasRunning      bool
	throttled       bool      // the run was throttled at some time
	idleSince       time.Time // since when it has not run though its turn has come; zero if it runs or must wait
	idleUnknown     bool      // it may have been idle under an earlier leader, and has not been at work since
	triedAt         time.Time // when placeLongestWaiting last found no place for it
	turn            bool      // it may be isolated on any worker, see takeTurns
	turnAt          time.Time // when it last got its turn
	starved         bool      // may go to a worker in quarantine or beside any neighbor, see markStarved

	crashes      int     // worker crashes in a row that it may have caused
	evidence     float64 // that it has caused them: logarithm of the factor by which they raise its odds
	lastCrash    *crash
	crashRow     int // number of the row of crashes
	knownCrashes int // of these, under runs that had taken effect for sure
	// Since too little is known of its crashes it pauses until notBefore, or until starts are answered again.
	pauses, awaitsAnswers bool
	crashCounted          bool // lastCrash is that of the run
	started               startEvidence
	ends                  []runEnd    // that count against it, the newest maxRunEnds
	seen                  bool        // its worker has listed the run
	listed                bool        // the run was listed or its start confirmed, first at listedAt
	listedAt              WorkerClock // upper bound
	orderedAt             time.Time   // when the start was sent
	confirmedAt           time.Time   // when the worker first confirmed the run
	proven                bool        // the run does not crash its worker
	watched               bool        // counted in worker.watched
	isolated              bool        // counted in worker.isolated
	risk                  float64     // likelihood that the run crashes its worker, counted in worker.risk
}

// startSettledBy reports whether a reply to a poll under the given token tells what has become of the start of t, which
// was not answered: the worker does not carry it out any more.
func (t *task) startSettledBy(token FenceToken) bool {
	return t.phase == starting && t.startUnknown && token > t.token
}

// group holds the tasks of one step of one occurrence.
type group struct {
	job               *job
	occurrence        int
	index             int
	step              *workload.Step
	tasks             []*task
	unfinished        int // tasks that are not done
	waitingTasks      int // tasks in phase waiting
	perWorker         map[table.WorkerID]int
	durations         []time.Duration             // of successful runs without a checkpoint or throttling
	failedRun         workload.RunNumber          // newest that has failed
	perPercent        time.Duration               // least time that one percent took a run with all its processors
	rack              table.RackID                // rack of the first task that was placed
	load              load                        // by its users; of latency-critical tasks
	unplacedSince     time.Time                   // since when tasks have waited for a place; zero if none do
	waited            time.Duration               // total time that tasks waited for a place
	obstaclesLoggedAt time.Time                   // when its obstacles were last logged
	approvals         map[table.WorkerID]approval // decisions of the approval service
	approvalPending   bool                        // an approval request is in flight
	nextApprovalAt    time.Time                   // earliest time of the next request
}

// job is a job that is not final.
type job struct {
	id              table.JobID
	queue           workload.Queue
	spec            *workload.Spec
	submitted       time.Time
	work            float64 // declared millicore-milliseconds of one occurrence
	tasks           int     // of one occurrence
	created         int     // tasks that exist in memory, see createTasks
	state           workload.State
	groups          map[int][]*group // by occurrence; of a scheduled job only while it is not finished
	nextOccurrence  int              // number of the next occurrence to open
	finished        occurrenceSet
	finishedSummary jobSummary  // of the finished occurrences that are not in groups
	foldsRecord     bool        // its progress record did not fit otherwise
	recordRetryAt   time.Time   // when its progress record is written again, which was too large
	dirty           bool        // progress record must be written
	statusChanged   bool        // status record must be written
	writtenIn       batchNumber // newest batch with its progress or its final state
	loggedIn        batchNumber // newest batch whose record of its progress is in the log
	finalLogged     bool        // its final state is in the log
	idleSince       time.Time   // since when nothing of it has run though a task's turn has come
	idleLoggedAt    time.Time
}

func newJob(id table.JobID, s *workload.Submission) *job {
	j := &job{
		id: id, queue: s.Queue, spec: &s.Spec, submitted: time.UnixMilli(int64(s.Submitted)),
		groups: map[int][]*group{},
	}
	for i := range s.Spec.Steps {
		j.tasks += s.Spec.Steps[i].Count
		j.work += float64(s.Spec.Steps[i].Count) * declaredWork(&s.Spec.Steps[i])
	}
	return j
}

// criticalPath returns the estimated duration of the longest chain of dependent steps that are not finished, or of
// all steps if gs is nil.
func (j *job) criticalPath(gs []*group) table.Millis {
	ends := make([]table.Millis, len(j.spec.Steps))
	var longest table.Millis
	for i := range j.spec.Steps {
		var start table.Millis
		for _, a := range j.spec.Steps[i].After {
			start = max(start, ends[a])
		}
		ends[i] = start
		if gs == nil || gs[i].unfinished > 0 {
			ends[i] += j.spec.Steps[i].Estimate + j.approvalTime()
		}
		longest = max(longest, ends[i])
	}
	return longest
}

// approvalTime returns the estimated time that a step of j waits for an approval response before its first start.
func (j *job) approvalTime() table.Millis {
	if !j.queue.NeedsApproval {
		return 0
	}
	return j.queue.Approval.ResponseTime(approvalUsualWorkers)
}

// openOccurrence creates the tasks of an occurrence, unless they exist.
func (j *job) openOccurrence(occurrence int) []*group {
	if gs := j.groups[occurrence]; gs != nil {
		return gs
	}
	gs := make([]*group, len(j.spec.Steps))
	for i := range j.spec.Steps {
		s := &j.spec.Steps[i]
		g := &group{job: j, occurrence: occurrence, index: i, step: s, unfinished: s.Count, waitingTasks: s.Count, perWorker: map[table.WorkerID]int{}}
		gs[i] = g
		if !j.oversized() {
			g.createTasks()
		}
	}
	j.groups[occurrence] = gs
	if j.oversized() {
		j.createTasks()
	}
	j.nextOccurrence = max(j.nextOccurrence, occurrence+1)
	return gs
}

// recordUnplaced records whether a decision left tasks of g without a place.
func (g *group) recordUnplaced(unplaced bool, now time.Time) {
	switch {
	case unplaced && g.unplacedSince.IsZero():
		g.unplacedSince = now
	case !unplaced && !g.unplacedSince.IsZero():
		g.waited += now.Sub(g.unplacedSince)
		g.unplacedSince = time.Time{}
	}
}

// jobSummary summarizes the course of a job for its final log line.
type jobSummary struct {
	waited          time.Duration // for places, summed over the steps
	tasks, failures int
	moves, reruns   int
}

func (j *job) summary(now time.Time) jobSummary {
	c := j.finishedSummary
	for _, gs := range j.groups {
		for _, g := range gs {
			g.recordUnplaced(false, now)
			c.add(g)
		}
	}
	return c
}

func (c *jobSummary) add(g *group) {
	c.waited += g.waited
	c.addTasks(g)
}

func (c *jobSummary) addTasks(g *group) {
	for _, t := range g.tasks {
		c.tasks++
		c.failures += t.failures
		c.moves += t.moves
		c.reruns += max(0, int(t.run)-1-t.failures)
	}
}

// ready reports whether the steps that g depends on are done.
func (g *group) ready() bool {
	if g.tasks == nil {
		return false
	}
	gs := g.job.groups[g.occurrence]
	for _, a := range g.step.After {
		if gs[a].unfinished > 0 {
			return false
		}
	}
	return true
}

// need returns what one task counts against the capacity of a worker.
func (g *group) need() table.Resources { return countedNeed(g.step) }

// countedNeed returns what one task of s counts against the capacity of a worker; best-effort tasks count only with
// their memory and accelerators.
func countedNeed(s *workload.Step) table.Resources {
	n := s.Need
	if s.BestEffort {
		n.CPU = 0
	}
	return n
}

// each calls f for each task of j.
func (j *job) each(f func(*task)) {
	for _, gs := range j.groups {
		for _, g := range gs {
			for _, t := range g.tasks {
				f(t)
			}
		}
	}
}

// progress returns the progress record of j, which the next leader restores.
func (j *job) progress(now time.Time) workload.Progress {
	p := workload.Progress{
		Opened: j.nextOccurrence, Finished: j.finished, Tasks: j.listedOccurrences(), FailedRuns: j.failedRuns(), LateStarts: j.lateStarts(now),
	}
	var folded []workload.DoneTasks
	for _, gs := range j.groups {
		for _, g := range gs {
			if g.unfinished == 0 {
				p.Tasks = append(p.Tasks, workload.TaskProgress{Occurrence: g.occurrence, Step: g.index, Index: allTasks, Phase: workload.Done})
				continue
			}
			if j.foldsRecord {
				folded = g.appendDone(folded)
			}
			for _, t := range g.tasks {
				if t.run > 0 && t.phase != done || t.phase == done && !j.foldsRecord {
					p.Tasks = append(p.Tasks, t.progress())
				}
				if t.crashes > 0 && t.phase != done {
					p.Crashes = append(p.Crashes, workload.TaskCrashes{Occurrence: g.occurrence, Step: g.index, Index: t.key.Index, Crashes: t.crashes})
					p.Evidence = append(p.Evidence, float32(t.evidence))
					p.Known = append(p.Known, t.known())
				}
			}
		}
	}
	p.Done = folded
	return p
}

// allTasks is the index of a progress entry that covers all tasks of a step.
const allTasks = -1

func (t *task) progress() workload.TaskProgress {
	m := workload.TaskProgress{
		Occurrence: t.key.Occurrence, Step: t.key.Step, Index: t.key.Index,
		Run: t.run, Failures: t.failures, Checkpoint: t.checkpoint,
	}
	switch {
	case t.phase == done:
		m.Phase, m.Checkpoint = workload.Done, ""
	case t.phase.held():
		m.Phase, m.Worker = workload.Assigned, t.worker.info.ID
	}
	return m
}

func (t *task) known() workload.KnownCrashes {
	k := workload.KnownCrashes{Crashes: t.knownCrashes}
	if t.phase.held() {
		k.Started, k.Counted = t.started != startNotKnown, t.crashCounted
	}
	if t.phase == waiting && t.pauses {
		k.NotBefore, k.AwaitsAnswers = table.UnixMillis(t.notBefore.UnixMilli()), t.awaitsAnswers
	}
	return k
}

// recordedGroup returns the step that an entry of a progress record names, or nil if there is none.
func (j *job) recordedGroup(occurrence, step, index int) *group {
	if occurrence < 0 || occurrence >= j.spec.Occurrences() || j.finished.has(occurrence) {
		return nil
	}
	gs := j.openOccurrence(occurrence)
	if step < 0 || step >= len(gs) || index < allTasks || index >= gs[step].step.Count || gs[step].unfinished == 0 {
		return nil
	}
	if index != allTasks {
		gs[step].createTasks()
	}
	return gs[step]
}

// restore applies the entries of p to a new job; find returns the worker with the given id.
func (j *job) restore(p workload.Progress, find func(table.WorkerID) *worker) {
	for _, r := range p.Finished {
		for k := max(0, r.First); k < min(r.First+r.Count, j.spec.Occurrences()); k++ {
			j.finishOccurrence(k)
		}
	}
	defer j.restoreOccurrences(p)
	j.restoreFailedRuns(p.FailedRuns)
	j.restoreLateStarts(p.LateStarts)
	for i, c := range p.Crashes {
		if g := j.recordedGroup(c.Occurrence, c.Step, c.Index); g != nil && c.Index != allTasks {
			t := g.tasks[c.Index]
			t.crashes = max(0, c.Crashes)
			if i < len(p.Known) {
				t.knownCrashes = min(t.crashes, max(0, p.Known[i].Crashes))
			}
			if i < len(p.Evidence) && !math.IsNaN(float64(p.Evidence[i])) {
				t.evidence = min(maxEvidence, max(-maxEvidence, float64(p.Evidence[i])))
			}
		}
	}
	for _, m := range p.Tasks {
		g := j.recordedGroup(m.Occurrence, m.Step, m.Index)
		if g == nil {
			continue
		}
		if m.Index == allTasks {
			for _, t := range g.tasks {
				t.phase = done
			}
			g.unfinished, g.waitingTasks = 0, 0
			continue
		}
		t := g.tasks[m.Index]
		t.run, t.failures, t.checkpoint = m.Run, m.Failures, m.Checkpoint
		t.wasRunning = m.Run > 0
		switch m.Phase {
		case workload.Done:
			t.phase = done
			g.unfinished--
			g.waitingTasks--
		case workload.Assigned:
			find(m.Worker).assign(t, running)
		}
	}
	for i, c := range p.Crashes[:min(len(p.Crashes), len(p.Known))] {
		g := j.recordedGroup(c.Occurrence, c.Step, c.Index)
		if g == nil || c.Index == allTasks {
			continue
		}
		t, k := g.tasks[c.Index], p.Known[i]
		switch {
		case t.phase.held():
			t.crashCounted = k.Counted
			if k.Started {
				t.started = startRecorded
			}
		case k.NotBefore > 0 && t.phase == waiting:
			t.notBefore, t.pauses, t.awaitsAnswers = time.UnixMilli(int64(k.NotBefore)), true, k.AwaitsAnswers
		}
	}
	for _, d := range p.Done {
		if g := j.recordedGroup(d.Occurrence, d.Step, allTasks); g != nil {
			g.restoreDone(d)
		}
	}
	for _, gs := range j.groups {
		for _, g := range gs {
			if g.step.Gang {
				g.restoreGang()
			}
		}
	}
}
