package experiment

import (
	"fmt"
	"slices"
	"time"

	"persimmonpick/journal"
	"persimmonpick/placement"
	"persimmonpick/table"
)

// apply updates the tables with one record under the rules of the journal. A record that violates a rule is
// counted and not applied.
func (w *world) apply(r *journal.Record) {
	w.t.Applied++
	switch {
	case r.LeaseGranted != nil:
		w.grant(r.LeaseGranted)
	case r.LeaseRevoked != nil:
		w.revoke(r.LeaseRevoked)
	case r.WorkerQuarantined != nil:
		w.t.Workers[r.WorkerQuarantined.ID].Quarantined = true
		w.res.Quarantines++
	case r.WorkerReleased != nil:
		w.t.Workers[r.WorkerReleased.ID].Quarantined = false
	}
}

func (w *world) grant(g *journal.LeaseGranted) {
	task, on := w.t.Tasks[g.Task], w.t.Workers[g.Worker]
	j := w.t.Jobs[task.Job]
	used := w.t.TeamUsed[j.Team].Plus(g.Need)
	if task.State != table.TaskPending || !w.t.Schedulable(on) || !g.Need.Fits(on.Free()) || !used.Fits(w.t.Teams[j.Team].Quota) {
		w.res.Violations++
		return
	}
	on.Used, w.t.TeamUsed[j.Team] = on.Used.Plus(g.Need), used
	task.State = table.TaskStarted
	task.Lease = table.Lease{
		Worker: on.ID, Token: w.t.Applied, Need: g.Need, Started: true,
		Granted: table.UnixMillis(w.now().UnixMilli()),
	}
	u := w.taskModels[task.ID]
	h := w.byID[on.ID]
	run := &run{
		task: task, token: w.t.Applied, model: u, worker: h, done: u.saved, cpuShare: 1,
		started: w.elapsed, savedAt: w.elapsed,
	}
	run.kind = slices.IndexFunc(w.sc.kinds, func(k kind) bool { return k.id == j.Kind })
	h.runs = append(h.runs, run)
	sortRuns(h.runs)
	w.running[task.ID] = run
	if j.Urgent && task.Evictions == 0 && task.Attempts == 0 {
		w.res.recordUrgentWait(w.now().Sub(time.UnixMilli(int64(j.Submitted))))
	}
}

func (w *world) revoke(v *journal.LeaseRevoked) {
	task := w.t.Tasks[v.Task]
	r := w.running[v.Task]
	if r == nil || r.token != v.Token || task.State == table.TaskRevoking {
		w.res.Violations++
		return
	}
	task.State, task.Reason = table.TaskRevoking, v.Reason
	r.stopping = true
	if w.measuring() {
		w.res.countEviction(v.Reason)
	}
}

// endRun removes r from its worker, releases its lease and sets the new state of the task.
func (w *world) endRun(r *run, outcome journal.LeaseOutcome) {
	h, task := r.worker, r.task
	h.runs = slices.DeleteFunc(h.runs, func(o *run) bool { return o == r })
	delete(w.running, task.ID)
	on, j := w.t.Workers[h.id], w.t.Jobs[task.Job]
	on.Used = on.Used.Minus(task.Lease.Need)
	w.t.TeamUsed[j.Team] = w.t.TeamUsed[j.Team].Minus(task.Lease.Need)
	ran := w.elapsed - r.started
	task.State = table.TaskPending
	switch outcome {
	case journal.LeaseFinished:
		task.State = table.TaskFinished
		w.finishTask(j)
	case journal.LeaseFailed:
		task.Attempts++
		w.discardUnsavedWork(r, false)
	default:
		task.Evictions++
		w.discardUnsavedWork(r, true)
	}
	task.Lease = table.Lease{}
	if w.ctl.ended != nil {
		w.ctl.ended(w, task, h.id, ran, outcome)
	}
}

// discardUnsavedWork subtracts the work since the last checkpoint of r from the measured work.
func (w *world) discardUnsavedWork(r *run, evicted bool) {
	lost := r.done - r.model.saved
	if !w.measuring() {
		return
	}
	w.res.work -= lost
	if evicted {
		w.res.lost += lost
	}
}

func (w *world) finishTask(j *table.Job) {
	j.Open--
	if j.Open == 0 {
		j.State = table.JobFinished
		if w.measuring() {
			w.res.Jobs++
		}
		for _, id := range j.Tasks {
			delete(w.t.Tasks, id)
			delete(w.taskModels, id)
		}
		delete(w.t.Jobs, j.ID)
	}
}

// execute runs a worker command of the controller. Commands for leases that are no longer current are ignored.
func (w *world) execute(c placement.Command) {
	r := w.running[c.Task]
	if r == nil || r.token != c.Token {
		return
	}
	switch c.Type {
	case placement.Throttle:
		r.cpuShare = c.Share
	case placement.Checkpoint:
		w.saveCheckpoint(r)
	default:
		panic(fmt.Sprintf("unknown command %q", c.Type))
	}
}
