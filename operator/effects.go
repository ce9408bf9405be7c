package operator

import (
	"fmt"
	"slices"
	"strings"

	"persimmonpick/journal"
	"persimmonpick/table"
)

// maxListedIDs limits the ids listed in one line of effects.
const maxListedIDs = 20

// effects describes how an intent affects running and pending work.
func effects(t *table.Tables, in journal.Intent) []string {
	switch in.Type {
	case journal.SetKind:
		return kindEffects(t, *in.Kind)
	case journal.RemoveKind:
		return removedKindEffects(t, *t.Kinds[in.Kind.ID])
	case journal.SetTeam:
		return teamEffects(t, *in.Team)
	case journal.RemoveTeam:
		return []string{fmt.Sprintf("new jobs and requests of team %s are rejected as not run", in.Team.ID)}
	case journal.SetDrain:
		return drainEffects(t, *in.Drain)
	case journal.RemoveDrain:
		return undrainEffects(t, *in.Drain)
	case journal.ResolveTask:
		return resolveEffects(*t.Tasks[in.Task], in.Outcome)
	}
	return []string{"every entry host uses the new value as soon as it has read it"}
}

func kindEffects(t *table.Tables, k table.Kind) []string {
	previous := t.Kinds[k.ID]
	if previous == nil {
		return []string{fmt.Sprintf("requests or jobs of kind %s are admitted", k.ID)}
	}
	var list []string
	if previous.Service != k.Service {
		list = append(list, fmt.Sprintf("new requests go to the %d instances of service %q", countInstances(t, k.Service), k.Service))
	}
	if jobs := jobsOfKind(t, k.ID); previous.Class != k.Class && len(jobs) > 0 {
		list = append(list, "unfinished jobs of the kind: "+formatIDs(jobs))
	}
	return list
}

func removedKindEffects(t *table.Tables, k table.Kind) []string {
	list := []string{fmt.Sprintf("new requests and jobs of kind %s are rejected as not run", k.ID)}
	if k.Service != "" {
		list = append(list, fmt.Sprintf("requests to the %d instances of service %q are affected", countInstances(t, k.Service), k.Service))
	}
	if jobs := jobsOfKind(t, k.ID); len(jobs) > 0 {
		list = append(list, "unfinished jobs of the kind: "+formatIDs(jobs))
	}
	return list
}

func teamEffects(t *table.Tables, team table.Team) []string {
	jobs := jobsOfTeam(t, team.ID)
	list := []string{"unfinished jobs of the team: " + formatIDs(jobs)}
	if used := t.TeamUsed[team.ID]; !used.Fits(team.Quota) {
		list = append(list, "the running tasks hold "+formatResources(used)+", above the new quota: no further task starts until they end")
	}
	if team.MaxJobs > 0 && len(jobs) >= team.MaxJobs {
		list = append(list, fmt.Sprintf("the team has %d unfinished jobs: further jobs are rejected", len(jobs)))
	}
	return list
}

func drainEffects(t *table.Tables, d table.Drain) []string {
	workers := coveredWorkers(t, d)
	list := []string{"workers that receive no new work: " + formatIDs(workers)}
	var tasks, nonIdempotent []string
	for _, id := range table.SortedTasks(t) {
		task := t.Tasks[id]
		if !task.State.Held() || !slices.Contains(workers, string(task.Lease.Worker)) {
			continue
		}
		tasks = append(tasks, string(id))
		if job := t.Jobs[task.Job]; job != nil && job.NonIdempotent {
			nonIdempotent = append(nonIdempotent, string(id))
		}
	}
	var instances []string
	for _, id := range table.SortedInstances(t) {
		if slices.Contains(workers, string(t.Instances[id].Worker)) {
			instances = append(instances, string(id))
		}
	}
	list = append(list, "running tasks that are checkpointed and move: "+formatIDs(tasks))
	if len(nonIdempotent) > 0 {
		list = append(list, "of these, non-idempotent ones, which move only once their worker confirms the stop: "+formatIDs(nonIdempotent))
	}
	return append(list, "instances that receive no new requests: "+formatIDs(instances))
}

func undrainEffects(t *table.Tables, d table.Drain) []string {
	var open []string
	for _, id := range coveredWorkers(t, d) {
		w := t.Workers[table.WorkerID(id)]
		if !w.Gone && !w.Leaving && !w.Quarantined {
			open = append(open, id)
		}
	}
	return []string{"workers that may receive new work again, unless another drain covers them: " + formatIDs(open)}
}

func resolveEffects(task table.Task, outcome string) []string {
	if outcome == journal.ResolveRerun {
		return []string{
			fmt.Sprintf("task %s of job %s runs again", task.ID, task.Job),
			"if it did run on the lost worker, it runs twice: confirm only if you know that it did not or was undone",
		}
	}
	return []string{fmt.Sprintf("task %s of job %s ends as %s and does not run again", task.ID, task.Job, outcome)}
}

// coveredWorkers returns the sorted ids of the workers that d covers.
func coveredWorkers(t *table.Tables, d table.Drain) []string {
	var list []string
	for _, id := range table.SortedWorkers(t) {
		w := t.Workers[id]
		if id == d.Worker || (d.Rack != "" && w.Rack == d.Rack) {
			list = append(list, string(id))
		}
	}
	return list
}

func jobsOfKind(t *table.Tables, kind table.KindID) []string {
	return unfinishedJobs(t, func(j *table.Job) bool { return j.Kind == kind })
}

func jobsOfTeam(t *table.Tables, team table.TeamID) []string {
	return unfinishedJobs(t, func(j *table.Job) bool { return j.Team == team })
}

func unfinishedJobs(t *table.Tables, match func(*table.Job) bool) []string {
	var list []string
	for id, j := range t.Jobs {
		if !j.State.Final() && match(j) {
			list = append(list, string(id))
		}
	}
	slices.Sort(list)
	return list
}

func countInstances(t *table.Tables, service table.ServiceID) int {
	n := 0
	for _, in := range t.Instances {
		if in.Service == service {
			n++
		}
	}
	return n
}

// formatIDs formats the number of ids and the first maxListedIDs of them.
func formatIDs(ids []string) string {
	if len(ids) == 0 {
		return "none"
	}
	list := strings.Join(ids[:min(len(ids), maxListedIDs)], ", ")
	if len(ids) > maxListedIDs {
		list += ", ..."
	}
	return fmt.Sprintf("%d (%s)", len(ids), list)
}

func formatResources(r table.Resources) string {
	return fmt.Sprintf("%d millicores, %d bytes and %d accelerators", r.CPU, r.Memory, r.Accelerators)
}
