package journal

import (
	"github.com/cespare/xxhash/v2"

	"persimmonpick/fault"
	"persimmonpick/table"
)

// Bounds on what the fold remembers of configuration that is gone.
const (
	maxPlans   = 1024
	maxRemoved = 4096
)

func (f *fold) planConfirmed(r *PlanConfirmed) fault.Kind {
	if r.ID == "" || !validIntent(&r.Intent) {
		return fault.Invalid
	}
	digest := planDigest(r)
	if old := f.appliedPlan(r.ID); old != nil {
		if old.Digest != digest {
			return fault.Conflict
		}
		return fault.None
	}
	if r.Base != EntityVersion(f.t, &r.Intent) {
		return fault.Stale
	}
	if k := f.applyIntent(&r.Intent); k != fault.None {
		return k
	}
	f.rememberPlan(table.AppliedPlan{ID: r.ID, Digest: digest, Offset: f.off})
	if r.Intent.Type != ResolveTask {
		f.t.ConfigSeen = f.off
	}
	return fault.None
}

// EntityVersion returns the version of the entity that in names, which a plan must carry as Base.
//
// It is the offset of the last change, also when that removed the entity, and 0 for one that never existed. Once many
// entities were removed the versions of the oldest are dropped, and the highest of these stands for all unknown ones.
func EntityVersion(t *table.Tables, in *Intent) table.Offset {
	if in.Type == ResolveTask {
		return taskVersion(t, in.Task)
	}
	if off := liveVersion(t, in); off != 0 {
		return off
	}
	if off := t.Removed[intentName(in)]; off != 0 {
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

// intentName returns the key in Removed of the entity that in names.
func intentName(in *Intent) string {
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

// planDigest tells a repeat of a plan from another plan under the same id.
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

func (f *fold) appliedPlan(id table.PlanID) *table.AppliedPlan {
	for i := range f.t.Plans {
		if f.t.Plans[i].ID == id {
			return &f.t.Plans[i]
		}
	}
	return nil
}

// rememberPlan keeps the newest plans; a repeat of an older one fails on its base version.
func (f *fold) rememberPlan(p table.AppliedPlan) {
	f.t.Plans = append(f.t.Plans, p)
	if len(f.t.Plans) > maxPlans {
		f.t.Plans = append([]table.AppliedPlan(nil), f.t.Plans[1:]...)
	}
}

// addTombstone keeps the version of a removed entity, so that a stale plan cannot create it again.
func (f *fold) addTombstone(in *Intent) {
	f.t.Removed[intentName(in)] = f.off
	if len(f.t.Removed) <= maxRemoved {
		return
	}
	// Several entities removed in one batch share an offset and are dropped together.
	oldest := f.off
	for _, off := range f.t.Removed {
		oldest = min(oldest, off)
	}
	for name, off := range f.t.Removed {
		if off == oldest {
			delete(f.t.Removed, name)
		}
	}
	f.t.RemovedFloor = max(f.t.RemovedFloor, oldest)
}
