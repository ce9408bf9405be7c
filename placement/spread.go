package placement

import "persimmonpick/table"

// maxSpreadTasks bounds the tasks of a job that are counted for spreading.
const maxSpreadTasks = 1000

// spread counts, for jobs with several tasks, the racks and zones of the workers that their tasks hold leases on.
type spread struct {
	t     *table.Tables
	byJob map[table.JobID]*taskCounts
}

// taskCounts is the number of placed tasks of one job, in total and by rack and zone.
type taskCounts struct {
	total int
	racks map[table.RackID]int
	zones map[table.ZoneID]int
}

func newSpread(t *table.Tables) spread {
	return spread{t: t, byJob: map[table.JobID]*taskCounts{}}
}

// crowding returns the share of the placed tasks of j that are in the rack of w plus the share in its zone,
// from 0 to 2.
func (sp spread) crowding(j *table.Job, w *table.Worker) float64 {
	pl := sp.placementsOf(j)
	if pl == nil || pl.total == 0 {
		return 0
	}
	return float64(pl.racks[w.Rack]+pl.zones[w.Zone]) / float64(pl.total)
}

func (sp spread) add(j *table.Job, w *table.Worker) {
	if pl := sp.placementsOf(j); pl != nil {
		pl.add(w)
	}
}

// invalidate discards the counts of j, so that they are computed again.
func (sp spread) invalidate(j *table.Job) {
	delete(sp.byJob, j.ID)
}

// placementsOf returns the counts of j, or nil for a job with a single task.
func (sp spread) placementsOf(j *table.Job) *taskCounts {
	if len(j.Tasks) < 2 {
		return nil
	}
	pl := sp.byJob[j.ID]
	if pl != nil {
		return pl
	}
	pl = &taskCounts{racks: map[table.RackID]int{}, zones: map[table.ZoneID]int{}}
	sp.byJob[j.ID] = pl
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

func (pl *taskCounts) add(w *table.Worker) {
	pl.total++
	pl.racks[w.Rack]++
	pl.zones[w.Zone]++
}
