package operator

import (
	"slices"
	"strings"
	"unicode"

	"persimmonpick/fault"
	"persimmonpick/journal"
	"persimmonpick/table"
)

// maxNameBytes limits the names of kinds, teams, services and plans.
const maxNameBytes = 128

// Check returns an error of kind fault.Invalid if in is malformed; it does not look at the tables.
func Check(in journal.Intent) error {
	if err := checkFields(in); err != nil {
		return err
	}
	switch in.Type {
	case journal.SetKind:
		return checkKind(*in.Kind)
	case journal.RemoveKind:
		return checkName("Kind.ID", string(in.Kind.ID))
	case journal.SetTeam:
		return checkTeam(*in.Team)
	case journal.RemoveTeam:
		return checkName("Team.ID", string(in.Team.ID))
	case journal.SetLimit:
		return checkLimit(*in.Limit)
	case journal.SetDrain, journal.RemoveDrain:
		return checkDrain(*in.Drain)
	default:
		return checkResolve(in)
	}
}

func invalid(format string, args ...any) error {
	return fault.New(fault.Invalid, format, args...)
}

// checkFields verifies that exactly the fields required by the intent type are set.
func checkFields(in journal.Intent) error {
	fields := []struct {
		name   string
		set    bool
		wanted bool
	}{
		{"Kind", in.Kind != nil, in.Type == journal.SetKind || in.Type == journal.RemoveKind},
		{"Team", in.Team != nil, in.Type == journal.SetTeam || in.Type == journal.RemoveTeam},
		{"Limit", in.Limit != nil, in.Type == journal.SetLimit},
		{"Drain", in.Drain != nil, in.Type == journal.SetDrain || in.Type == journal.RemoveDrain},
		{"Task", in.Task != "", in.Type == journal.ResolveTask},
		{"Outcome", in.Outcome != "", in.Type == journal.ResolveTask},
	}
	known := false
	for _, f := range fields {
		known = known || f.wanted
	}
	if !known {
		return invalid("Type: %q is not a type of intent", in.Type)
	}
	for _, f := range fields {
		if f.wanted && !f.set {
			return invalid("%s: must be set for %s", f.name, in.Type)
		}
		if f.set && !f.wanted {
			return invalid("%s: must not be set for %s", f.name, in.Type)
		}
	}
	return nil
}

func checkName(path, name string) error {
	if name == "" {
		return invalid("%s: must be set", path)
	}
	if len(name) > maxNameBytes {
		return invalid("%s: must have at most %d bytes", path, maxNameBytes)
	}
	bad := func(r rune) bool { return r == '/' || unicode.IsSpace(r) || !unicode.IsPrint(r) }
	if strings.ContainsFunc(name, bad) {
		return invalid("%s: must have no slash, space or control character", path)
	}
	return nil
}

func checkKind(k table.Kind) error {
	if err := checkName("Kind.ID", string(k.ID)); err != nil {
		return err
	}
	switch k.Class {
	case table.Batch:
		if k.Service != "" || k.Path != "" {
			return invalid("Kind.Service, Kind.Path: must not be set for class Batch")
		}
	case table.LatencyCritical:
		if err := checkName("Kind.Service", string(k.Service)); err != nil {
			return err
		}
		if k.Path != "" && (!strings.HasPrefix(k.Path, "/") || strings.ContainsAny(k.Path, "?# \r\n")) {
			return invalid("Kind.Path: must be an absolute path without a query")
		}
	default:
		return invalid("Kind.Class: must be %s or %s", table.LatencyCritical, table.Batch)
	}
	if k.Timeout < 0 || k.Objective.Latency < 0 {
		return invalid("Kind.Timeout, Kind.Objective.Latency: must be at least 0")
	}
	if !(k.Objective.Target >= 0 && k.Objective.Target < 1) {
		return invalid("Kind.Objective.Target: must be at least 0 and below 1")
	}
	return nil
}

func checkTeam(team table.Team) error {
	if err := checkName("Team.ID", string(team.ID)); err != nil {
		return err
	}
	if team.Quota.Negative() {
		return invalid("Team.Quota: must be at least 0 in every dimension")
	}
	if !(team.Weight > 0) {
		return invalid("Team.Weight: must be above 0")
	}
	if team.MaxJobs < 0 {
		return invalid("Team.MaxJobs: must be at least 0")
	}
	return nil
}

func checkLimit(l table.Limit) error {
	if l.Value < 0 {
		return invalid("Limit.Value: must be at least 0")
	}
	if !slices.Contains(table.Limits(), l.ID) {
		return invalid("Limit.ID: %q is no limit, known are %v", l.ID, table.Limits())
	}
	return nil
}

func checkDrain(d table.Drain) error {
	if (d.Rack == "") == (d.Worker == "") {
		return invalid("Drain: must name either a rack or a worker")
	}
	return nil
}

func checkResolve(in journal.Intent) error {
	switch in.Outcome {
	case journal.ResolveRerun, journal.ResolveFinished, journal.ResolveFailed, journal.ResolveCancelled:
		return nil
	}
	return invalid("Outcome: must be %s, %s, %s or %s", journal.ResolveRerun, journal.ResolveFinished, journal.ResolveFailed, journal.ResolveCancelled)
}
