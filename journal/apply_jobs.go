package journal

import (
	"strings"

	"persimmonpick/fault"
	"persimmonpick/table"
)

// MaxTasks is the largest number of tasks of one job that Apply accepts.
const MaxTasks = 10000

func (a *applier) jobSubmitted(r *JobSubmitted) fault.Kind {
	if old := a.t.Jobs[r.Job.ID]; old != nil {
		if old.Digest != r.Digest {
			return fault.KeyReused
		}
		return fault.None
	}
	if !validJob(r) {
		return fault.Invalid
	}
	team := a.t.Teams[r.Job.Team]
	if team == nil {
		return fault.NotFound
	}
	kind := a.t.Kinds[r.Job.Kind]
	if kind == nil {
		return fault.Invalid
	}
	if team.MaxJobs > 0 && a.t.TeamJobs[team.ID] >= team.MaxJobs {
		return fault.QuotaExceeded
	}
	a.addJob(r, kind)
	return fault.None
}

func validJob(r *JobSubmitted) bool {
	j := &r.Job
	if j.ID == "" || !validAmounts(j.Need) || j.RunTime < 0 || j.MaxAttempts < 0 {
		return false
	}
	return r.TaskCount >= 1 && r.TaskCount <= MaxTasks
}

func (a *applier) addJob(r *JobSubmitted, kind *table.Kind) {
	j := r.Job
	j.NonIdempotent = j.NonIdempotent || kind.NonIdempotent
	j.State = table.JobPending
	j.Tasks = make([]table.TaskID, r.TaskCount)
	j.Open = r.TaskCount
	j.Counts = table.TaskCounts{}
	j.Digest = r.Digest
	j.Cancelled = false
	j.Changed = a.off
	if j.Submitted == 0 {
		j.Submitted = a.b.Time
	}
	for i := range j.Tasks {
		id := taskID(j.ID, i)
		j.Tasks[i] = id
		task := &table.Task{ID: id, Job: j.ID, State: table.TaskPending, Changed: a.off}
		a.t.Tasks[id] = task
		a.t.Active[id] = task
	}
	a.t.Jobs[j.ID] = &j
	a.t.TeamJobs[j.Team]++
}

func (a *applier) jobCancelled(r *JobCancelled) fault.Kind {
	j := a.t.Jobs[r.Job]
	if j == nil {
		return fault.NotFound
	}
	if j.Cancelled {
		return fault.None
	}
	if j.State.Final() {
		return fault.Conflict
	}
	j.Cancelled = true
	j.Changed = a.off
	for _, id := range j.Tasks {
		a.cancelTask(a.t.Tasks[id])
	}
	return fault.None
}

// cancelTask cancels a pending task and revokes the lease of a held one. A task in state Unknown is left to an
// operator.
func (a *applier) cancelTask(task *table.Task) {
	switch {
	case task.State == table.TaskPending:
		a.setState(task, table.TaskCancelled)
	case task.State.Held():
		task.Lease.Cancelled = true
		a.revoke(task, "job cancelled")
	}
}

// setState sets the state of task and updates its job and team accordingly; it does not change the lease.
func (a *applier) setState(task *table.Task, state table.TaskState) {
	j := a.t.Jobs[task.Job]
	addTaskCount(j, task.State, -1)
	addTaskCount(j, state, 1)
	if state.Final() && !task.State.Final() {
		j.Open--
		delete(a.t.Active, task.ID)
		compact(task)
	}
	task.State = state
	task.Changed = a.off
	j.Changed = a.off
	j.State = jobState(j)
	if j.Open == 0 {
		a.closeJob(j)
	}
}

// maxReasonBytes is the longest reason that a final task retains; a worker may report an entire log as the reason.
const maxReasonBytes = 256

// compact drops the parts of a final task that are no longer read. Callers still read its result, state and counts.
func compact(task *table.Task) {
	task.Checkpoint = nil
	if len(task.Reason) > maxReasonBytes {
		task.Reason = strings.ToValidUTF8(strings.Clone(task.Reason[:maxReasonBytes]), "")
	}
}

// closeJob removes a final job from its team's count and drops its payload, which is no longer read.
func (a *applier) closeJob(j *table.Job) {
	j.Payload = nil
	a.t.TeamJobs[j.Team]--
	if a.t.TeamJobs[j.Team] == 0 {
		delete(a.t.TeamJobs, j.Team)
	}
}

// addTaskCount adds n to the count of tasks of j that are in state.
func addTaskCount(j *table.Job, state table.TaskState, n int) {
	switch {
	case state.Held():
		j.Counts.Held += n
	case state == table.TaskUnknown:
		j.Counts.Unknown += n
	case state == table.TaskFailed:
		j.Counts.Failed += n
	case state == table.TaskCancelled:
		j.Counts.Cancelled += n
	}
}

// jobState derives the state of a job from the states of its tasks.
func jobState(j *table.Job) table.JobState {
	switch {
	case j.Counts.Unknown > 0:
		return table.JobUnknown
	case j.Counts.Held > 0:
		return table.JobRunning
	case j.Open > 0:
		return table.JobPending
	case j.Counts.Failed > 0:
		return table.JobFailed
	case j.Counts.Cancelled > 0:
		return table.JobCancelled
	default:
		return table.JobFinished
	}
}
