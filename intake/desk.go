package intake

import (
	"context"
	"log/slog"
	"time"

	"persimmonpick/fault"
	"persimmonpick/ledger"
	"persimmonpick/table"
	"persimmonpick/workload"
)

// How old the view of the log may be for the state of a job that is not final.
const (
	viewRefresh = 1500 * time.Millisecond // older views are brought up to date first; an idle host reads every second
	viewOldest  = 2500 * time.Millisecond // older views are not shown
	refreshMost = 700 * time.Millisecond
)

// Config configures a Desk.
type Config struct {
	Fold    *ledger.Fold
	Refresh func(ctx context.Context) error // reads the log up to its end
	Append  func(ctx context.Context, r ledger.Record) error
	Log     *slog.Logger
}

// Desk takes jobs and questions about them; its methods may be called from any goroutine.
type Desk struct {
	cfg Config
}

// New returns a desk.
func New(cfg Config) *Desk { return &Desk{cfg: cfg} }

// Submit accepts a job; any error but one of kind fault.OutcomeUnknown says that the job was not accepted and never runs.
func (d *Desk) Submit(ctx context.Context, q workload.Queue, id table.JobID, spec workload.Spec) error {
	began := time.Now()
	err := d.submit(ctx, q, id, spec, began)
	d.cfg.Log.Info("job submitted", "Job", id, "Queue", q.ID, "Steps", len(spec.Steps),
		"Took", time.Since(began).Round(time.Millisecond), "Kind", fault.Of(err).String(), "Error", err)
	return err
}

func (d *Desk) submit(ctx context.Context, q workload.Queue, id table.JobID, spec workload.Spec, now time.Time) error {
	if _, known := d.cfg.Fold.Job(id); known {
		return nil // a repeated submission remains one job
	}
	if err := spec.Check(); err != nil {
		return fault.Wrap(err, fault.Invalid, "the job cannot be used")
	}
	if q.Advised {
		return fault.New(fault.Overloaded, "queue %q needs advice on its workers, which this version does not ask for", q.ID)
	}
	r, err := ledger.SubmissionRecord(id, &workload.Submission{Queue: q, Spec: spec, Submitted: table.UnixMillis(now.UnixMilli())})
	if err != nil {
		return fault.Wrap(err, fault.Invalid, "the job cannot be stored")
	}
	return d.cfg.Append(ctx, r)
}

// Cancel ends a job; it fails with fault.NotFound if there is none.
func (d *Desk) Cancel(ctx context.Context, q workload.QueueID, id table.JobID) error {
	e, err := d.find(ctx, q, id)
	if err == nil && !e.Cancelled && !e.Status.State.Final() {
		var r ledger.Record
		r, err = ledger.CancelRecord(id, table.UnixMillis(time.Now().UnixMilli()))
		if err == nil {
			err = d.cfg.Append(ctx, r)
		}
	}
	d.cfg.Log.Info("job cancelled by its caller", "Job", id, "Queue", q, "State", e.Status.State, "Kind", fault.Of(err).String(), "Error", err)
	return err
}

// State returns the state of a job; it fails with fault.NotFound if there is none.
func (d *Desk) State(ctx context.Context, q workload.QueueID, id table.JobID) (workload.State, error) {
	e, err := d.find(ctx, q, id)
	if err != nil {
		d.cfg.Log.Info("job not shown", "Job", id, "Queue", q, "ViewAge", time.Since(d.cfg.Fold.Confirmed()).Round(time.Millisecond), "Error", err)
		return workload.Queued, err
	}
	if !e.Status.State.Final() && !e.Cancelled {
		if e, err = d.current(ctx, e); err != nil {
			return workload.Queued, err
		}
	}
	if e.Cancelled && !e.Status.State.Final() {
		return workload.Cancelled, nil
	}
	return e.Status.State, nil
}

// current brings an old view of a job up to date; a host that was paused or cut off would otherwise show it as running after others showed its end.
func (d *Desk) current(ctx context.Context, e ledger.Entry) (ledger.Entry, error) {
	if err := d.refresh(ctx); err != nil {
		d.cfg.Log.Info("job not shown", "Job", e.ID, "Error", err)
		return e, err
	}
	if fresh, known := d.cfg.Fold.Job(e.ID); known {
		return fresh, nil
	}
	return e, nil
}

// refresh brings an old view of the log up to date, and fails if it stays too old to be shown.
func (d *Desk) refresh(ctx context.Context) error {
	age := time.Since(d.cfg.Fold.Confirmed())
	if age < viewRefresh {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, refreshMost)
	defer cancel()
	err := d.cfg.Refresh(ctx)
	if err != nil && age > viewOldest {
		return fault.Wrap(err, fault.LogUnavailable, "the view of the log is %v old", age.Round(time.Millisecond))
	}
	return nil
}

// Pending returns how many jobs of a queue are accepted and have not begun; it fails with fault.LogUnavailable where the view of the log is too old to say.
func (d *Desk) Pending(ctx context.Context, q workload.QueueID) (int, error) {
	if err := d.refresh(ctx); err != nil {
		d.cfg.Log.Info("count not shown", "Queue", q, "Error", err)
		return 0, err
	}
	return d.cfg.Fold.Pending(q), nil
}

// find returns a job, after reading the log to its end if the job is not known yet.
func (d *Desk) find(ctx context.Context, q workload.QueueID, id table.JobID) (ledger.Entry, error) {
	e, known := d.cfg.Fold.Job(id)
	if !known {
		if err := d.cfg.Refresh(ctx); err != nil {
			return e, fault.Wrap(err, fault.LogUnavailable, "whether the job exists cannot be read")
		}
		e, known = d.cfg.Fold.Job(id)
	}
	if !known || e.Submission.Queue.ID != q {
		return e, fault.New(fault.NotFound, "no job %q in queue %q", id, q)
	}
	return e, nil
}
