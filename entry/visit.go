package entry

import (
	"context"
	"time"

	"persimmonpick/fault"
	"persimmonpick/journal"
	"persimmonpick/provider"
	"persimmonpick/table"
)

// pollInput is what one visit does on a worker; it is a copy, so that the visit needs no tables.
type pollInput struct {
	worker  table.WorkerID
	applied table.Offset
	leases  map[table.TaskID]leaseInput
}

type leaseInput struct {
	token         table.Token
	stop          bool
	cancelled     bool // no checkpoint is needed
	started       bool // a start was announced or confirmed before
	announcedHere bool // this process announced the start
	firstTry      bool // this process has not sent a start under this token
	nonIdempotent bool
	refused       bool // the worker refused the only start
	start         provider.StartRequest
}

// pollResult is the result of one pollResult.
type pollResult struct {
	worker     table.WorkerID
	err        error
	report     provider.Report
	records    []journal.Record
	sentStarts []leaseKey // non-idempotent starts that were sent
}

// startPoll starts a startPoll in its own goroutine; it returns false when too many are under way.
func (a *leaseAgent) startPoll(t *table.Tables, id table.WorkerID, w *watchedWorker, now time.Time) bool {
	select {
	case a.slots <- struct{}{}:
	default:
		return false
	}
	w.polling = true
	w.nextPoll = now.Add(a.cfg.Timing.ReportPeriod.D())
	o := a.newPollInput(t, id)
	a.wg.Go(func() {
		v := a.poll(o)
		<-a.slots
		select {
		case a.polls <- v:
		case <-a.ctx.Done():
		}
	})
	return true
}

// newPollInput copies the leases of a worker out of the tables; leases with a record under way are left alone.
func (a *leaseAgent) newPollInput(t *table.Tables, id table.WorkerID) pollInput {
	o := pollInput{worker: id, applied: t.Applied, leases: make(map[table.TaskID]leaseInput, len(a.leased[id]))}
	for taskID := range a.leased[id] {
		task := t.Tasks[taskID]
		job := t.Jobs[task.Job]
		announcedHere := task.Lease.Starter == a.incarnation
		first := announcedHere && !a.sentStarts[leaseKey{taskID, task.Lease.Token}]
		o.leases[taskID] = leaseInput{
			token:         task.Lease.Token,
			stop:          task.State == table.TaskRevoking,
			cancelled:     task.Lease.Cancelled,
			started:       task.Lease.Started,
			announcedHere: announcedHere,
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

// handlePoll takes the result of a visit into the control goroutine.
func (a *leaseAgent) handlePoll(t *table.Tables, v pollResult, now time.Time) {
	for _, k := range v.sentStarts {
		a.sentStarts[k] = true
	}
	w := a.watched[v.worker]
	if w == nil {
		return
	}
	w.polling = false
	if v.err != nil {
		if w.failingSince.IsZero() {
			w.failingSince = now
			a.log.Warn("worker unreachable", "Worker", v.worker, "Error", v.err)
		}
		return
	}
	if !w.failingSince.IsZero() {
		a.log.Info("worker reachable", "Worker", v.worker, "After", now.Sub(w.failingSince))
	}
	w.failingSince = time.Time{}
	a.onReport(t, v.report, now)
	a.propose(v.worker, w, v.records)
}

func leaseKeyOf(r journal.Record) leaseKey {
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

// poll asks the worker for its report, compares it with the leases and acts on the difference.
func (a *leaseAgent) poll(o pollInput) pollResult {
	ctx, cancel := context.WithTimeout(a.ctx, a.cfg.Timing.ReportPeriod.D()*2)
	defer cancel()
	v := pollResult{worker: o.worker}
	v.report, v.err = a.workers.Report(ctx, o.worker)
	if v.err != nil {
		return v
	}
	r := reconciliation{a: a, o: o, reported: map[table.TaskID]provider.TaskStatus{}}
	for _, st := range v.report.Statuses {
		r.handleStatus(ctx, st)
	}
	for id, l := range o.leases {
		r.handleLease(ctx, id, l)
	}
	r.renew(ctx)
	v.records = r.records
	v.sentStarts = r.sentStarts
	return v
}

// reconciliation compares a report with the leases of one worker.
type reconciliation struct {
	a          *leaseAgent
	o          pollInput
	reported   map[table.TaskID]provider.TaskStatus
	records    []journal.Record
	sentStarts []leaseKey
	running    []provider.Renewal
}

// handleStatus sorts one handleStatus of the report: of a lease that is held, or a leftover of one that ended.
func (r *reconciliation) handleStatus(ctx context.Context, st provider.TaskStatus) {
	l, ok := r.o.leases[st.Task]
	if ok && l.token == st.Token {
		r.reported[st.Task] = st
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

func (r *reconciliation) handleLease(ctx context.Context, id table.TaskID, l leaseInput) {
	st, ok := r.reported[id]
	if !ok {
		r.handleUnaccepted(ctx, id, l)
		return
	}
	if st.State != provider.RunRunning {
		r.recordEnd(st, l)
		return
	}
	if l.stop {
		r.checkpoint(ctx, id, l)
		r.stop(ctx, id, l)
		return
	}
	if !l.started {
		r.recordStart(id, l)
	}
	r.running = append(r.running, provider.Renewal{Task: id, Token: l.token})
}

// checkpoint asks a running task for a checkpoint before it is stopped; without an answer it stops all the same and resumes from the last one.
func (r *reconciliation) checkpoint(ctx context.Context, id table.TaskID, l leaseInput) {
	if l.cancelled {
		return
	}
	if err := r.a.workers.Checkpoint(ctx, r.o.worker, id, l.token); err != nil {
		r.a.log.Warn("checkpoint not confirmed", "Worker", r.o.worker, "Task", id, "Error", err)
	}
}

// handleUnaccepted handles a lease that the worker does not know: it is started, or ended when it must stop or was started before.
func (r *reconciliation) handleUnaccepted(ctx context.Context, id table.TaskID, l leaseInput) {
	switch {
	case l.stop:
		r.stop(ctx, id, l)
	case l.nonIdempotent && !l.started:
		// The log must say that a start may have been sent before it is sent, or a worker that restarts could run the task a second time.
		r.recordStart(id, l)
	case l.nonIdempotent && l.announcedHere:
		r.startOnce(ctx, id, l)
	case l.nonIdempotent:
		r.stop(ctx, id, l)
	case l.started:
		r.records = append(r.records, revocation(&journal.LeaseRevoked{Task: id, Token: l.token, Reason: "worker lost the task"}))
	default:
		r.start(ctx, id, l)
	}
}

func (r *reconciliation) recordStart(id table.TaskID, l leaseInput) {
	r.records = append(r.records, journal.Record{LeaseStarted: &journal.LeaseStarted{Task: id, Token: l.token, Starter: r.a.incarnation}})
}

func (r *reconciliation) start(ctx context.Context, id table.TaskID, l leaseInput) {
	// The clock is read before the check, so that a pause after the check cannot extend the lease.
	now := time.Now()
	if !r.a.group.Fence.Current(now) {
		return
	}
	if l.nonIdempotent {
		r.sentStarts = append(r.sentStarts, leaseKey{id, l.token})
	}
	req := l.start
	req.Until = now.Add(r.a.cfg.Timing.LeaseTerm.D())
	err := r.a.workers.Start(ctx, r.o.worker, req)
	switch fault.Of(err) {
	case fault.None:
		if !l.started {
			r.recordStart(id, l)
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
func (r *reconciliation) startOnce(ctx context.Context, id table.TaskID, l leaseInput) {
	if l.firstTry {
		r.start(ctx, id, l)
		return
	}
	r.stop(ctx, id, l)
}

// stop asks the worker to stop the task and records what the worker says.
func (r *reconciliation) stop(ctx context.Context, id table.TaskID, l leaseInput) {
	st, err := r.a.workers.Stop(ctx, r.o.worker, id, l.token)
	if err != nil {
		r.a.log.Warn("stop not confirmed", "Worker", r.o.worker, "Task", id, "Token", l.token, "Error", err)
		return
	}
	r.recordEnd(st, l)
}

// recordEnd records the end of a lease that the worker confirmed.
func (r *reconciliation) recordEnd(st provider.TaskStatus, l leaseInput) {
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
		r.recordUnaccepted(e, l)
		return
	default:
		return
	}
	r.records = append(r.records, journal.Record{LeaseEnded: e})
}

// recordUnaccepted ends a lease whose token the worker never accepted, as far as it remembers, and will not accept any more.
//
// A worker that restarted has forgotten what it ran, so a non-idempotent task whose start was announced is not known to have never run.
func (r *reconciliation) recordUnaccepted(e *journal.LeaseEnded, l leaseInput) {
	switch {
	case !l.started:
		e.Outcome = journal.LeaseNotStarted
	case l.refused && l.announcedHere:
		e.Outcome = journal.LeaseNotStarted
		e.Starter = r.a.incarnation
	case !l.nonIdempotent:
		e.Outcome = journal.LeaseStopped
	case !l.stop:
		r.records = append(r.records, revocation(&journal.LeaseRevoked{Task: e.Task, Token: e.Token, Reason: "start not confirmed"}))
		return
	default:
		e.Outcome = journal.LeaseExpired
		e.Reason = "the worker does not know the task, and its start may have arrived"
	}
	r.records = append(r.records, journal.Record{LeaseEnded: e})
}

// renew extends the leases of running tasks while this host is current.
func (r *reconciliation) renew(ctx context.Context) {
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
