package operator

import (
	"cmp"
	"maps"
	"net/http"
	"slices"

	"persimmonpick/answer"
	"persimmonpick/table"
)

const maxUnknownTasks = 100

func (h *handler) status(w http.ResponseWriter, r *http.Request) error {
	var s Status
	if err := h.readTables(r.Context(), func(t *table.Tables) { s = summarize(t) }); err != nil {
		return err
	}
	s.Hosts = h.cfg.Hosts()
	answer.JSON(w, http.StatusOK, s)
	return nil
}

func summarize(t *table.Tables) Status {
	s := Status{
		Applied:    t.Applied,
		ConfigSeen: t.ConfigSeen,
		Jobs:       map[string]int{},
		Tasks:      map[string]int{},
		Instances:  len(t.Instances),
		Drains:     slices.Sorted(maps.Keys(t.Drains)),
	}
	for _, j := range t.Jobs {
		s.Jobs[string(j.State)]++
	}
	for _, task := range t.Tasks {
		s.Tasks[string(task.State)]++
	}
	for _, w := range t.Workers {
		s.Workers.add(t, w)
	}
	s.addConfiguration(t)
	s.addUnknown(t)
	return s
}

func (c *WorkerCounts) add(t *table.Tables, w *table.Worker) {
	if w.Gone {
		return
	}
	c.Listed++
	if w.Leaving {
		c.Leaving++
	}
	if w.Quarantined {
		c.Quarantined++
	}
	if t.Drained(w) {
		c.Drained++
	}
	if t.Schedulable(w) {
		c.Open++
		c.Capacity = c.Capacity.Plus(w.Capacity)
		c.Used = c.Used.Plus(w.Used)
	}
}

func (s *Status) addConfiguration(t *table.Tables) {
	for _, k := range t.Kinds {
		s.Kinds = append(s.Kinds, *k)
	}
	slices.SortFunc(s.Kinds, func(a, b table.Kind) int { return cmp.Compare(a.ID, b.ID) })
	for _, team := range t.Teams {
		s.Teams = append(s.Teams, *team)
	}
	slices.SortFunc(s.Teams, func(a, b table.Team) int { return cmp.Compare(a.ID, b.ID) })
	for _, l := range t.Limits {
		s.Limits = append(s.Limits, *l)
	}
	slices.SortFunc(s.Limits, func(a, b table.Limit) int { return cmp.Compare(a.ID, b.ID) })
}

func (s *Status) addUnknown(t *table.Tables) {
	for _, task := range t.Unfinished() {
		if task.State != table.TaskUnknown {
			continue
		}
		u := UnknownTask{Task: task.ID, Job: task.Job, Reason: task.Reason}
		if j := t.Jobs[task.Job]; j != nil {
			u.Team = j.Team
		}
		s.Unknown = append(s.Unknown, u)
	}
	slices.SortFunc(s.Unknown, func(a, b UnknownTask) int { return cmp.Compare(a.Task, b.Task) })
	s.MoreUnknown = len(s.Unknown) > maxUnknownTasks
	s.Unknown = s.Unknown[:min(len(s.Unknown), maxUnknownTasks)]
}
