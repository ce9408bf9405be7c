package journal

import (
	"persimmonpick/fault"
	"persimmonpick/table"
)

// setTeamUsed sets the resources that the tasks of a team hold; a team that holds none has no entry.
func (a *applier) setTeamUsed(id table.TeamID, used table.Resources) {
	if used == (table.Resources{}) {
		delete(a.t.TeamUsed, id)
		return
	}
	a.t.TeamUsed[id] = used
}

// releaseLease frees the resources that the lease of a held task reserves.
func (a *applier) releaseLease(task *table.Task) {
	team := a.t.Jobs[task.Job].Team
	a.setTeamUsed(team, a.t.TeamUsed[team].Minus(task.Lease.Need))
	a.deallocate(task.Lease.Worker, task.Lease.Need)
}

// heldTask returns the task if it is held under token, and nil otherwise.
func (a *applier) heldTask(id table.TaskID, token table.Token) *table.Task {
	task := a.t.Tasks[id]
	if task == nil || !task.State.Held() || task.Lease.Token != token {
		return nil
	}
	return task
}

func (a *applier) leaseStarted(r *LeaseStarted) fault.Kind {
	task := a.heldTask(r.Task, r.Token)
	if task == nil {
		return fault.Stale
	}
	if task.Lease.Started {
		return fault.Conflict
	}
	task.Lease.Started = true
	task.Lease.Starter = r.Starter
	if task.State == table.TaskLeased {
		a.setState(task, table.TaskStarted)
	}
	return fault.None
}

func (a *applier) leaseRevoked(r *LeaseRevoked) fault.Kind {
	task := a.heldTask(r.Task, r.Token)
	if task == nil {
		return fault.Stale
	}
	a.revoke(task, r.Reason)
	return fault.None
}

// revoke requests that a held task stop. A second revocation has no effect, because the expiry of the lease counts from
// the offset of the first.
func (a *applier) revoke(task *table.Task, reason string) {
	if task.State == table.TaskRevoking {
		return
	}
	task.Lease.Revoked = a.off
	task.Reason = reason
	a.setState(task, table.TaskRevoking)
}

func (a *applier) leaseEnded(r *LeaseEnded) fault.Kind {
	task := a.endingTask(r)
	if task == nil {
		return fault.Stale
	}
	if k := checkLeaseEnd(task, r); k != fault.None {
		return k
	}
	if task.State.Held() {
		a.releaseLease(task)
	}
	a.endLease(task, r)
	return fault.None
}

// endingTask returns the task whose lease r ends, or nil. A task in state Unknown keeps its lost lease, which its
// worker can still end when it reports again.
func (a *applier) endingTask(r *LeaseEnded) *table.Task {
	if task := a.heldTask(r.Task, r.Token); task != nil {
		return task
	}
	task := a.t.Tasks[r.Task]
	if task == nil || task.State != table.TaskUnknown || task.Lease.Token != r.Token {
		return nil
	}
	return task
}

func checkLeaseEnd(task *table.Task, r *LeaseEnded) fault.Kind {
	switch r.Outcome {
	case LeaseFinished, LeaseFailed, LeaseStopped:
		return fault.None
	case LeaseNotStarted:
		// Only the process that announced the start can know that the worker refused it.
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

func (a *applier) endLease(task *table.Task, r *LeaseEnded) {
	task.Reason = r.Reason
	switch r.Outcome {
	case LeaseFinished:
		task.Result = r.Result
		a.clearLease(task, table.TaskFinished)
	case LeaseFailed:
		a.leaseFailed(task)
	case LeaseStopped:
		task.Evictions++
		if len(r.Checkpoint) > 0 {
			task.Checkpoint = r.Checkpoint
		}
		a.requeue(task)
	case LeaseExpired:
		a.leaseExpired(task)
	default:
		a.requeue(task)
	}
}

func (a *applier) leaseFailed(task *table.Task) {
	task.Attempts++
	job := a.t.Jobs[task.Job]
	if job.NonIdempotent || task.Attempts >= max(job.MaxAttempts, 1) {
		a.clearLease(task, table.TaskFailed)
		return
	}
	a.requeue(task)
}

// leaseExpired ends a lease on a lost worker. A non-idempotent task may have run there, so it keeps the lost lease
// until an operator resolves it or the worker reports its outcome.
func (a *applier) leaseExpired(task *table.Task) {
	if a.t.Jobs[task.Job].NonIdempotent {
		a.setState(task, table.TaskUnknown)
		return
	}
	a.requeue(task)
}

// requeue returns a task whose lease has ended to the pending state, or cancels it if its job was cancelled.
func (a *applier) requeue(task *table.Task) {
	if task.Lease.Cancelled || a.t.Jobs[task.Job].Cancelled {
		a.clearLease(task, table.TaskCancelled)
		return
	}
	a.clearLease(task, table.TaskPending)
}

// clearLease clears the lease of task and sets its state.
func (a *applier) clearLease(task *table.Task, state table.TaskState) {
	task.Lease = table.Lease{}
	a.setState(task, state)
}
