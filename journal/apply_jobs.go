package journal

import (
	"strings"

	"persimmonpick/fault"
	"persimmonpick/table"
)

// MaxTasks is the largest number of tasks of one job that the fold accepts.
const MaxTasks = 10000

func (f *fold) jobSubmitted(r *JobSubmitted) fault.Kind {
	if old := f.t.Jobs[r.Job.ID]; old != nil {
		if old.Digest != r.Digest {
			return fault.KeyReused
		}
		return fault.None
	}
	if !validJob(r) {
		return fault.Invalid
	}
	team := f.t.Teams[r.Job.Team]
	if team == nil {
		return fault.NotFound
	}
	kind := f.t.Kinds[r.Job.Kind]
	if kind == nil {
		return fault.Invalid
	}
	if team.MaxJobs > 0 && f.t.TeamJobs[team.ID] >= team.MaxJobs {
		return fault.QuotaExceeded
	}
	f.addJob(r, kind)
	return fault.None
}

func validJob(r *JobSubmitted) bool {
	j := &r.Job
	if j.ID == "" || !sane(j.Need) || j.RunTime < 0 || j.MaxAttempts < 0 {
		return false
	}
	return r.TaskCount >= 1 && r.TaskCount <= MaxTasks
}

func (f *fold) addJob(r *JobSubmitted, kind *table.Kind) {
	j := r.Job
	j.NonIdempotent = j.NonIdempotent || kind.NonIdempotent
	j.State = table.JobPending
	j.Tasks = make([]table.TaskID, r.TaskCount)
	j.Open = r.TaskCount
	j.Counts = table.TaskCounts{}
	j.Digest = r.Digest
	j.Cancelled = false
	j.Changed = f.off
	if j.Submitted == 0 {
		j.Submitted = f.b.Time
	}
	for i := range j.Tasks {
		id := taskID(j.ID, i)
		j.Tasks[i] = id
		task := &table.Task{ID: id, Job: j.ID, State: table.TaskPending, Changed: f.off}
		f.t.Tasks[id] = task
		f.t.Active[id] = task
	}
	f.t.Jobs[j.ID] = &j
	f.t.TeamJobs[j.Team]++
}

func (f *fold) jobCancelled(r *JobCancelled) fault.Kind {
	j := f.t.Jobs[r.Job]
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
	j.Changed = f.off
	for _, id := range j.Tasks {
		f.cancelTask(f.t.Tasks[id])
	}
	return fault.None
}

// cancelTask ends a pending task and asks a held one to stop; only an operator decides about an unknown one.
func (f *fold) cancelTask(task *table.Task) {
	switch {
	case task.State == table.TaskPending:
		f.move(task, table.TaskCancelled)
	case task.State.Held():
		task.Lease.Cancelled = true
		f.revoke(task, "job cancelled")
	}
}

// move puts task into state and keeps its job and team in step; it does not touch the lease.
func (f *fold) move(task *table.Task, state table.TaskState) {
	j := f.t.Jobs[task.Job]
	count(j, task.State, -1)
	count(j, state, 1)
	if state.Final() && !task.State.Final() {
		j.Open--
		delete(f.t.Active, task.ID)
		compact(task)
	}
	task.State = state
	task.Changed = f.off
	j.Changed = f.off
	j.State = jobState(j)
	if j.Open == 0 {
		f.closeJob(j)
	}
}

// maxReason bounds the bytes of the reason that a final task keeps; a worker may report a whole log as the reason.
const maxReason = 256

// compact drops what nothing reads of a final task. Result, state and counts are its outcome, which callers read.
func compact(task *table.Task) {
	task.Checkpoint = nil
	if len(task.Reason) > maxReason {
		task.Reason = strings.ToValidUTF8(strings.Clone(task.Reason[:maxReason]), "")
	}
}

// closeJob counts a job as finished and drops its payload, which nothing reads any more.
func (f *fold) closeJob(j *table.Job) {
	j.Payload = nil
	f.t.TeamJobs[j.Team]--
	if f.t.TeamJobs[j.Team] == 0 {
		delete(f.t.TeamJobs, j.Team)
	}
}

// count adds n to the count of tasks of j in state.
func count(j *table.Job, state table.TaskState, n int) {
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
