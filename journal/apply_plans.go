package journal

import (
	"github.com/cespare/xxhash/v2"

	"persimmonpick/fault"
	"persimmonpick/table"
)

// Limits on the number of confirmed plans and of versions of removed entities that the tables retain.
const (
	maxPlans   = 1024
	maxRemoved = 4096
)

func (a *applier) planConfirmed(r *PlanConfirmed) fault.Kind {
	if r.ID == "" || !validIntent(&r.Intent) {
		return fault.Invalid
	}
	digest := planDigest(r)
	if old := a.appliedPlan(r.ID); old != nil {
		if old.Digest != digest {
			return fault.Conflict
		}
		return fault.None
	}
	if r.Base != EntityVersion(a.t, &r.Intent) {
		return fault.Stale
	}
	if k := a.applyIntent(&r.Intent); k != fault.None {
		return k
	}
	a.recordPlan(table.AppliedPlan{ID: r.ID, Digest: digest, Offset: a.off})
	if r.Intent.Type != ResolveTask {
		a.t.ConfigSeen = a.off
	}
	return fault.None
}

// EntityVersion returns the version of the entity that in names, which a plan must carry as Base.
//
// The version is the offset of the last change, including a removal, and 0 for an entity that never existed. When more
// than maxRemoved entities have been removed, the oldest versions are dropped. The highest version dropped then stands
// for every entity without a version of its own.
func EntityVersion(t *table.Tables, in *Intent) table.Offset {
	if in.Type == ResolveTask {
		return taskVersion(t, in.Task)
	}
	if off := liveVersion(t, in); off != 0 {
		return off
	}
	if off := t.Removed[entityKey(in)]; off != 0 {
		return off
	}
	return t.RemovedFloor
}

func taskVersion(t *table.Tables, id table.TaskID) table.Offset {
	if task := t.Tasks[id]; task != nil {
		return task.Changed
	}
	return 0
}

func liveVersion(t *table.Tables, in *Intent) table.Offset {
	switch {
	case in.Kind != nil && t.Kinds[in.Kind.ID] != nil:
		return t.Kinds[in.Kind.ID].Changed
	case in.Team != nil && t.Teams[in.Team.ID] != nil:
		return t.Teams[in.Team.ID].Changed
	case in.Limit != nil && t.Limits[in.Limit.ID] != nil:
		return t.Limits[in.Limit.ID].Changed
	case in.Drain != nil && t.Drains[in.Drain.Name()] != nil:
		return t.Drains[in.Drain.Name()].Changed
	default:
		return 0
	}
}

// entityKey returns the key of the entity that in names in table.Tables.Removed.
func entityKey(in *Intent) string {
	switch {
	case in.Kind != nil:
		return "Kind/" + string(in.Kind.ID)
	case in.Team != nil:
		return "Team/" + string(in.Team.ID)
	case in.Limit != nil:
		return "Limit/" + string(in.Limit.ID)
	case in.Drain != nil:
		return "Drain/" + in.Drain.Name()
	default:
		return ""
	}
}

// planDigest returns a hash that distinguishes a resubmission of a plan from a different plan with the same id.
func planDigest(r *PlanConfirmed) uint64 {
	data, err := encMode.Marshal(struct {
		Intent Intent
		Base   table.Offset
	}{r.Intent, r.Base})
	if err != nil {
		return 0
	}
	return xxhash.Sum64(data)
}

func (a *applier) appliedPlan(id table.PlanID) *table.AppliedPlan {
	for i := range a.t.Plans {
		if a.t.Plans[i].ID == id {
			return &a.t.Plans[i]
		}
	}
	return nil
}

// recordPlan appends p and evicts the oldest plan above the limit; a resubmission of an evicted plan fails on its base
// version.
func (a *applier) recordPlan(p table.AppliedPlan) {
	a.t.Plans = append(a.t.Plans, p)
	if len(a.t.Plans) > maxPlans {
		a.t.Plans = append([]table.AppliedPlan(nil), a.t.Plans[1:]...)
	}
}

// addTombstone retains the version of a removed entity, so that a stale plan cannot create it again.
func (a *applier) addTombstone(in *Intent) {
	a.t.Removed[entityKey(in)] = a.off
	if len(a.t.Removed) <= maxRemoved {
		return
	}
	// Entities removed in the same batch share an offset and are dropped together.
	oldest := a.off
	for _, off := range a.t.Removed {
		oldest = min(oldest, off)
	}
	for name, off := range a.t.Removed {
		if off == oldest {
			delete(a.t.Removed, name)
		}
	}
	a.t.RemovedFloor = max(a.t.RemovedFloor, oldest)
}
