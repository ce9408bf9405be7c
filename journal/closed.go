package journal

import (
	"cmp"
	"maps"
	"slices"
	"strconv"

	"persimmonpick/table"
)

// closedTaskStates maps closedTask.State to a task state; the order is part of the snapshot format.
var closedTaskStates = []table.TaskState{table.TaskFinished, table.TaskFailed, table.TaskCancelled}

// closedJob is the compact form of a final job. Its tasks are stored without ids and field names, which make up most of
// the size of a task.
type closedJob struct {
	Job   *table.Job // without Tasks
	Tasks []closedTask
}

// closedTask is the compact form of a task of a final job; tasks are stored in the order of Job.Tasks.
type closedTask struct {
	_         struct{} `cbor:",toarray"`
	State     int      // index in closedTaskStates
	LastToken table.Token
	Changed   table.Offset
	Attempts  int
	Evictions int
	Result    []byte
	Reason    string
}

// taskID returns the id of task i of a job.
func taskID(id table.JobID, i int) table.TaskID {
	return table.TaskID(string(id) + "/" + strconv.Itoa(i))
}

// newClosedJob returns the compact form of j, or false if that would lose information.
func newClosedJob(t *table.Tables, j *table.Job) (*closedJob, bool) {
	if j == nil || !j.State.Final() {
		return nil, false
	}
	withoutTasks := *j
	withoutTasks.Tasks = nil
	c := &closedJob{Job: &withoutTasks, Tasks: make([]closedTask, len(j.Tasks))}
	for i, id := range j.Tasks {
		task := t.Tasks[id]
		if task == nil || id != taskID(j.ID, i) || !fitsClosedTask(task, j.ID) {
			return nil, false
		}
		c.Tasks[i] = closedTask{
			State: slices.Index(closedTaskStates, task.State), LastToken: task.LastToken, Changed: task.Changed,
			Attempts: task.Attempts, Evictions: task.Evictions, Result: task.Result, Reason: task.Reason,
		}
	}
	return c, true
}

// fitsClosedTask reports whether a closedTask can represent all of task.
func fitsClosedTask(task *table.Task, job table.JobID) bool {
	return task.Job == job && task.State.Final() && task.Checkpoint == nil && task.Lease == (table.Lease{})
}

// setJobs stores the jobs and tasks of t in m, with final jobs in compact form where possible.
func (m *image) setJobs(t *table.Tables) {
	compacted := map[table.JobID]bool{}
	n := 0
	for _, id := range table.SortedJobs(t) {
		c, ok := newClosedJob(t, t.Jobs[id])
		if !ok {
			m.Jobs = append(m.Jobs, t.Jobs[id])
			continue
		}
		m.Closed = append(m.Closed, c)
		compacted[id] = true
		n += len(c.Tasks)
	}
	m.Tasks = tasksNotIn(t, compacted)
	if n+len(m.Tasks) != len(t.Tasks) {
		// A task that its job does not list must not be dropped silently. Stored in full, it makes the image fail the
		// consistency check when it is read.
		m.Closed = nil
		m.Jobs = slices.SortedFunc(maps.Values(t.Jobs), func(a, b *table.Job) int { return cmp.Compare(a.ID, b.ID) })
		m.Tasks = tasksNotIn(t, nil)
	}
}

// tasksNotIn returns the tasks whose job is not in compacted, sorted by id.
func tasksNotIn(t *table.Tables, compacted map[table.JobID]bool) []*table.Task {
	var tasks []*table.Task
	for _, task := range t.Tasks {
		if !compacted[task.Job] {
			tasks = append(tasks, task)
		}
	}
	slices.SortFunc(tasks, func(a, b *table.Task) int { return cmp.Compare(a.ID, b.ID) })
	return tasks
}

// expandJobs restores the jobs in compact form to m.Jobs and m.Tasks; it returns false if one of them is invalid.
func (m *image) expandJobs() bool {
	for _, c := range m.Closed {
		if c == nil || c.Job == nil || !c.Job.State.Final() {
			return false
		}
		if !m.expandTasks(c) {
			return false
		}
		m.Jobs = append(m.Jobs, c.Job)
	}
	m.Closed = nil
	return true
}

func (m *image) expandTasks(c *closedJob) bool {
	c.Job.Tasks = make([]table.TaskID, len(c.Tasks))
	for i, s := range c.Tasks {
		if s.State < 0 || s.State >= len(closedTaskStates) {
			return false
		}
		id := taskID(c.Job.ID, i)
		c.Job.Tasks[i] = id
		m.Tasks = append(m.Tasks, &table.Task{
			ID: id, Job: c.Job.ID, State: closedTaskStates[s.State], LastToken: s.LastToken, Changed: s.Changed,
			Attempts: s.Attempts, Evictions: s.Evictions, Result: s.Result, Reason: s.Reason,
		})
	}
	return true
}
