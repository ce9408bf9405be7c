package journal

import (
	"persimmonpick/fault"
	"persimmonpick/table"
)

// Outcomes of ResolveTask.
const (
	ResolveRerun     = "Rerun"     // the task did not complete and may run again
	ResolveFinished  = "Finished"  // the task ran to completion
	ResolveFailed    = "Failed"    // the task must not run again
	ResolveCancelled = "Cancelled" // the task is no longer wanted
)

func (a *applier) applyIntent(in *Intent) fault.Kind {
	switch in.Type {
	case SetKind:
		k := *in.Kind
		k.Changed = a.off
		a.t.Kinds[k.ID] = &k
	case SetTeam:
		team := *in.Team
		team.Changed = a.off
		a.t.Teams[team.ID] = &team
	case SetLimit:
		l := *in.Limit
		l.Changed = a.off
		a.t.Limits[l.ID] = &l
	case SetDrain:
		d := *in.Drain
		d.Changed = a.off
		a.t.Drains[d.Name()] = &d
	case ResolveTask:
		return a.resolveTask(in)
	default:
		return a.removeEntity(in)
	}
	delete(a.t.Removed, entityKey(in))
	return fault.None
}

func (a *applier) removeEntity(in *Intent) fault.Kind {
	if liveVersion(a.t, in) == 0 {
		return fault.NotFound
	}
	switch in.Type {
	case RemoveKind:
		delete(a.t.Kinds, in.Kind.ID)
	case RemoveTeam:
		if a.t.TeamJobs[in.Team.ID] > 0 {
			return fault.Conflict
		}
		delete(a.t.Teams, in.Team.ID)
	case RemoveDrain:
		delete(a.t.Drains, in.Drain.Name())
	}
	a.addTombstone(in)
	return fault.None
}

func (a *applier) resolveTask(in *Intent) fault.Kind {
	task := a.t.Tasks[in.Task]
	if task == nil {
		return fault.NotFound
	}
	if task.State != table.TaskUnknown {
		return fault.Conflict
	}
	switch in.Outcome {
	case ResolveRerun:
		if a.t.Jobs[task.Job].Cancelled {
			return fault.Conflict
		}
		a.clearLease(task, table.TaskPending)
	case ResolveFinished:
		a.clearLease(task, table.TaskFinished)
	case ResolveFailed:
		a.clearLease(task, table.TaskFailed)
	case ResolveCancelled:
		a.clearLease(task, table.TaskCancelled)
	}
	task.Reason = "resolved by an operator as " + in.Outcome
	return fault.None
}
