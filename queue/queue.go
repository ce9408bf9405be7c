package queue

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"persimmonpick/table"
)

// Entry is the unit of placement: one task, or all pending tasks of a gang.
type Entry struct {
	Job     *table.Job
	Tasks   []*table.Task
	Need    table.Resources // of each task
	RunTime time.Duration   // estimate for each task
}

// Queue yields the pending work in order. It is valid for one tick.
type Queue struct {
	cfg   Config
	now   time.Time
	scan  *Scan
	total table.Resources
	teams []*team
}

// rank is the precedence class of a job; lower ranks come first.
type rank int

const (
	rankUrgent rank = iota
	rankDeadline
	rankNormal
	numRanks
)

// pendingJob is a job with pending tasks that have not been taken yet.
type pendingJob struct {
	job    *table.Job
	tasks  []*table.Task
	sorted bool // whether tasks is in order of IDs
	need   table.Resources
	run    time.Duration
	key    int64 // Unix milliseconds: latest start for rankDeadline, time of submission otherwise
}

// New returns a queue of the pending work in t; scan must belong to t.
func New(t *table.Tables, scan *Scan, now time.Time, cfg Config) *Queue {
	q := &Queue{cfg: cfg.withDefaults(), now: now, scan: scan, total: totalCapacity(t)}
	byID := map[table.TeamID]*team{}
	for id, tasks := range scan.Pending {
		j := t.Jobs[id]
		if j == nil || j.State.Final() {
			continue
		}
		tm := byID[j.Team]
		if tm == nil {
			tm = newTeam(t, j.Team, q.total)
			byID[j.Team] = tm
			q.teams = append(q.teams, tm)
		}
		r, w := q.classify(j, tasks)
		tm.jobs[r] = append(tm.jobs[r], w)
	}
	slices.SortFunc(q.teams, func(a, b *team) int { return cmp.Compare(a.id, b.id) })
	for _, tm := range q.teams {
		for r := range tm.jobs {
			heap.Init(&tm.jobs[r])
		}
	}
	return q
}

// Order returns the next tasks in order, assuming that each can be placed. It stops once it has cfg.Window
// tasks; a gang is never cut, so the last one may exceed the window.
func Order(t *table.Tables, now time.Time, cfg Config) []table.TaskID {
	q := New(t, NewScan(t), now, cfg)
	var ids []table.TaskID
	for len(ids) < q.cfg.Window {
		e, ok := q.Next()
		if !ok {
			break
		}
		for _, task := range e.Tasks {
			ids = append(ids, task.ID)
		}
	}
	return ids
}

// Next removes the next entry from the queue and charges it to its team; Refuse reverts the charge.
func (q *Queue) Next() (Entry, bool) {
	for r := range numRanks {
		tm := q.lowestShare(r)
		if tm != nil {
			return q.take(tm, r), true
		}
	}
	return Entry{}, false
}

// Refuse reverts the charge for e, which could not be placed, and removes the remaining tasks of its job from
// the queue.
func (q *Queue) Refuse(e Entry) {
	for _, tm := range q.teams {
		if tm.id == e.Job.Team {
			tm.used = tm.used.Minus(times(e.Need, len(e.Tasks)))
			tm.removeJob(e.Job.ID)
		}
	}
}

// classify returns the rank of j and its queue element.
func (q *Queue) classify(j *table.Job, tasks []*table.Task) (rank, *pendingJob) {
	w := &pendingJob{job: j, tasks: tasks, need: q.cfg.Need(j), run: q.cfg.RunTime(j), key: int64(j.Submitted)}
	if j.Urgent {
		return rankUrgent, w
	}
	if j.Deadline == 0 {
		return rankNormal, w
	}
	deadline := time.UnixMilli(int64(j.Deadline))
	latest := deadline.Add(-time.Duration(deadlineFactor * float64(w.run)))
	// A job that has already missed its deadline must not delay jobs that can still meet theirs.
	if q.now.After(deadline) || q.now.Before(latest.Add(-q.cfg.Slack)) {
		return rankNormal, w
	}
	w.key = latest.UnixMilli()
	return rankDeadline, w
}

// lowestShare returns the team with the lowest weighted dominant share that has work of rank r within its
// quota, or nil.
func (q *Queue) lowestShare(r rank) *team {
	var best *team
	for _, tm := range q.teams {
		if best != nil && tm.share() >= best.share() {
			continue
		}
		if q.hasReady(tm, r) {
			best = tm
		}
	}
	return best
}

// hasReady drops the jobs at the head of rank r that the quota of tm blocks, and reports whether one is left.
func (q *Queue) hasReady(tm *team, r rank) bool {
	for tm.jobs[r].Len() > 0 {
		w := tm.jobs[r][0]
		if tm.fitsQuota(w) {
			return true
		}
		heap.Pop(&tm.jobs[r])
		// Otherwise younger jobs of the team could use up the quota forever and starve this job.
		if q.now.Sub(time.UnixMilli(int64(w.job.Submitted))) > q.cfg.MaxBypass && tm.couldFitQuota(w) {
			tm.dropFromRank(r)
		}
	}
	return false
}

// take removes the first entry of rank r of tm and charges it to the team.
func (q *Queue) take(tm *team, r rank) Entry {
	w := tm.jobs[r][0]
	w.sort()
	e := Entry{Job: w.job, Need: w.need, RunTime: w.run, Tasks: w.tasks[:1]}
	if w.job.Gang {
		e.Tasks = w.tasks
	}
	w.tasks = w.tasks[len(e.Tasks):]
	if len(w.tasks) == 0 {
		heap.Pop(&tm.jobs[r])
	}
	tm.charge(times(w.need, len(e.Tasks)))
	return e
}

// sort puts the tasks in order of IDs on first use.
func (w *pendingJob) sort() {
	if w.sorted {
		return
	}
	slices.SortFunc(w.tasks, func(a, b *table.Task) int { return cmp.Compare(a.ID, b.ID) })
	w.sorted = true
}

func times(r table.Resources, n int) table.Resources {
	return table.Resources{
		CPU:          r.CPU * table.Millicores(n),
		Memory:       r.Memory * table.Bytes(n),
		Accelerators: r.Accelerators * n,
	}
}
