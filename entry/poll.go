package entry

import (
	"context"
	"time"

	"persimmonpick/fault"
	"persimmonpick/journal"
	"persimmonpick/provider"
	"persimmonpick/table"
)

// pollInput is the input of one poll of a worker. It is a copy of the worker's leases, so that the poll can run off the
// control goroutine.
type pollInput struct {
	worker  table.WorkerID
	applied table.Offset
	leases  map[table.TaskID]leaseInput
}

// leaseInput is a copy of one lease and of what is needed to start its task.
type leaseInput struct {
	token         table.Token
	stop          bool // the lease is revoked
	cancelled     bool // no checkpoint is needed
	started       bool // a start was announced or confirmed in the log
	announcedHere bool // the start was announced by this process
	firstTry      bool // the start was announced by this process, which has not sent it yet
	nonIdempotent bool
	refused       bool // the worker refused the only start that was sent
	start         provider.StartRequest
}

// pollResult is the result of one poll.
type pollResult struct {
	worker     table.WorkerID
	err        error
	report     provider.Report
	records    []journal.Record
	sentStarts []leaseKey // starts of non-idempotent tasks that were sent
}

// startPoll starts a poll in its own goroutine. It returns false if maxPolls are already running.
func (a *leaseAgent) startPoll(t *table.Tables, id table.WorkerID, w *watchedWorker, now time.Time) bool {
	select {
	case a.slots <- struct{}{}:
	default:
		return false
	}
	w.polling = true
	w.nextPoll = now.Add(a.cfg.Timing.ReportPeriod.D())
	in := a.newPollInput(t, id)
	a.wg.Go(func() {
		res := a.poll(in)
		<-a.slots
		select {
		case a.polls <- res:
		case <-a.ctx.Done():
		}
	})
	return true
}

// newPollInput copies the leases of a worker from the tables.
func (a *leaseAgent) newPollInput(t *table.Tables, id table.WorkerID) pollInput {
	in := pollInput{worker: id, applied: t.Applied, leases: make(map[table.TaskID]leaseInput, len(a.leased[id]))}
	for taskID := range a.leased[id] {
		task := t.Tasks[taskID]
		job := t.Jobs[task.Job]
		announcedHere := task.Lease.Starter == a.incarnation
		first := announcedHere && !a.sentStarts[leaseKey{taskID, task.Lease.Token}]
		in.leases[taskID] = leaseInput{
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
	return in
}

// handlePoll processes the result of a poll on the control goroutine.
func (a *leaseAgent) handlePoll(t *table.Tables, res pollResult, now time.Time) {
	for _, k := range res.sentStarts {
		a.sentStarts[k] = true
	}
	w := a.watched[res.worker]
	if w == nil {
		return
	}
	w.polling = false
	if res.err != nil {
		if w.failingSince.IsZero() {
			w.failingSince = now
			a.log.Warn("worker unreachable", "Worker", res.worker, "Error", res.err)
		}
		return
	}
	if !w.failingSince.IsZero() {
		a.log.Info("worker reachable again", "Worker", res.worker, "After", now.Sub(w.failingSince))
	}
	w.failingSince = time.Time{}
	a.onReport(t, res.report, now)
	a.propose(res.worker, w, res.records)
}

// leaseKeyOf returns the key of the lease that r starts, revokes or ends.
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

// poll fetches the worker's report, compares it with the leases and acts on the differences.
func (a *leaseAgent) poll(in pollInput) pollResult {
	ctx, cancel := context.WithTimeout(a.ctx, a.cfg.Timing.ReportPeriod.D()*2)
	defer cancel()
	res := pollResult{worker: in.worker}
	res.report, res.err = a.workers.Report(ctx, in.worker)
	if res.err != nil {
		return res
	}
	r := reconciliation{a: a, in: in, reported: map[table.TaskID]provider.TaskStatus{}}
	for _, st := range res.report.Statuses {
		r.handleStatus(ctx, st)
	}
	for id, l := range in.leases {
		r.handleLease(ctx, id, l)
	}
	r.renew(ctx)
	res.records = r.records
	res.sentStarts = r.sentStarts
	return res
}

// reconciliation compares the report of a worker with its leases and collects the resulting records.
type reconciliation struct {
	a          *leaseAgent
	in         pollInput
	reported   map[table.TaskID]provider.TaskStatus
	records    []journal.Record
	sentStarts []leaseKey
	running    []provider.Renewal
}

// handleStatus processes one task status of the report. If it belongs to a current lease, it is stored for handleLease.
// If its lease has ended, the worker is told to stop or forget the task.
func (r *reconciliation) handleStatus(ctx context.Context, st provider.TaskStatus) {
	l, ok := r.in.leases[st.Task]
	if ok && l.token == st.Token {
		r.reported[st.Task] = st
		return
	}
	if st.Token > r.in.applied {
		return // granted after the leases were copied
	}
	if st.State == provider.RunRunning {
		if _, err := r.a.workers.Stop(ctx, r.in.worker, st.Task, st.Token); err != nil {
			r.a.log.Warn("failed to stop a task whose lease has ended", "Worker", r.in.worker, "Task", st.Task, "Error", err)
		}
		return
	}
	_ = r.a.workers.Forget(ctx, r.in.worker, []provider.Renewal{{Task: st.Task, Token: st.Token}})
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

// checkpoint asks a running task for a checkpoint before it is stopped. If that fails, the task is stopped all the same
// and later resumes from its previous checkpoint.
func (r *reconciliation) checkpoint(ctx context.Context, id table.TaskID, l leaseInput) {
	if l.cancelled {
		return
	}
	if err := r.a.workers.Checkpoint(ctx, r.in.worker, id, l.token); err != nil {
		r.a.log.Warn("checkpoint not confirmed", "Worker", r.in.worker, "Task", id, "Error", err)
	}
}

// handleUnaccepted handles a lease that the worker does not know. The task is started, unless the lease is revoked or
// the task may have been started before; then the task is stopped or its lease revoked.
func (r *reconciliation) handleUnaccepted(ctx context.Context, id table.TaskID, l leaseInput) {
	switch {
	case l.stop:
		r.stop(ctx, id, l)
	case l.nonIdempotent && !l.started:
		// The start is announced in the log before it is sent. Otherwise the task could run a second time after its
		// worker has restarted.
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

// recordStart adds a record that announces or confirms the start of a task.
func (r *reconciliation) recordStart(id table.TaskID, l leaseInput) {
	r.records = append(r.records, journal.Record{LeaseStarted: &journal.LeaseStarted{Task: id, Token: l.token, Starter: r.a.incarnation}})
}

// start asks the worker to start the task, if this host is current. If the worker refuses, the lease is ended.
func (r *reconciliation) start(ctx context.Context, id table.TaskID, l leaseInput) {
	// The clock is read before the check, so that a pause of the process after the check cannot extend the lease.
	now := time.Now()
	if !r.a.group.Fence.Current(now) {
		return
	}
	if l.nonIdempotent {
		r.sentStarts = append(r.sentStarts, leaseKey{id, l.token})
	}
	req := l.start
	req.Until = now.Add(r.a.cfg.Timing.LeaseTerm.D())
	err := r.a.workers.Start(ctx, r.in.worker, req)
	switch fault.Of(err) {
	case fault.None:
		if !l.started {
			r.recordStart(id, l)
		}
	case fault.Stale, fault.Capacity, fault.Invalid:
		r.a.log.Warn("start refused", "Worker", r.in.worker, "Task", id, "Token", l.token, "Error", err)
		l.refused = true
		r.stop(ctx, id, l)
	default:
		r.a.log.Warn("start not confirmed", "Worker", r.in.worker, "Task", id, "Token", l.token, "Error", err)
	}
}

// startOnce starts a non-idempotent task whose start this process announced in the log. If the start was sent before,
// it stops the task instead.
func (r *reconciliation) startOnce(ctx context.Context, id table.TaskID, l leaseInput) {
	if l.firstTry {
		r.start(ctx, id, l)
		return
	}
	r.stop(ctx, id, l)
}

// stop asks the worker to stop the task and records the status that the worker returns.
func (r *reconciliation) stop(ctx context.Context, id table.TaskID, l leaseInput) {
	st, err := r.a.workers.Stop(ctx, r.in.worker, id, l.token)
	if err != nil {
		r.a.log.Warn("stop not confirmed", "Worker", r.in.worker, "Task", id, "Token", l.token, "Error", err)
		return
	}
	r.recordEnd(st, l)
}

// recordEnd adds a record for the end of a lease that the worker confirmed.
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

// recordUnaccepted adds a record for a lease whose token the worker reports as never accepted and will no longer
// accept.
//
// A worker that restarts forgets which tokens it accepted. A non-idempotent task whose start was announced may
// therefore have run.
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

// renew extends the leases of running tasks if this host is current (peer.Fence.Current).
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
	if err := r.a.workers.Renew(ctx, r.in.worker, r.running); err != nil {
		r.a.log.Warn("leases not renewed", "Worker", r.in.worker, "Leases", len(r.running), "Error", err)
	}
}
