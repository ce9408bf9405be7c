package journal

import (
	"persimmonpick/fault"
	"persimmonpick/table"
)

func (f *fold) leaseGranted(i int, r *LeaseGranted) fault.Kind {
	task := f.t.Tasks[r.Task]
	if task == nil {
		return fault.NotFound
	}
	if f.t.Jobs[task.Job].Gang {
		return f.grantGang(i, task.Job)
	}
	return f.grant(r)
}

// grant gives one pending task to a worker.
func (f *fold) grant(r *LeaseGranted) fault.Kind {
	task := f.t.Tasks[r.Task]
	if k := f.mayGrant(task, r); k != fault.None {
		return k
	}
	job := f.t.Jobs[task.Job]
	f.take(f.t.Workers[r.Worker], r.Need)
	f.setTeamUsed(job.Team, f.t.TeamUsed[job.Team].Plus(r.Need))
	task.Lease = table.Lease{
		Worker: r.Worker, Token: f.off, Need: r.Need, Holder: r.Holder, Granted: f.b.Time,
	}
	task.LastToken = f.off
	task.Reason = ""
	f.move(task, table.TaskLeased)
	return fault.None
}

func (f *fold) mayGrant(task *table.Task, r *LeaseGranted) fault.Kind {
	if !sane(r.Need) {
		return fault.Invalid
	}
	// All records of a batch share one offset, so a task that was granted in this batch would get its token again.
	if task.State != table.TaskPending || task.LastToken >= f.off {
		return fault.Conflict
	}
	w := f.t.Workers[r.Worker]
	if w == nil || !f.t.Schedulable(w) {
		return fault.Conflict
	}
	if !r.Need.Fits(w.Free()) {
		return fault.Capacity
	}
	team := f.t.Teams[f.t.Jobs[task.Job].Team]
	if team == nil {
		return fault.NotFound
	}
	if !f.t.TeamUsed[team.ID].Plus(r.Need).Fits(team.Quota) {
		return fault.QuotaExceeded
	}
	return fault.None
}

// grantGang decides all grants of a gang job in the batch together, at the place of the first of them.
//
// They must cover every pending task of the job. If one breaks a rule, none takes effect and all get its kind.
func (f *fold) grantGang(first int, id table.JobID) fault.Kind {
	group, records := f.gangGrants(first, id)
	if f.decided == nil {
		f.decided = map[int]bool{}
	}
	kind := f.grantAll(f.t.Jobs[id], records)
	for _, i := range group {
		f.kinds[i] = kind
		f.decided[i] = true
	}
	return kind
}

// gangGrants returns the first grant of each task of the job, from record first on.
func (f *fold) gangGrants(first int, id table.JobID) ([]int, []*LeaseGranted) {
	var group []int
	var records []*LeaseGranted
	seen := map[table.TaskID]bool{}
	for i := first; i < len(f.b.Records); i++ {
		r := f.b.Records[i].LeaseGranted
		if r == nil || seen[r.Task] || f.decided[i] {
			continue
		}
		task := f.t.Tasks[r.Task]
		if task == nil || task.Job != id {
			continue
		}
		seen[r.Task] = true
		group = append(group, i)
		records = append(records, r)
	}
	return group, records
}

func (f *fold) grantAll(job *table.Job, records []*LeaseGranted) fault.Kind {
	if len(records) != pendingTasks(job) {
		return fault.Conflict
	}
	jobBefore := *job
	var before []table.Task
	for _, r := range records {
		task := *f.t.Tasks[r.Task]
		if k := f.grant(r); k != fault.None {
			f.undo(before)
			*job = jobBefore
			return k
		}
		before = append(before, task)
	}
	return fault.None
}

// pendingTasks counts the tasks of job that wait for a grant.
func pendingTasks(job *table.Job) int {
	return job.Open - job.Counts.Held - job.Counts.Unknown
}

// undo takes back the grants of this batch to the tasks that are given as they were before.
func (f *fold) undo(before []table.Task) {
	for i := range before {
		task := f.t.Tasks[before[i].ID]
		f.release(task)
		*task = before[i]
	}
}
