package journal

import (
	"maps"
	"slices"

	"persimmonpick/table"
)

// CloneTables returns a copy of t that later folds into t do not change. Payloads and other byte slices are shared, as
// the fold never changes them in place; so are final jobs and tasks, which no record changes.
func CloneTables(t *table.Tables) *table.Tables {
	c := table.New()
	c.Applied = t.Applied
	c.ConfigSeen = t.ConfigSeen
	c.RemovedFloor = t.RemovedFloor
	c.Plans = slices.Clone(t.Plans)
	c.Replaced = maps.Clone(t.Replaced)
	c.Removed = maps.Clone(t.Removed)
	c.TeamUsed = maps.Clone(t.TeamUsed)
	c.TeamJobs = maps.Clone(t.TeamJobs)
	clonePlaces(c, t)
	cloneConfiguration(c, t)
	cloneWork(c, t)
	return c
}

func clonePlaces(c, t *table.Tables) {
	for id, h := range t.Hosts {
		v := *h
		c.Hosts[id] = &v
	}
	for id, w := range t.Writers {
		v := *w
		c.Writers[id] = &v
	}
	for id, w := range t.Workers {
		v := *w
		c.Workers[id] = &v
	}
	for id, in := range t.Instances {
		v := *in
		c.Instances[id] = &v
	}
}

func cloneConfiguration(c, t *table.Tables) {
	for id, k := range t.Kinds {
		v := *k
		c.Kinds[id] = &v
	}
	for id, team := range t.Teams {
		v := *team
		c.Teams[id] = &v
	}
	for id, l := range t.Limits {
		v := *l
		c.Limits[id] = &v
	}
	for name, d := range t.Drains {
		v := *d
		c.Drains[name] = &v
	}
}

func cloneWork(c, t *table.Tables) {
	c.Jobs = make(map[table.JobID]*table.Job, len(t.Jobs))
	for id, j := range t.Jobs {
		if j.State.Final() {
			c.Jobs[id] = j
			continue
		}
		v := *j
		c.Jobs[id] = &v
	}
	c.Tasks = make(map[table.TaskID]*table.Task, len(t.Tasks))
	for id, task := range t.Tasks {
		if task.State.Final() {
			c.Tasks[id] = task
			continue
		}
		v := *task
		c.Tasks[id] = &v
	}
	c.Active = nil
	if t.Active != nil {
		c.IndexUnfinished()
	}
	c.Claims = make(map[table.ClaimKey]*table.Claim, len(t.Claims))
	for key, claim := range t.Claims {
		v := *claim
		c.Claims[key] = &v
	}
}
