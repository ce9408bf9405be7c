package operator

import (
	"crypto/rand"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"

	"persimmonpick/fault"
	"persimmonpick/journal"
	"persimmonpick/table"
)

// Plan describes what an intent would change and affect; nothing changes until the plan is confirmed.
type Plan struct {
	ID      table.PlanID
	Intent  journal.Intent
	Base    table.Offset // version of the entity when the plan was made
	Changes []Change
	Effects []string
}

// MakePlan returns the plan for in without changing t.
func MakePlan(t *table.Tables, in journal.Intent) (Plan, error) {
	if err := Check(in); err != nil {
		return Plan{}, err
	}
	if err := checkAgainstTables(t, in); err != nil {
		return Plan{}, err
	}
	in = withoutVersion(in)
	p := Plan{Intent: in, Base: journal.EntityVersion(t, &in), Changes: diff(t, in), Effects: effects(t, in)}
	if len(p.Changes) == 0 {
		p.Effects = append([]string{"nothing changes"}, p.Effects...)
	}
	id, err := newPlanID(in, p.Base)
	p.ID = id
	return p, err
}

// newPlanID combines a hash of the intent and base with a random part, so that equal plans get different ids.
func newPlanID(in journal.Intent, base table.Offset) (table.PlanID, error) {
	data, err := json.Marshal(in)
	if err != nil {
		return "", fault.Wrap(err, fault.Internal, "encode the intent")
	}
	sum := xxhash.Sum64(fmt.Appendf(data, "@%d", base))
	return table.PlanID(fmt.Sprintf("%016x-%s", sum, strings.ToLower(rand.Text()))), nil
}

// withoutVersion clears the Changed fields, which are set when a record is applied.
func withoutVersion(in journal.Intent) journal.Intent {
	if in.Kind != nil {
		k := *in.Kind
		k.Changed = 0
		in.Kind = &k
	}
	if in.Team != nil {
		team := *in.Team
		team.Changed = 0
		in.Team = &team
	}
	if in.Limit != nil {
		l := *in.Limit
		l.Changed = 0
		in.Limit = &l
	}
	if in.Drain != nil {
		d := *in.Drain
		d.Changed = 0
		in.Drain = &d
	}
	return in
}

// checkAgainstTables rejects an intent that refers to missing entities or conflicts with the current state.
func checkAgainstTables(t *table.Tables, in journal.Intent) error {
	switch in.Type {
	case journal.RemoveKind:
		if t.Kinds[in.Kind.ID] == nil {
			return fault.New(fault.NotFound, "no kind %s", in.Kind.ID)
		}
	case journal.RemoveTeam:
		if t.Teams[in.Team.ID] == nil {
			return fault.New(fault.NotFound, "no team %s", in.Team.ID)
		}
		if jobs := jobsOfTeam(t, in.Team.ID); len(jobs) > 0 {
			return fault.New(fault.Conflict, "team %s has unfinished jobs: %s", in.Team.ID, formatIDs(jobs))
		}
	case journal.SetDrain:
		if len(coveredWorkers(t, *in.Drain)) == 0 {
			return fault.New(fault.NotFound, "no worker is known for %s", in.Drain.Name())
		}
	case journal.RemoveDrain:
		if t.Drains[in.Drain.Name()] == nil {
			return fault.New(fault.NotFound, "%s is not drained", in.Drain.Name())
		}
	case journal.ResolveTask:
		return checkUnknown(t.Tasks[in.Task], in.Task)
	}
	return nil
}

func checkUnknown(task *table.Task, id table.TaskID) error {
	if task == nil {
		return fault.New(fault.NotFound, "no task %s", id)
	}
	if task.State != table.TaskUnknown {
		return invalid("task %s is in state %s; only a task in state %s needs a decision", id, task.State, table.TaskUnknown)
	}
	return nil
}

func diff(t *table.Tables, in journal.Intent) []Change {
	switch in.Type {
	case journal.SetKind:
		return diffEntities(t.Kinds[in.Kind.ID], in.Kind)
	case journal.RemoveKind:
		return diffEntities(t.Kinds[in.Kind.ID], (*table.Kind)(nil))
	case journal.SetTeam:
		return diffEntities(t.Teams[in.Team.ID], in.Team)
	case journal.RemoveTeam:
		return diffEntities(t.Teams[in.Team.ID], (*table.Team)(nil))
	case journal.SetLimit:
		return diffEntities(t.Limits[in.Limit.ID], in.Limit)
	case journal.SetDrain:
		return diffEntities(t.Drains[in.Drain.Name()], in.Drain)
	case journal.RemoveDrain:
		return diffEntities(t.Drains[in.Drain.Name()], (*table.Drain)(nil))
	}
	return []Change{{"State", string(t.Tasks[in.Task].State), resolvedState(in.Outcome)}}
}

// resolvedState returns the state of an Unknown task after an operator has set its outcome.
func resolvedState(outcome string) string {
	if outcome == journal.ResolveRerun {
		return string(table.TaskPending)
	}
	return outcome
}
