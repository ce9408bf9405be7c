package placement

import "persimmonpick/table"

// maxSpreadTasks bounds the tasks of a job that are looked at to spread it.
const maxSpreadTasks = 1000

// spread counts where the tasks of jobs with several tasks run.
type spread struct {
	t    *table.Tables
	jobs map[table.JobID]*places
}

type places struct {
	total int
	racks map[table.RackID]int
	zones map[table.ZoneID]int
}

func newSpread(t *table.Tables) spread {
	return spread{t: t, jobs: map[table.JobID]*places{}}
}

// crowding returns the share of the tasks of j in the rack of w and in its zone, summed.
func (sp spread) crowding(j *table.Job, w *table.Worker) float64 {
	pl := sp.of(j)
	if pl == nil || pl.total == 0 {
		return 0
	}
	return float64(pl.racks[w.Rack]+pl.zones[w.Zone]) / float64(pl.total)
}

func (sp spread) add(j *table.Job, w *table.Worker) {
	if pl := sp.of(j); pl != nil {
		pl.add(w)
	}
}

// forget makes the places of j be counted anew.
func (sp spread) forget(j *table.Job) {
	delete(sp.jobs, j.ID)
}

func (sp spread) of(j *table.Job) *places {
	if len(j.Tasks) < 2 {
		return nil
	}
	pl := sp.jobs[j.ID]
	if pl != nil {
		return pl
	}
	pl = &places{racks: map[table.RackID]int{}, zones: map[table.ZoneID]int{}}
	sp.jobs[j.ID] = pl
	for _, id := range j.Tasks[:min(len(j.Tasks), maxSpreadTasks)] {
		task := sp.t.Tasks[id]
		if task == nil || !task.State.Held() {
			continue
		}
		if w := sp.t.Workers[task.Lease.Worker]; w != nil {
			pl.add(w)
		}
	}
	return pl
}

func (pl *places) add(w *table.Worker) {
	pl.total++
	pl.racks[w.Rack]++
	pl.zones[w.Zone]++
}
