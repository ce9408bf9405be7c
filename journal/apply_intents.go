package journal

import (
	"persimmonpick/fault"
	"persimmonpick/table"
)

// The outcomes of ResolveTask.
const (
	ResolveRerun     = "Rerun"     // it did not run to its end and may run again
	ResolveFinished  = "Finished"  // it ran to its end
	ResolveFailed    = "Failed"    // it must not run again
	ResolveCancelled = "Cancelled" // nobody wants it any more
)

func (f *fold) applyIntent(in *Intent) fault.Kind {
	switch in.Type {
	case SetKind:
		k := *in.Kind
		k.Changed = f.off
		f.t.Kinds[k.ID] = &k
	case SetTeam:
		team := *in.Team
		team.Changed = f.off
		f.t.Teams[team.ID] = &team
	case SetLimit:
		l := *in.Limit
		l.Changed = f.off
		f.t.Limits[l.ID] = &l
	case SetDrain:
		d := *in.Drain
		d.Changed = f.off
		f.t.Drains[d.Name()] = &d
	case ResolveTask:
		return f.resolveTask(in)
	default:
		return f.removeEntity(in)
	}
	delete(f.t.Removed, intentName(in))
	return fault.None
}

func (f *fold) removeEntity(in *Intent) fault.Kind {
	if liveVersion(f.t, in) == 0 {
		return fault.NotFound
	}
	switch in.Type {
	case RemoveKind:
		delete(f.t.Kinds, in.Kind.ID)
	case RemoveTeam:
		if f.t.TeamJobs[in.Team.ID] > 0 {
			return fault.Conflict
		}
		delete(f.t.Teams, in.Team.ID)
	case RemoveDrain:
		delete(f.t.Drains, in.Drain.Name())
	}
	f.addTombstone(in)
	return fault.None
}

func (f *fold) resolveTask(in *Intent) fault.Kind {
	task := f.t.Tasks[in.Task]
	if task == nil {
		return fault.NotFound
	}
	if task.State != table.TaskUnknown {
		return fault.Conflict
	}
	switch in.Outcome {
	case ResolveRerun:
		if f.t.Jobs[task.Job].Cancelled {
			return fault.Conflict
		}
		f.settle(task, table.TaskPending)
	case ResolveFinished:
		f.settle(task, table.TaskFinished)
	case ResolveFailed:
		f.settle(task, table.TaskFailed)
	case ResolveCancelled:
		f.settle(task, table.TaskCancelled)
	}
	task.Reason = "resolved by an operator as " + in.Outcome
	return fault.None
}
