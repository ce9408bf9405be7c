package entry

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"

	"persimmonpick/answer"
	"persimmonpick/fault"
	"persimmonpick/ingress"
	"persimmonpick/journal"
	"persimmonpick/table"
)

// JobRequest is the body of POST /v1/jobs.
type JobRequest struct {
	Kind        table.KindID
	Tasks       int // 1 if not set
	Need        table.Resources
	RunTime     table.Millis // declared run time of each task
	Deadline    time.Time    // zero if there is none
	Urgent      bool
	Gang        bool // the tasks start all together or not at all
	MaxAttempts int  // 3 if not set; a non-idempotent job runs at most once in any case
	Payload     json.RawMessage
}

// JobStatus is the status of a job as returned to its caller.
type JobStatus struct {
	ID    table.JobID
	Kind  table.KindID
	State table.JobState
	Tasks []TaskView
	Waits string `json:",omitempty"` // why the job cannot be placed at present
}

// TaskView is the status of a task as returned to its caller.
type TaskView struct {
	ID        table.TaskID
	State     table.TaskState
	Worker    table.WorkerID `json:",omitempty"`
	Attempts  int
	Evictions int
	Result    string `json:",omitempty"`
	Reason    string `json:",omitempty"`
}

const defaultAttempts = 3

func (c *callerAPI) submitJob(w http.ResponseWriter, r *http.Request, team table.TeamID) error {
	body, err := ingress.ReadBody(w, r, c.host.cfg.Limits.MaxBody)
	if err != nil {
		return err
	}
	if err := ingress.ReserveDecoded(r, len(body)); err != nil {
		return err
	}
	var req JobRequest
	if err := answer.DecodeBytes(body, &req); err != nil {
		return err
	}
	if err := c.checkJob(&req); err != nil {
		return err
	}
	kind, ok := c.host.control.view.Load().Kinds[req.Kind]
	if !ok || kind.Class != table.Batch {
		return fault.New(fault.NotFound, "no batch kind %q is admitted", req.Kind)
	}
	ctx, cancel := context.WithTimeout(r.Context(), c.host.cfg.Timing.RequestTimeout.D())
	defer cancel()
	if err := c.fitsSomewhere(ctx, req.Need); err != nil {
		return err
	}
	id, err := jobID(team, r.Header.Get(keyHeader))
	if err != nil {
		return err
	}
	rec := journal.JobSubmitted{Job: newJob(id, team, kind, req), TaskCount: req.Tasks, Digest: xxhash.Sum64(body)}
	if err := c.host.propose(ctx, journal.Record{JobSubmitted: &rec}); err != nil {
		return err
	}
	answer.JSON(w, http.StatusAccepted, JobStatus{ID: id, Kind: req.Kind, State: table.JobPending})
	return nil
}

func (c *callerAPI) checkJob(req *JobRequest) error {
	if req.Tasks == 0 {
		req.Tasks = 1
	}
	if req.MaxAttempts == 0 {
		req.MaxAttempts = defaultAttempts
	}
	limit := c.host.control.view.Load().Limit(table.MaxTasksPerJob, c.host.cfg.Limits.MaxTasksPerJob)
	switch {
	case req.Tasks < 0 || req.Tasks > limit:
		return fault.New(fault.Invalid, "Tasks must be between 1 and %d", limit)
	case req.Need.Negative() || req.Need == table.Resources{}:
		return fault.New(fault.Invalid, "Need must name at least one resource and nothing below zero")
	case req.RunTime < 0 || req.MaxAttempts < 0:
		return fault.New(fault.Invalid, "RunTime and MaxAttempts must not be below zero")
	}
	return nil
}

// fitsSomewhere returns a NeverFits error if need exceeds the capacity of every known worker.
func (c *callerAPI) fitsSomewhere(ctx context.Context, need table.Resources) error {
	fits := false
	known := 0
	err := c.host.control.readTables(ctx, func(t *table.Tables) {
		known = len(t.Workers)
		for _, w := range t.Workers {
			if need.Fits(w.Capacity) {
				fits = true
				return
			}
		}
	})
	if err != nil {
		return err
	}
	if known > 0 && !fits {
		return fault.New(fault.NeverFits, "a task of %d millicores, %d bytes and %d accelerators is larger than every worker", need.CPU, need.Memory, need.Accelerators)
	}
	return nil
}

// jobID derives the id from the team and the idempotency key, so that a repeated submission gets the same job id.
// Without a key the id is random.
func jobID(team table.TeamID, key string) (table.JobID, error) {
	if key == "" {
		return table.JobID("j-" + rand.Text()), nil
	}
	if len(key) > maxKeyLength {
		return "", fault.New(fault.Invalid, "%s is longer than %d bytes", keyHeader, maxKeyLength)
	}
	sum := sha256.Sum256([]byte(string(team) + "\x00" + key))
	return table.JobID("k-" + hex.EncodeToString(sum[:16])), nil
}

func newJob(id table.JobID, team table.TeamID, kind table.Kind, req JobRequest) table.Job {
	j := table.Job{
		ID: id, Team: team, Kind: kind.ID, Need: req.Need, RunTime: req.RunTime, Urgent: req.Urgent, Gang: req.Gang,
		NonIdempotent: kind.NonIdempotent, MaxAttempts: req.MaxAttempts, Payload: bytes.Clone(req.Payload),
		Submitted: table.UnixMillis(time.Now().UnixMilli()),
	}
	if !req.Deadline.IsZero() {
		j.Deadline = table.UnixMillis(req.Deadline.UnixMilli())
	}
	return j
}

func (c *callerAPI) getJob(w http.ResponseWriter, r *http.Request, team table.TeamID) error {
	id := table.JobID(mux.Vars(r)["ID"])
	var st JobStatus
	found := false
	err := c.host.control.readTables(r.Context(), func(t *table.Tables) {
		if j := t.Jobs[id]; j != nil && j.Team == team {
			st, found = statusOf(t, j), true
			st.Waits = c.host.control.proposer.unplaceable[id]
		}
	})
	if err != nil {
		return err
	}
	if !found {
		return fault.New(fault.NotFound, "no job %s of this team", id)
	}
	answer.JSON(w, http.StatusOK, st)
	return nil
}

func statusOf(t *table.Tables, j *table.Job) JobStatus {
	st := JobStatus{ID: j.ID, Kind: j.Kind, State: j.State}
	for _, id := range j.Tasks {
		task := t.Tasks[id]
		v := TaskView{
			ID: id, State: task.State, Attempts: task.Attempts, Evictions: task.Evictions,
			Result: string(task.Result), Reason: task.Reason,
		}
		if task.State.Held() {
			v.Worker = task.Lease.Worker
		}
		st.Tasks = append(st.Tasks, v)
	}
	return st
}

func (c *callerAPI) cancelJob(w http.ResponseWriter, r *http.Request, team table.TeamID) error {
	id := table.JobID(mux.Vars(r)["ID"])
	own := false
	err := c.host.control.readTables(r.Context(), func(t *table.Tables) {
		j := t.Jobs[id]
		own = j != nil && j.Team == team
	})
	if err != nil {
		return err
	}
	if !own {
		return fault.New(fault.NotFound, "no job %s of this team", id)
	}
	ctx, cancel := context.WithTimeout(r.Context(), c.host.cfg.Timing.RequestTimeout.D())
	defer cancel()
	if err := c.host.propose(ctx, journal.Record{JobCancelled: &journal.JobCancelled{Job: id}}); err != nil {
		return err
	}
	return c.getJob(w, r, team)
}
