package journal

import (
	"persimmonpick/fault"
	"persimmonpick/table"
)

// setTeamUsed keeps what the tasks of a team hold; a team that holds nothing has no entry.
func (f *fold) setTeamUsed(id table.TeamID, used table.Resources) {
	if used == (table.Resources{}) {
		delete(f.t.TeamUsed, id)
		return
	}
	f.t.TeamUsed[id] = used
}

// release frees what the lease of a held task holds.
func (f *fold) release(task *table.Task) {
	team := f.t.Jobs[task.Job].Team
	f.setTeamUsed(team, f.t.TeamUsed[team].Minus(task.Lease.Need))
	f.give(task.Lease.Worker, task.Lease.Need)
}

// heldTask returns the task if it is held under token.
func (f *fold) heldTask(id table.TaskID, token table.Token) *table.Task {
	task := f.t.Tasks[id]
	if task == nil || !task.State.Held() || task.Lease.Token != token {
		return nil
	}
	return task
}

func (f *fold) leaseStarted(r *LeaseStarted) fault.Kind {
	task := f.heldTask(r.Task, r.Token)
	if task == nil {
		return fault.Stale
	}
	if task.Lease.Started {
		return fault.Conflict
	}
	task.Lease.Started = true
	task.Lease.Starter = r.Starter
	if task.State == table.TaskLeased {
		f.move(task, table.TaskStarted)
	}
	return fault.None
}

func (f *fold) leaseRevoked(r *LeaseRevoked) fault.Kind {
	task := f.heldTask(r.Task, r.Token)
	if task == nil {
		return fault.Stale
	}
	f.revoke(task, r.Reason)
	return fault.None
}

// revoke asks a held task to stop. A second revocation keeps the offset of the first, from which its end is counted.
func (f *fold) revoke(task *table.Task, reason string) {
	if task.State == table.TaskRevoking {
		return
	}
	task.Lease.Revoked = f.off
	task.Reason = reason
	f.move(task, table.TaskRevoking)
}

func (f *fold) leaseEnded(r *LeaseEnded) fault.Kind {
	task := f.endingTask(r)
	if task == nil {
		return fault.Stale
	}
	if k := mayEnd(task, r); k != fault.None {
		return k
	}
	if task.State.Held() {
		f.release(task)
	}
	f.endLease(task, r)
	return fault.None
}

// endingTask returns the task whose lease r ends. The lost lease of an unknown task still ends by what its worker
// says once it is heard again.
func (f *fold) endingTask(r *LeaseEnded) *table.Task {
	if task := f.heldTask(r.Task, r.Token); task != nil {
		return task
	}
	task := f.t.Tasks[r.Task]
	if task == nil || task.State != table.TaskUnknown || task.Lease.Token != r.Token {
		return nil
	}
	return task
}

func mayEnd(task *table.Task, r *LeaseEnded) fault.Kind {
	switch r.Outcome {
	case LeaseFinished, LeaseFailed, LeaseStopped:
		return fault.None
	case LeaseNotStarted:
		// Only the process that announced a start knows that it was refused.
		if task.Lease.Started && (r.Starter == "" || r.Starter != task.Lease.Starter) {
			return fault.Conflict
		}
		return fault.None
	case LeaseExpired:
		if task.State != table.TaskRevoking {
			return fault.Conflict
		}
		return fault.None
	default:
		return fault.Invalid
	}
}

func (f *fold) endLease(task *table.Task, r *LeaseEnded) {
	task.Reason = r.Reason
	switch r.Outcome {
	case LeaseFinished:
		task.Result = r.Result
		f.settle(task, table.TaskFinished)
	case LeaseFailed:
		f.leaseFailed(task)
	case LeaseStopped:
		task.Evictions++
		if len(r.Checkpoint) > 0 {
			task.Checkpoint = r.Checkpoint
		}
		f.again(task)
	case LeaseExpired:
		f.leaseExpired(task)
	default:
		f.again(task)
	}
}

func (f *fold) leaseFailed(task *table.Task) {
	task.Attempts++
	job := f.t.Jobs[task.Job]
	if job.NonIdempotent || task.Attempts >= max(job.MaxAttempts, 1) {
		f.settle(task, table.TaskFailed)
		return
	}
	f.again(task)
}

// leaseExpired ends the lease of a lost worker. A non-idempotent task may have run there, so it keeps its lost lease
// for the operator who decides about it.
func (f *fold) leaseExpired(task *table.Task) {
	if f.t.Jobs[task.Job].NonIdempotent {
		f.move(task, table.TaskUnknown)
		return
	}
	f.again(task)
}

// again makes a task whose lease has ended pending, or ends it if its job was cancelled.
func (f *fold) again(task *table.Task) {
	if task.Lease.Cancelled || f.t.Jobs[task.Job].Cancelled {
		f.settle(task, table.TaskCancelled)
		return
	}
	f.settle(task, table.TaskPending)
}

// settle clears the lease of task and moves it to state.
func (f *fold) settle(task *table.Task, state table.TaskState) {
	task.Lease = table.Lease{}
	f.move(task, state)
}
