package operator

import (
	"net/http"
	"slices"

	"persimmonpick/answer"
	"persimmonpick/table"
)

func (h *handler) workers(w http.ResponseWriter, r *http.Request) error {
	q, err := readQuery(r, "Rack", "Zone")
	if err != nil {
		return err
	}
	var page WorkerPage
	err = h.look(r.Context(), func(t *table.Tables) { page = q.workers(t) })
	if err != nil {
		return err
	}
	answer.JSON(w, http.StatusOK, page)
	return nil
}

func (q query) workers(t *table.Tables) WorkerPage {
	var ids []string
	for id, w := range t.Workers {
		if string(id) > q.after && q.matches("Rack", string(w.Rack)) && q.matches("Zone", string(w.Zone)) {
			ids = append(ids, string(id))
		}
	}
	slices.Sort(ids)
	ids, next := q.cut(ids)
	tasks, instances := perWorker(t)
	page := WorkerPage{Next: table.WorkerID(next), Workers: make([]WorkerRow, 0, len(ids))}
	for _, id := range ids {
		row := workerRow(t, t.Workers[table.WorkerID(id)])
		row.Tasks, row.Instances = tasks[row.ID], instances[row.ID]
		page.Workers = append(page.Workers, row)
	}
	return page
}

func workerRow(t *table.Tables, w *table.Worker) WorkerRow {
	return WorkerRow{
		ID: w.ID, Rack: w.Rack, Zone: w.Zone, Capacity: w.Capacity, Used: w.Used,
		Open: t.Schedulable(w), Leaving: w.Leaving, Gone: w.Gone,
		Drained: t.Drained(w), Quarantined: w.Quarantined,
	}
}

func perWorker(t *table.Tables) (tasks, instances map[table.WorkerID]int) {
	tasks, instances = map[table.WorkerID]int{}, map[table.WorkerID]int{}
	for _, task := range t.Unfinished() {
		if task.State.Held() {
			tasks[task.Lease.Worker]++
		}
	}
	for _, in := range t.Instances {
		instances[in.Worker]++
	}
	return tasks, instances
}
