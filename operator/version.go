package operator

import (
	"persimmonpick/journal"
	"persimmonpick/table"
)

// Version returns the offset of the last change of the entity that in names, or 0 if it does not exist.
//
// It must agree with the fold, which rejects a plan with another base. Once the fold keeps the versions of removed
// entities, this is the one place to change.
func Version(t *table.Tables, in journal.Intent) table.Offset {
	switch in.Type {
	case journal.SetKind, journal.RemoveKind:
		if k := t.Kinds[in.Kind.ID]; k != nil {
			return k.Changed
		}
	case journal.SetTeam, journal.RemoveTeam:
		if team := t.Teams[in.Team.ID]; team != nil {
			return team.Changed
		}
	case journal.SetLimit:
		if l := t.Limits[in.Limit.ID]; l != nil {
			return l.Changed
		}
	case journal.SetDrain, journal.RemoveDrain:
		if d := t.Drains[in.Drain.Name()]; d != nil {
			return d.Changed
		}
	case journal.ResolveTask:
		if task := t.Tasks[in.Task]; task != nil {
			return task.Changed
		}
	}
	return 0
}
