package entry

import (
	"context"
	"time"

	"persimmonpick/fault"
	"persimmonpick/journal"
	"persimmonpick/provider"
	"persimmonpick/table"
)

// order is what one visit does on a worker; it is a copy, so that the visit needs no tables.
type order struct {
	worker  table.WorkerID
	applied table.Offset
	leases  map[table.TaskID]leaseOrder
}

type leaseOrder struct {
	token         table.Token
	stop          bool
	cancelled     bool // no checkpoint is needed
	started       bool // a start was announced or confirmed before
	mine          bool // this process announced the start
	firstTry      bool // this process has not sent a start under this token
	nonIdempotent bool
	refused       bool // the worker refused the only start
	start         provider.StartRequest
}

// visit is the result of one visit.
type visit struct {
	worker  table.WorkerID
	err     error
	report  provider.Report
	records []journal.Record
	tried   []leaseKey // non-idempotent starts that were sent
}

// visit starts a visit in its own goroutine; it returns false when too many are under way.
func (a *agents) visit(t *table.Tables, id table.WorkerID, w *watch, now time.Time) bool {
	select {
	case a.slots <- struct{}{}:
	default:
		return false
	}
	w.visiting = true
	w.due = now.Add(a.cfg.Timing.ReportPeriod.D())
	o := a.order(t, id)
	a.wg.Go(func() {
		v := a.carryOut(o)
		<-a.slots
		select {
		case a.visits <- v:
		case <-a.ctx.Done():
		}
	})
	return true
}

// order copies the leases of a worker out of the tables; leases with a record under way are left alone.
func (a *agents) order(t *table.Tables, id table.WorkerID) order {
	o := order{worker: id, applied: t.Applied, leases: make(map[table.TaskID]leaseOrder, len(a.held[id]))}
	for taskID := range a.held[id] {
		task := t.Tasks[taskID]
		job := t.Jobs[task.Job]
		mine := task.Lease.Starter == a.incarnation
		first := mine && !a.tried[leaseKey{taskID, task.Lease.Token}]
		o.leases[taskID] = leaseOrder{
			token:         task.Lease.Token,
			stop:          task.State == table.TaskRevoking,
			cancelled:     task.Lease.Cancelled,
			started:       task.Lease.Started,
			mine:          mine,
			firstTry:      first,
			nonIdempotent: job.NonIdempotent,
			start: provider.StartRequest{
				Task: taskID, Token: task.Lease.Token, Kind: job.Kind, Need: task.Lease.Need,
				Payload: job.Payload, Checkpoint: task.Checkpoint,
			},
		}
	}
	return o
}

// visited takes the result of a visit into the control goroutine.
func (a *agents) visited(t *table.Tables, v visit, now time.Time) {
	for _, k := range v.tried {
		a.tried[k] = true
	}
	w := a.watched[v.worker]
	if w == nil {
		return
	}
	w.visiting = false
	if v.err != nil {
		if w.failing.IsZero() {
			w.failing = now
			a.log.Warn("worker unreachable", "Worker", v.worker, "Error", v.err)
		}
		return
	}
	if !w.failing.IsZero() {
		a.log.Info("worker reachable", "Worker", v.worker, "After", now.Sub(w.failing))
	}
	w.failing = time.Time{}
	a.reported(t, v.report, now)
	a.propose(v.worker, w, v.records)
}

func keyOf(r journal.Record) leaseKey {
	switch {
	case r.LeaseStarted != nil:
		return leaseKey{r.LeaseStarted.Task, r.LeaseStarted.Token}
	case r.LeaseRevoked != nil:
		return leaseKey{r.LeaseRevoked.Task, r.LeaseRevoked.Token}
	case r.LeaseEnded != nil:
		return leaseKey{r.LeaseEnded.Task, r.LeaseEnded.Token}
	}
	return leaseKey{}
}

// carryOut asks the worker for its report, compares it with the leases and acts on the difference.
func (a *agents) carryOut(o order) visit {
	ctx, cancel := context.WithTimeout(a.ctx, a.cfg.Timing.ReportPeriod.D()*2)
	defer cancel()
	v := visit{worker: o.worker}
	v.report, v.err = a.workers.Report(ctx, o.worker)
	if v.err != nil {
		return v
	}
	r := reconcile{a: a, o: o, known: map[table.TaskID]provider.TaskStatus{}}
	for _, st := range v.report.Statuses {
		r.status(ctx, st)
	}
	for id, l := range o.leases {
		r.lease(ctx, id, l)
	}
	r.renew(ctx)
	v.records = r.records
	v.tried = r.tried
	return v
}

// reconcile compares a report with the leases of one worker.
type reconcile struct {
	a       *agents
	o       order
	known   map[table.TaskID]provider.TaskStatus
	records []journal.Record
	tried   []leaseKey
	running []provider.Renewal
}

// status sorts one status of the report: of a lease that is held, or a leftover of one that ended.
func (r *reconcile) status(ctx context.Context, st provider.TaskStatus) {
	l, ok := r.o.leases[st.Task]
	if ok && l.token == st.Token {
		r.known[st.Task] = st
		return
	}
	if st.Token > r.o.applied {
		return // granted after these tables
	}
	if st.State == provider.RunRunning {
		if _, err := r.a.workers.Stop(ctx, r.o.worker, st.Task, st.Token); err != nil {
			r.a.log.Warn("leftover task not stopped", "Worker", r.o.worker, "Task", st.Task, "Error", err)
		}
		return
	}
	_ = r.a.workers.Forget(ctx, r.o.worker, []provider.Renewal{{Task: st.Task, Token: st.Token}})
}

func (r *reconcile) lease(ctx context.Context, id table.TaskID, l leaseOrder) {
	st, ok := r.known[id]
	if !ok {
		r.unaccepted(ctx, id, l)
		return
	}
	if st.State != provider.RunRunning {
		r.ended(st, l)
		return
	}
	if l.stop {
		r.save(ctx, id, l)
		r.stop(ctx, id, l)
		return
	}
	if !l.started {
		r.started(id, l)
	}
	r.running = append(r.running, provider.Renewal{Task: id, Token: l.token})
}

// save asks a running task for a checkpoint before it is stopped; without an answer it stops all the same and resumes from the last one.
func (r *reconcile) save(ctx context.Context, id table.TaskID, l leaseOrder) {
	if l.cancelled {
		return
	}
	if err := r.a.workers.Checkpoint(ctx, r.o.worker, id, l.token); err != nil {
		r.a.log.Warn("checkpoint not confirmed", "Worker", r.o.worker, "Task", id, "Error", err)
	}
}

// unaccepted handles a lease that the worker does not know: it is started, or ended when it must stop or was started before.
func (r *reconcile) unaccepted(ctx context.Context, id table.TaskID, l leaseOrder) {
	switch {
	case l.stop:
		r.stop(ctx, id, l)
	case l.nonIdempotent && !l.started:
		// The log must say that a start may have been sent before it is sent, or a worker that restarts could run the task a second time.
		r.started(id, l)
	case l.nonIdempotent && l.mine:
		r.startOnce(ctx, id, l)
	case l.nonIdempotent:
		r.stop(ctx, id, l)
	case l.started:
		r.records = append(r.records, record(&journal.LeaseRevoked{Task: id, Token: l.token, Reason: "worker lost the task"}))
	default:
		r.start(ctx, id, l)
	}
}

func (r *reconcile) started(id table.TaskID, l leaseOrder) {
	r.records = append(r.records, journal.Record{LeaseStarted: &journal.LeaseStarted{Task: id, Token: l.token, Starter: r.a.incarnation}})
}

func (r *reconcile) start(ctx context.Context, id table.TaskID, l leaseOrder) {
	// The clock is read before the check, so that a pause after the check cannot extend the lease.
	now := time.Now()
	if !r.a.group.Fence.Current(now) {
		return
	}
	if l.nonIdempotent {
		r.tried = append(r.tried, leaseKey{id, l.token})
	}
	req := l.start
	req.Until = now.Add(r.a.cfg.Timing.LeaseTerm.D())
	err := r.a.workers.Start(ctx, r.o.worker, req)
	switch fault.Of(err) {
	case fault.None:
		if !l.started {
			r.started(id, l)
		}
	case fault.Stale, fault.Capacity, fault.Invalid:
		r.a.log.Warn("start refused", "Worker", r.o.worker, "Task", id, "Token", l.token, "Error", err)
		l.refused = true
		r.stop(ctx, id, l)
	default:
		r.a.log.Warn("start not confirmed", "Worker", r.o.worker, "Task", id, "Token", l.token, "Error", err)
	}
}

// startOnce starts a non-idempotent task whose start this process announced in the log, if it has not tried before.
func (r *reconcile) startOnce(ctx context.Context, id table.TaskID, l leaseOrder) {
	if l.firstTry {
		r.start(ctx, id, l)
		return
	}
	r.stop(ctx, id, l)
}

// stop asks the worker to stop the task and records what the worker says.
func (r *reconcile) stop(ctx context.Context, id table.TaskID, l leaseOrder) {
	st, err := r.a.workers.Stop(ctx, r.o.worker, id, l.token)
	if err != nil {
		r.a.log.Warn("stop not confirmed", "Worker", r.o.worker, "Task", id, "Token", l.token, "Error", err)
		return
	}
	r.ended(st, l)
}

// ended records the end of a lease that the worker confirmed.
func (r *reconcile) ended(st provider.TaskStatus, l leaseOrder) {
	e := &journal.LeaseEnded{
		Task: st.Task, Token: l.token, Checkpoint: st.Checkpoint, Result: st.Result, Reason: st.Reason,
	}
	switch st.State {
	case provider.RunFinished:
		e.Outcome = journal.LeaseFinished
	case provider.RunFailed:
		e.Outcome = journal.LeaseFailed
	case provider.RunStopped:
		e.Outcome = journal.LeaseStopped
	case provider.RunUnaccepted:
		r.endUnaccepted(e, l)
		return
	default:
		return
	}
	r.records = append(r.records, journal.Record{LeaseEnded: e})
}

// endUnaccepted ends a lease whose token the worker never accepted, as far as it remembers, and will not accept any more.
//
// A worker that restarted has forgotten what it ran, so a non-idempotent task whose start was announced is not known to have never run.
func (r *reconcile) endUnaccepted(e *journal.LeaseEnded, l leaseOrder) {
	switch {
	case !l.started:
		e.Outcome = journal.LeaseNotStarted
	case l.refused && l.mine:
		e.Outcome = journal.LeaseNotStarted
		e.Starter = r.a.incarnation
	case !l.nonIdempotent:
		e.Outcome = journal.LeaseStopped
	case !l.stop:
		r.records = append(r.records, record(&journal.LeaseRevoked{Task: e.Task, Token: e.Token, Reason: "start not confirmed"}))
		return
	default:
		e.Outcome = journal.LeaseExpired
		e.Reason = "the worker does not know the task, and its start may have arrived"
	}
	r.records = append(r.records, journal.Record{LeaseEnded: e})
}

// renew extends the leases of running tasks while this host is current.
func (r *reconcile) renew(ctx context.Context) {
	if len(r.running) == 0 {
		return
	}
	now := time.Now()
	if !r.a.group.Fence.Current(now) {
		return
	}
	until := now.Add(r.a.cfg.Timing.LeaseTerm.D())
	for i := range r.running {
		r.running[i].Until = until
	}
	if err := r.a.workers.Renew(ctx, r.o.worker, r.running); err != nil {
		r.a.log.Warn("leases not renewed", "Worker", r.o.worker, "Leases", len(r.running), "Error", err)
	}
}
