package intake

import (
	"context"
	"log/slog"
	"time"

	"persimmonpick/fault"
	"persimmonpick/ledger"
	"persimmonpick/peer"
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
	Fold    *ledger.View
	Refresh func(ctx context.Context) error // reads the log up to its end
	Append  func(ctx context.Context, r ledger.Record) error
	Ask     func(ctx context.Context, call func(ctx context.Context, l *peer.Link) error) error // other hosts; it fails with fault.NotReady where none is to be asked; nil for never
	Advised bool                                                                                // there is a service that approves workers
	Log     *slog.Logger
}

// JobService takes jobs and questions about them; its methods may be called from any goroutine.
type JobService struct {
	cfg Config
}

// New returns a desk.
func New(cfg Config) *JobService { return &JobService{cfg: cfg} }

// Submit accepts a job; any error but one of kind fault.OutcomeUnknown says that the job was not accepted and never runs.
func (d *JobService) Submit(ctx context.Context, q workload.Queue, id table.JobID, spec workload.Spec) error {
	began := time.Now()
	err := d.submit(ctx, q, id, spec, began)
	d.cfg.Log.Info("job submitted", "Job", id, "Queue", q.ID, "Steps", len(spec.Steps),
		"Took", time.Since(began).Round(time.Millisecond), "Kind", fault.Of(err).String(), "Error", err)
	return err
}

func (d *JobService) submit(ctx context.Context, q workload.Queue, id table.JobID, spec workload.Spec, now time.Time) error {
	if _, known := d.cfg.Fold.Job(id); known {
		return nil // a repeated submission remains one job
	}
	if err := spec.Check(); err != nil {
		return fault.Wrap(err, fault.Invalid, "the job cannot be used")
	}
	if q.NeedsApproval && !d.cfg.Advised {
		return fault.New(fault.Overloaded, "queue %q needs a service that approves workers, and the settings name none", q.ID)
	}
	r, err := ledger.SubmissionRecord(id, &workload.Submission{Queue: q, Spec: spec, Submitted: table.UnixMillis(now.UnixMilli())})
	if err != nil {
		return fault.Wrap(err, fault.Invalid, "the job cannot be stored")
	}
	return d.cfg.Append(ctx, r)
}

// View is what callers may know of a job.
type View struct {
	Queue     workload.QueueID
	State     workload.State
	Cancelled bool // by its caller, though it may not have been stopped yet
}

// Final says whether the job is over for its caller.
func (v View) Final() bool { return v.Cancelled || v.State.Final() }

func viewOf(e ledger.Entry) View {
	return View{Queue: e.Submission.Queue.ID, State: e.Status.State, Cancelled: e.Cancelled}
}

// Cancel ends a job; it fails with fault.NotFound if there is none.
func (d *JobService) Cancel(ctx context.Context, q workload.QueueID, id table.JobID) error {
	v, err := d.view(ctx, q, id)
	if err == nil && !v.Final() {
		var r ledger.Record
		r, err = ledger.CancelRecord(id, table.UnixMillis(time.Now().UnixMilli()))
		if err == nil {
			err = d.cfg.Append(ctx, r)
		}
	}
	d.cfg.Log.Info("job cancelled by its caller", "Job", id, "Queue", q, "State", v.State, "Kind", fault.Of(err).String(), "Error", err)
	return err
}

// State returns the state of a job; it fails with fault.NotFound if there is none.
func (d *JobService) State(ctx context.Context, q workload.QueueID, id table.JobID) (workload.State, error) {
	v, err := d.view(ctx, q, id)
	if err != nil {
		d.cfg.Log.Info("job not shown", "Job", id, "Queue", q, "ViewAge", d.cfg.Fold.Age().Round(time.Millisecond), "Error", err)
		return workload.Queued, err
	}
	if v.Cancelled && !v.State.Final() {
		return workload.Cancelled, nil
	}
	return v.State, nil
}

// Pending returns how many jobs of a queue are accepted and have not begun; it fails with fault.LogUnavailable where the view of the log is too old to say.
func (d *JobService) Pending(ctx context.Context, q workload.QueueID) (int, error) {
	n, err := d.askPending(ctx, q)
	if fault.Of(err) == fault.NotReady {
		n, err = d.count(ctx, q)
	}
	if err != nil {
		d.cfg.Log.Info("count not shown", "Queue", q, "Error", err)
	}
	return n, err
}

// view returns what other hosts know of a job, or what the log says where this host reads it itself.
func (d *JobService) view(ctx context.Context, q workload.QueueID, id table.JobID) (View, error) {
	v, err := d.askJob(ctx, id)
	if fault.Of(err) == fault.NotReady {
		v, err = d.read(ctx, id)
	}
	if err == nil && v.Queue != q {
		err = fault.New(fault.NotFound, "no job %q in queue %q", id, q)
	}
	return v, err
}

// read returns what the log says about a job; it reads the log to its end first if the job is not known yet or the view of it is old, since a host that was paused or cut off would otherwise show as running what others have shown as ended.
func (d *JobService) read(ctx context.Context, id table.JobID) (View, error) {
	e, known := d.cfg.Fold.Job(id)
	if !known {
		if err := d.cfg.Refresh(ctx); err != nil {
			return View{}, fault.Wrap(err, fault.LogUnavailable, "whether the job exists cannot be read")
		}
		if e, known = d.cfg.Fold.Job(id); !known {
			return View{}, fault.New(fault.NotFound, "no job %q", id)
		}
	}
	if v := viewOf(e); v.Final() {
		return v, nil
	}
	if err := d.refresh(ctx); err != nil {
		return View{}, err
	}
	if fresh, known := d.cfg.Fold.Job(id); known {
		e = fresh
	}
	return viewOf(e), nil
}

// count returns how many jobs of a queue wait by the log.
func (d *JobService) count(ctx context.Context, q workload.QueueID) (int, error) {
	if err := d.refresh(ctx); err != nil {
		return 0, err
	}
	return d.cfg.Fold.Pending(q), nil
}

// refresh brings an old view of the log up to date, and fails if it stays too old to be shown.
func (d *JobService) refresh(ctx context.Context) error {
	age := d.cfg.Fold.Age()
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
