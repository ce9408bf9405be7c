package queue

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"persimmonpick/table"
)

// UnplaceableJob is a job that cannot be placed on the workers and quotas as they are.
type UnplaceableJob struct {
	Job    table.JobID
	Reason string
}

// UnplaceableJobs returns the jobs with pending tasks that fit no worker even with no other batch work, in order of ids.
//
// With no worker known it returns nothing, as the list of hosts has not arrived.
func UnplaceableJobs(t *table.Tables, cfg Config) []UnplaceableJob {
	cfg = cfg.withDefaults()
	shapes := batchShapes(t)
	if len(shapes) == 0 {
		return nil
	}
	var found []UnplaceableJob
	for id, tasks := range NewScan(t).Pending {
		j := t.Jobs[id]
		if j == nil || j.State.Final() {
			continue
		}
		if reason := why(t, j, len(tasks), cfg.Need(j), shapes); reason != "" {
			found = append(found, UnplaceableJob{Job: id, Reason: reason})
		}
	}
	slices.SortFunc(found, func(a, b UnplaceableJob) int { return cmp.Compare(a.Job, b.Job) })
	return found
}

// batchShapes counts the workers by what they offer to batch work beside their instances.
func batchShapes(t *table.Tables) map[table.Resources]int {
	offer := make(map[table.WorkerID]table.Resources, len(t.Workers))
	for id, w := range t.Workers {
		if !w.Gone {
			offer[id] = w.Capacity
		}
	}
	for _, in := range t.Instances {
		if o, ok := offer[in.Worker]; ok {
			offer[in.Worker] = o.Minus(in.Need)
		}
	}
	shapes := map[table.Resources]int{}
	for _, o := range offer {
		shapes[o]++
	}
	return shapes
}

func why(t *table.Tables, j *table.Job, pending int, need table.Resources, shapes map[table.Resources]int) string {
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
	for shape, n := range shapes {
		places += n * units(shape, need, pending)
	}
	if places == 0 {
		return fmt.Sprintf("each task needs %s; the largest offers are %s", describe(need), largest(shapes))
	}
	if j.Gang && places < pending {
		return fmt.Sprintf("%d tasks must start together; all workers have places for %d", pending, places)
	}
	return ""
}

// units returns how many tasks of size need fit into offer, at most limit.
func units(offer, need table.Resources, limit int) int {
	n := 0
	for n < limit && times(need, n+1).Fits(offer) {
		n++
	}
	return n
}

func largest(shapes map[table.Resources]int) string {
	var top table.Resources
	for s := range maps.Keys(shapes) {
		top.CPU = max(top.CPU, s.CPU)
		top.Memory = max(top.Memory, s.Memory)
		top.Accelerators = max(top.Accelerators, s.Accelerators)
	}
	return describe(top)
}

func describe(r table.Resources) string {
	return fmt.Sprintf("%d millicores, %d bytes of memory, %d accelerators", r.CPU, r.Memory, r.Accelerators)
}
