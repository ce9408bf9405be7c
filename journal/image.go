package journal

import "persimmonpick/table"

// complete says whether the fold can rely on m: no entity is missing, and each task has its job and each job its
// tasks.
func (m *image) complete() bool {
	if m.hasNil() {
		return false
	}
	tasks := make(map[table.TaskID]table.JobID, len(m.Tasks))
	for _, task := range m.Tasks {
		tasks[task.ID] = task.Job
	}
	n := 0
	for _, j := range m.Jobs {
		for _, id := range j.Tasks {
			if tasks[id] != j.ID {
				return false
			}
			n++
		}
	}
	return n == len(tasks) && n == len(m.Tasks)
}

func (m *image) hasNil() bool {
	found := false
	for _, h := range m.Hosts {
		found = found || h == nil
	}
	for _, w := range m.Workers {
		found = found || w == nil
	}
	for _, in := range m.Instances {
		found = found || in == nil
	}
	for _, k := range m.Kinds {
		found = found || k == nil
	}
	for _, team := range m.Teams {
		found = found || team == nil
	}
	for _, l := range m.Limits {
		found = found || l == nil
	}
	for _, d := range m.Drains {
		found = found || d == nil
	}
	for _, j := range m.Jobs {
		found = found || j == nil
	}
	for _, task := range m.Tasks {
		found = found || task == nil
	}
	for _, c := range m.Claims {
		found = found || c == nil
	}
	for _, w := range m.Writers {
		found = found || w == nil
	}
	return found
}

// tables returns the tables that m is the image of.
func (m *image) tables() *table.Tables {
	t := table.New()
	t.Applied = m.Applied
	t.ConfigSeen = m.ConfigSeen
	t.RemovedFloor = m.RemovedFloor
	t.Plans = m.Plans
	m.fillPlaces(t)
	m.fillConfiguration(t)
	m.fillWork(t)
	return t
}

func (m *image) fillPlaces(t *table.Tables) {
	for _, h := range m.Hosts {
		t.Hosts[h.Seat] = h
	}
	for _, w := range m.Workers {
		t.Workers[w.ID] = w
	}
	for _, in := range m.Instances {
		t.Instances[in.ID] = in
	}
	if m.Writers != nil {
		t.Writers = m.Writers
	}
	if m.Replaced != nil {
		t.Replaced = m.Replaced
	}
}

func (m *image) fillConfiguration(t *table.Tables) {
	for _, k := range m.Kinds {
		t.Kinds[k.ID] = k
	}
	for _, team := range m.Teams {
		t.Teams[team.ID] = team
	}
	for _, l := range m.Limits {
		t.Limits[l.ID] = l
	}
	for _, d := range m.Drains {
		t.Drains[d.Name()] = d
	}
	if m.Removed != nil {
		t.Removed = m.Removed
	}
}

func (m *image) fillWork(t *table.Tables) {
	for _, j := range m.Jobs {
		t.Jobs[j.ID] = j
	}
	for _, task := range m.Tasks {
		t.Tasks[task.ID] = task
	}
	t.IndexUnfinished()
	for _, c := range m.Claims {
		t.Claims[c.ClaimKey] = c
	}
	if m.TeamUsed != nil {
		t.TeamUsed = m.TeamUsed
	}
	if m.TeamJobs != nil {
		t.TeamJobs = m.TeamJobs
	}
}
