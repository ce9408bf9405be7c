package journal

import (
	"persimmonpick/fault"
	"persimmonpick/table"
)

func (a *applier) leaseGranted(i int, r *LeaseGranted) fault.Kind {
	task := a.t.Tasks[r.Task]
	if task == nil {
		return fault.NotFound
	}
	if a.t.Jobs[task.Job].Gang {
		return a.grantGang(i, task.Job)
	}
	return a.grant(r)
}

// grant assigns one pending task to a worker.
func (a *applier) grant(r *LeaseGranted) fault.Kind {
	task := a.t.Tasks[r.Task]
	if k := a.checkGrant(task, r); k != fault.None {
		return k
	}
	job := a.t.Jobs[task.Job]
	a.allocate(a.t.Workers[r.Worker], r.Need)
	a.setTeamUsed(job.Team, a.t.TeamUsed[job.Team].Plus(r.Need))
	task.Lease = table.Lease{
		Worker: r.Worker, Token: a.off, Need: r.Need, Holder: r.Holder, Granted: a.b.Time,
	}
	task.LastToken = a.off
	task.Reason = ""
	a.setState(task, table.TaskLeased)
	return fault.None
}

func (a *applier) checkGrant(task *table.Task, r *LeaseGranted) fault.Kind {
	if !validAmounts(r.Need) {
		return fault.Invalid
	}
	// All records of a batch share one offset, so a second grant in this batch would reuse the token of the first.
	if task.State != table.TaskPending || task.LastToken >= a.off {
		return fault.Conflict
	}
	w := a.t.Workers[r.Worker]
	if w == nil || !a.t.Schedulable(w) {
		return fault.Conflict
	}
	if !r.Need.Fits(w.Free()) {
		return fault.Capacity
	}
	team := a.t.Teams[a.t.Jobs[task.Job].Team]
	if team == nil {
		return fault.NotFound
	}
	if !a.t.TeamUsed[team.ID].Plus(r.Need).Fits(team.Quota) {
		return fault.QuotaExceeded
	}
	return fault.None
}

// grantGang decides all grants of a gang job in the batch together, when it reaches the first of them.
//
// The grants must cover every pending task of the job. If one is rejected, none takes effect and all get its kind.
func (a *applier) grantGang(first int, id table.JobID) fault.Kind {
	group, records := a.gangGrants(first, id)
	if a.decided == nil {
		a.decided = map[int]bool{}
	}
	kind := a.grantAll(a.t.Jobs[id], records)
	for _, i := range group {
		a.kinds[i] = kind
		a.decided[i] = true
	}
	return kind
}

// gangGrants returns the first grant of each task of the job and its index, starting at record first.
func (a *applier) gangGrants(first int, id table.JobID) ([]int, []*LeaseGranted) {
	var group []int
	var records []*LeaseGranted
	seen := map[table.TaskID]bool{}
	for i := first; i < len(a.b.Records); i++ {
		r := a.b.Records[i].LeaseGranted
		if r == nil || seen[r.Task] || a.decided[i] {
			continue
		}
		task := a.t.Tasks[r.Task]
		if task == nil || task.Job != id {
			continue
		}
		seen[r.Task] = true
		group = append(group, i)
		records = append(records, r)
	}
	return group, records
}

func (a *applier) grantAll(job *table.Job, records []*LeaseGranted) fault.Kind {
	if len(records) != pendingTasks(job) {
		return fault.Conflict
	}
	jobBefore := *job
	var before []table.Task
	for _, r := range records {
		task := *a.t.Tasks[r.Task]
		if k := a.grant(r); k != fault.None {
			a.undoGrants(before)
			*job = jobBefore
			return k
		}
		before = append(before, task)
	}
	return fault.None
}

// pendingTasks returns the number of tasks of job that wait for a grant.
func pendingTasks(job *table.Job) int {
	return job.Open - job.Counts.Held - job.Counts.Unknown
}

// undoGrants reverts the grants of this batch to tasks, given the state of each task before its grant.
func (a *applier) undoGrants(before []table.Task) {
	for i := range before {
		task := a.t.Tasks[before[i].ID]
		a.releaseLease(task)
		*task = before[i]
	}
}
