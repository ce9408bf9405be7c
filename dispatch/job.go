package dispatch

import (
	"time"

	"persimmonpick/table"
	"persimmonpick/workload"
)

// phase says where a task stands on the board.
type phase uint8

const (
	waiting  phase = iota
	reserved       // its place is being written to the log
	starting       // the order was sent
	running
	stopping
	done
)

// held says whether a task in phase p takes up its worker.
func (p phase) held() bool { return p > waiting && p < done }

// task is one task of a job.
type task struct {
	key        workload.TaskKey
	group      *group
	phase      phase
	run        workload.RunNumber // newest run
	failures   int
	checkpoint string
	cpuPercent       int // percent
	throttlePending     bool

	worker     *worker    // while held
	token      FenceToken // of the start order
	startUnknown  bool       // the start order got no answer
	startResolvedAt   time.Time  // when the outcome of the start order was known
	startedAt      time.Time  // when the run began, as far as known
	percent    int
	progressedAt      time.Time // when percent last changed
	tailLatency       time.Duration
	cpuUsage        table.Millicores
	stopSentAt   time.Time
	stopReason    string
	notBefore  time.Time
	lastFailedOn   table.WorkerID
	moves      int // away from workers where it was slow
	wasRunning bool
}

// group is the tasks of one step of one occurrence.
type group struct {
	job        *job
	occurrence int
	index      int
	step       *workload.Step
	tasks      []*task
	unfinished       int // tasks that are not done
	waitingTasks       int // tasks that wait
	perWorker  map[table.WorkerID]int
	durations  []time.Duration            // of runs that ended as done
	rack       table.RackID               // of its first placed task
	load       load                       // by its users, of tasks that serve
	unplacedSince    time.Time                  // since when tasks wait that found no place; zero if there are none
	waited     time.Duration              // for places, in all
	obstaclesLoggedAt  time.Time                  // when its obstacles were last logged
	approvals   map[table.WorkerID]approval // of the service that approves workers
	advicePending   bool                       // a question is on its way
	nextAdviceAt   time.Time                  // when the next question may be sent
}

// job is a job that is not final.
type job struct {
	id        table.JobID
	queue     workload.Queue
	spec      *workload.Spec
	submitted time.Time
	deadline  time.Time // objective, from the declared estimates
	work      float64   // declared core-milliseconds of one occurrence
	state     workload.State
	groups    map[int][]*group // by occurrence
	nextOccurrence   int              // occurrence that comes next
	finishedOccurrences  int              // occurrences that are done
	dirty     bool             // progress must be written
	statusChanged    bool             // state must be written
}

func newJob(id table.JobID, s *workload.Submission) *job {
	j := &job{
		id: id, queue: s.Queue, spec: &s.Spec, submitted: time.UnixMilli(int64(s.Submitted)),
		groups: map[int][]*group{},
	}
	for i := range s.Spec.Steps {
		j.work += float64(s.Spec.Steps[i].Count) * declaredWork(&s.Spec.Steps[i])
	}
	chain := time.Duration(j.criticalPath(nil)) * time.Millisecond
	j.deadline = j.submitted.Add(time.Duration(max(1, j.queue.Stretch)*float64(chain)) +
		time.Duration(j.queue.Allowance)*time.Millisecond)
	return j
}

// criticalPath returns the estimate of the longest criticalPath of the steps of an occurrence that are left, or of all where gs is nil.
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
			ends[i] += j.spec.Steps[i].Estimate + j.adviceTime()
		}
		longest = max(longest, ends[i])
	}
	return longest
}

// adviceTime returns the time that a step of j needs before its first start.
func (j *job) adviceTime() table.Millis {
	if !j.queue.Advised {
		return 0
	}
	return j.queue.Advice.Takes(adviceUsualWorkers)
}

// openOccurrence makes the tasks of an occurrence.
func (j *job) openOccurrence(occurrence int) []*group {
	if gs := j.groups[occurrence]; gs != nil {
		return gs
	}
	gs := make([]*group, len(j.spec.Steps))
	for i := range j.spec.Steps {
		s := &j.spec.Steps[i]
		g := &group{job: j, occurrence: occurrence, index: i, step: s, unfinished: s.Count, waitingTasks: s.Count, perWorker: map[table.WorkerID]int{}}
		g.tasks = make([]*task, s.Count)
		for n := range g.tasks {
			g.tasks[n] = &task{
				key:   workload.TaskKey{Job: j.id, Occurrence: occurrence, Step: i, Index: n},
				group: g, cpuPercent: fullPercent,
			}
		}
		gs[i] = g
	}
	j.groups[occurrence] = gs
	j.nextOccurrence = max(j.nextOccurrence, occurrence+1)
	return gs
}

// recordUnplaced notes whether tasks of g are left without a place after a decision.
func (g *group) recordUnplaced(place bool, now time.Time) {
	switch {
	case place && g.unplacedSince.IsZero():
		g.unplacedSince = now
	case !place && !g.unplacedSince.IsZero():
		g.waited += now.Sub(g.unplacedSince)
		g.unplacedSince = time.Time{}
	}
}

// jobSummary sums up what happened to a job, for its last log line.
type jobSummary struct {
	waited          time.Duration // for places, of the steps one after the other
	tasks, failures int
	moves, reruns   int
}

func (j *job) summary(now time.Time) jobSummary {
	var c jobSummary
	for _, gs := range j.groups {
		for _, g := range gs {
			g.recordUnplaced(false, now)
			c.waited += g.waited
		}
	}
	j.each(func(t *task) {
		c.tasks++
		c.failures += t.failures
		c.moves += t.moves
		c.reruns += max(0, int(t.run)-1-t.failures)
	})
	return c
}

// ready says whether the steps that g waits for are done.
func (g *group) ready() bool {
	gs := g.job.groups[g.occurrence]
	for _, a := range g.step.After {
		if gs[a].unfinished > 0 {
			return false
		}
	}
	return true
}

// need returns what one task counts against the capacity of a worker.
func (g *group) need() table.Resources {
	n := g.step.Need
	if g.step.Fills {
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

// progress returns the record of what must outlive this process.
func (j *job) progress() workload.Progress {
	var p workload.Progress
	for _, gs := range j.groups {
		for _, g := range gs {
			if g.unfinished == 0 {
				p.Marks = append(p.Marks, workload.TaskMark{Occurrence: g.occurrence, Step: g.index, Index: allTasks, Phase: workload.Done})
				continue
			}
			for _, t := range g.tasks {
				if t.run > 0 {
					p.Marks = append(p.Marks, t.mark())
				}
			}
		}
	}
	return p
}

// allTasks is the index of a mark that stands for all tasks of a step.
const allTasks = -1

func (t *task) mark() workload.TaskMark {
	m := workload.TaskMark{
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

// restore applies the marks of p to a new job; find returns the worker of an id.
func (j *job) restore(p workload.Progress, find func(table.WorkerID) *worker) {
	for _, m := range p.Marks {
		if m.Occurrence < 0 || m.Occurrence >= j.spec.Occurrences() {
			continue
		}
		gs := j.openOccurrence(m.Occurrence)
		if m.Step < 0 || m.Step >= len(gs) || m.Index < allTasks || m.Index >= len(gs[m.Step].tasks) {
			continue
		}
		g := gs[m.Step]
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
}
