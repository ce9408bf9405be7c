package queue

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"persimmonpick/table"
)

// UnplaceableJob is a job that cannot be placed with the present workers and quotas.
type UnplaceableJob struct {
	Job    table.JobID
	Reason string
}

// UnplaceableJobs returns the jobs with pending tasks that could not be placed even if no other batch work ran,
// sorted by ID.
//
// Without any known worker it returns nil, because the worker list has not arrived yet.
func UnplaceableJobs(t *table.Tables, cfg Config) []UnplaceableJob {
	cfg = cfg.withDefaults()
	capacities := countBatchCapacities(t)
	if len(capacities) == 0 {
		return nil
	}
	var unplaceable []UnplaceableJob
	for id, tasks := range NewScan(t).Pending {
		j := t.Jobs[id]
		if j == nil || j.State.Final() {
			continue
		}
		if reason := unplaceableReason(t, j, len(tasks), cfg.Need(j), capacities); reason != "" {
			unplaceable = append(unplaceable, UnplaceableJob{Job: id, Reason: reason})
		}
	}
	slices.SortFunc(unplaceable, func(a, b UnplaceableJob) int { return cmp.Compare(a.Job, b.Job) })
	return unplaceable
}

// countBatchCapacities counts the workers by the capacity that their instances leave for batch work.
func countBatchCapacities(t *table.Tables) map[table.Resources]int {
	free := make(map[table.WorkerID]table.Resources, len(t.Workers))
	for id, w := range t.Workers {
		if !w.Gone {
			free[id] = w.Capacity
		}
	}
	for _, in := range t.Instances {
		if o, ok := free[in.Worker]; ok {
			free[in.Worker] = o.Minus(in.Need)
		}
	}
	capacities := map[table.Resources]int{}
	for _, o := range free {
		capacities[o]++
	}
	return capacities
}

// unplaceableReason returns why the pending tasks of j can never be placed, or "" if they can. capacities is
// the result of countBatchCapacities.
func unplaceableReason(t *table.Tables, j *table.Job, pending int, need table.Resources, capacities map[table.Resources]int) string {
	entry := need
	if j.Gang {
		entry = times(need, pending)
	}
	team := t.Teams[j.Team]
	if team == nil {
		return fmt.Sprintf("team %s does not exist", j.Team)
	}
	if !entry.Fits(team.Quota) {
		return fmt.Sprintf("needs %s, more than the quota of team %s", describe(entry), j.Team)
	}
	places := 0
	for capacity, n := range capacities {
		places += n * fittingTasks(capacity, need, pending)
	}
	if places == 0 {
		return fmt.Sprintf("each task needs %s; the largest offers are %s", describe(need), largestCapacity(capacities))
	}
	if j.Gang && places < pending {
		return fmt.Sprintf("%d tasks must start together; all workers have places for %d", pending, places)
	}
	return ""
}

// fittingTasks returns how many tasks of size need fit into capacity, up to limit.
func fittingTasks(capacity, need table.Resources, limit int) int {
	n := 0
	for n < limit && times(need, n+1).Fits(capacity) {
		n++
	}
	return n
}

// largestCapacity describes the largest batch capacity in each dimension, not necessarily of one worker.
func largestCapacity(capacities map[table.Resources]int) string {
	var top table.Resources
	for s := range maps.Keys(capacities) {
		top.CPU = max(top.CPU, s.CPU)
		top.Memory = max(top.Memory, s.Memory)
		top.Accelerators = max(top.Accelerators, s.Accelerators)
	}
	return describe(top)
}

func describe(r table.Resources) string {
	return fmt.Sprintf("%d millicores, %d bytes of memory, %d accelerators", r.CPU, r.Memory, r.Accelerators)
}
