package journal

import (
	"math"
	"strings"

	"persimmonpick/table"
)

// validIntent reports whether in names exactly one entity and its content is valid.
func validIntent(in *Intent) bool {
	if !namesOneEntity(in) {
		return false
	}
	switch in.Type {
	case SetKind:
		return in.Kind != nil && validKind(in.Kind)
	case RemoveKind:
		return in.Kind != nil && in.Kind.ID != ""
	case SetTeam:
		return in.Team != nil && validTeam(in.Team)
	case RemoveTeam:
		return in.Team != nil && in.Team.ID != ""
	case SetLimit:
		return in.Limit != nil && in.Limit.ID != "" && in.Limit.Value >= 0
	case SetDrain, RemoveDrain:
		return in.Drain != nil && (in.Drain.Rack == "") != (in.Drain.Worker == "")
	case ResolveTask:
		return in.Task != "" && validOutcome(in.Outcome)
	default:
		return false
	}
}

// namesOneEntity reports whether in names exactly one entity.
func namesOneEntity(in *Intent) bool {
	n := 0
	for _, set := range []bool{in.Kind != nil, in.Team != nil, in.Limit != nil, in.Drain != nil, in.Task != ""} {
		if set {
			n++
		}
	}
	return n == 1
}

func validKind(k *table.Kind) bool {
	if k.ID == "" || k.Timeout < 0 || !validObjective(k.Objective) {
		return false
	}
	if k.Path != "" && !strings.HasPrefix(k.Path, "/") {
		return false
	}
	switch k.Class {
	case table.LatencyCritical:
		return k.Service != ""
	case table.Batch:
		return true
	default:
		return false
	}
}

// validObjective accepts the zero objective, which means that the kind has none.
func validObjective(o table.Objective) bool {
	return o.Target >= 0 && o.Target <= 1 && o.Latency >= 0
}

func validTeam(team *table.Team) bool {
	if team.ID == "" || !validAmounts(team.Quota) || team.MaxJobs < 0 {
		return false
	}
	return team.Weight >= 0 && !math.IsInf(team.Weight, 1)
}

func validOutcome(outcome string) bool {
	switch outcome {
	case ResolveRerun, ResolveFinished, ResolveFailed, ResolveCancelled:
		return true
	default:
		return false
	}
}
