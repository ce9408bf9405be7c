package operator

import (
	"net/http"
	"slices"

	"github.com/gorilla/mux"

	"persimmonpick/answer"
	"persimmonpick/fault"
	"persimmonpick/journal"
	"persimmonpick/table"
)

const maxTaskRows = 1000

func (h *handler) jobs(w http.ResponseWriter, r *http.Request) error {
	q, err := readQuery(r, "Team", "State", "Kind")
	if err != nil {
		return err
	}
	var ids []string
	err = h.readTables(r.Context(), func(t *table.Tables) { ids = q.jobs(t) })
	if err != nil {
		return err
	}
	// Sorting happens outside the control goroutine so as not to delay its other work.
	slices.Sort(ids)
	ids, next := q.paginate(ids)
	page := JobPage{Next: table.JobID(next), Jobs: make([]JobRow, 0, len(ids))}
	err = h.readTables(r.Context(), func(t *table.Tables) {
		for _, id := range ids {
			if j := t.Jobs[table.JobID(id)]; j != nil {
				page.Jobs = append(page.Jobs, jobRow(j))
			}
		}
	})
	if err != nil {
		return err
	}
	answer.JSON(w, http.StatusOK, page)
	return nil
}

func (q query) jobs(t *table.Tables) []string {
	var ids []string
	for id, j := range t.Jobs {
		if string(id) <= q.after {
			continue
		}
		if q.matches("Team", string(j.Team)) && q.matches("State", string(j.State)) && q.matches("Kind", string(j.Kind)) {
			ids = append(ids, string(id))
		}
	}
	return ids
}

func jobRow(j *table.Job) JobRow {
	return JobRow{
		ID: j.ID, Team: j.Team, Kind: j.Kind, State: j.State,
		Urgent: j.Urgent, NonIdempotent: j.NonIdempotent,
		Tasks: len(j.Tasks), Open: j.Open, Submitted: j.Submitted,
	}
}

func (h *handler) job(w http.ResponseWriter, r *http.Request) error {
	id := table.JobID(mux.Vars(r)["ID"])
	var detail *JobDetail
	err := h.readTables(r.Context(), func(t *table.Tables) {
		if j := t.Jobs[id]; j != nil {
			detail = jobDetail(t, j)
			if h.cfg.Unplaceable != nil {
				detail.Waits = h.cfg.Unplaceable(id)
			}
		}
	})
	if err != nil {
		return err
	}
	if detail == nil {
		return fault.New(fault.NotFound, "no job %s", id)
	}
	answer.JSON(w, http.StatusOK, detail)
	return nil
}

func jobDetail(t *table.Tables, j *table.Job) *JobDetail {
	d := &JobDetail{
		JobRow: jobRow(j), Need: j.Need, RunTime: j.RunTime, Deadline: j.Deadline,
		Gang: j.Gang, MaxAttempts: j.MaxAttempts, PayloadBytes: len(j.Payload),
	}
	for _, id := range j.Tasks[:min(len(j.Tasks), maxTaskRows)] {
		task := t.Tasks[id]
		if task == nil {
			continue
		}
		row := TaskRow{
			ID: task.ID, State: task.State, Attempts: task.Attempts, Evictions: task.Evictions,
			ResultBytes: len(task.Result), Reason: task.Reason,
		}
		if task.State.Held() {
			row.Worker, row.Token = task.Lease.Worker, task.Lease.Token
		}
		d.TaskRows = append(d.TaskRows, row)
	}
	return d
}

// Cancelled is the response to the cancellation of a job: Offset is where in the log it took effect.
type Cancelled struct {
	Job    table.JobID
	Offset table.Offset
}

func (h *handler) cancel(w http.ResponseWriter, r *http.Request) error {
	id := table.JobID(mux.Vars(r)["ID"])
	var found bool
	if err := h.readTables(r.Context(), func(t *table.Tables) { found = t.Jobs[id] != nil }); err != nil {
		return err
	}
	if !found {
		return fault.New(fault.NotFound, "no job %s", id)
	}
	off, err := h.propose(r.Context(), journal.Record{JobCancelled: &journal.JobCancelled{Job: id}})
	if err != nil {
		return err
	}
	answer.JSON(w, http.StatusOK, Cancelled{Job: id, Offset: off})
	return nil
}
