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

// Limits on the age of the log view that answers queries about unfinished jobs.
const (
	refreshAge     = 1500 * time.Millisecond // older views are refreshed first; an idle host reads every second
	maxViewAge     = 2500 * time.Millisecond // a query fails if the view is older and cannot be refreshed
	refreshTimeout = 700 * time.Millisecond
)

// Config configures a JobService.
type Config struct {
	View    *ledger.View
	Refresh func(ctx context.Context) error // reads the log up to its end
	Append  func(ctx context.Context, r ledger.Record) error
	// Query queries another host. It fails with fault.NotReady if this host is to read the log itself; nil means
	// always.
	Query             func(ctx context.Context, call func(ctx context.Context, l *peer.Link) error) error
	ApprovalAvailable bool // an approval service is configured
	Logger            *slog.Logger
}

// JobService accepts jobs and answers queries about them. It is safe for concurrent use.
type JobService struct {
	cfg Config
}

// New returns a JobService.
func New(cfg Config) *JobService { return &JobService{cfg: cfg} }

// Submit accepts a job. After an error of any kind but fault.OutcomeUnknown, the job was not accepted and never runs.
func (s *JobService) Submit(ctx context.Context, q workload.Queue, id table.JobID, spec workload.Spec) error {
	began := time.Now()
	err := s.submit(ctx, q, id, spec, began)
	s.cfg.Logger.Info("job submitted", "Job", id, "Queue", q.ID, "Steps", len(spec.Steps),
		"Took", time.Since(began).Round(time.Millisecond), "Kind", fault.Of(err).String(), "Error", err)
	return err
}

func (s *JobService) submit(ctx context.Context, q workload.Queue, id table.JobID, spec workload.Spec, now time.Time) error {
	if _, known := s.cfg.View.Job(id); known {
		return nil // repeated submissions are idempotent
	}
	if err := spec.Check(); err != nil {
		return fault.Wrap(err, fault.Invalid, "the job cannot be used")
	}
	if err := spec.CheckSize(); err != nil {
		return fault.Wrap(err, fault.TooLarge, "the job cannot be kept")
	}
	if q.NeedsApproval && !s.cfg.ApprovalAvailable {
		return fault.New(fault.Overloaded, "queue %q needs a service that approves workers, and the settings name none", q.ID)
	}
	r, err := ledger.SubmissionRecord(id, &workload.Submission{Queue: q, Spec: spec, Submitted: table.UnixMillis(now.UnixMilli())})
	if err != nil {
		return fault.Wrap(err, fault.Invalid, "the job cannot be stored")
	}
	return s.cfg.Append(ctx, r)
}

// View is the part of a job's state that is reported to callers.
type View struct {
	Queue     workload.QueueID
	State     workload.State
	Cancelled bool // by its caller; its tasks may still be running
}

// Final reports whether the state that the caller sees is terminal.
func (v View) Final() bool { return v.Cancelled || v.State.Final() }

func viewOf(e ledger.Entry) View {
	return View{Queue: e.Submission.Queue.ID, State: e.State(), Cancelled: e.Cancelled}
}

// Cancel records the cancellation of a job; it fails with fault.NotFound if the queue has no such job.
func (s *JobService) Cancel(ctx context.Context, q workload.QueueID, id table.JobID) error {
	v, err := s.lookup(ctx, q, id)
	if err == nil && !v.Final() {
		var r ledger.Record
		r, err = ledger.CancelRecord(id, table.UnixMillis(time.Now().UnixMilli()))
		if err == nil {
			err = s.cfg.Append(ctx, r)
		}
	}
	s.cfg.Logger.Info("job cancellation requested by its caller", "Job", id, "Queue", q, "State", v.State, "Kind", fault.Of(err).String(), "Error", err)
	return err
}

// State returns the state of a job; it fails with fault.NotFound if the queue has no such job.
func (s *JobService) State(ctx context.Context, q workload.QueueID, id table.JobID) (workload.State, error) {
	v, err := s.lookup(ctx, q, id)
	if err != nil {
		s.cfg.Logger.Info("job state not available", "Job", id, "Queue", q, "ViewAge", table.FormatAge(s.cfg.View.Age()), "Kind", fault.Of(err), "Error", err)
		return workload.Queued, err
	}
	if v.Cancelled && !v.State.Final() {
		return workload.Cancelled, nil
	}
	return v.State, nil
}

// Pending returns the number of accepted jobs of a queue that have not begun. It fails with fault.LogUnavailable if the
// view of the log is too old.
func (s *JobService) Pending(ctx context.Context, q workload.QueueID) (int, error) {
	n, err := s.queryPending(ctx, q)
	if fault.Of(err) == fault.NotReady {
		n, err = s.countPending(ctx, q)
	}
	if err != nil {
		s.cfg.Logger.Info("pending job count not available", "Queue", q, "Error", err)
	}
	return n, err
}

// lookup queries another host for a job, or reads the log itself if no other host is to be queried.
func (s *JobService) lookup(ctx context.Context, q workload.QueueID, id table.JobID) (View, error) {
	v, err := s.queryJob(ctx, id)
	if fault.Of(err) == fault.NotReady {
		v, err = s.readJob(ctx, id)
	}
	if err == nil && v.Queue != q {
		err = fault.New(fault.NotFound, "no job %q in queue %q", id, q)
	}
	return v, err
}

// readJob returns the state of a job from the log. It refreshes the view first if the job is unknown or the view is
// old: a host that was paused or partitioned could otherwise report a job as running after others reported it finished.
func (s *JobService) readJob(ctx context.Context, id table.JobID) (View, error) {
	e, known := s.cfg.View.Job(id)
	if !known {
		if err := s.cfg.Refresh(ctx); err != nil {
			return View{}, fault.Wrap(err, fault.LogUnavailable, "whether the job exists cannot be read")
		}
		if e, known = s.cfg.View.Job(id); !known {
			return View{}, fault.New(fault.NotFound, "no job %q", id)
		}
	}
	if v := viewOf(e); v.Final() && s.cfg.View.Settled() {
		return v, nil
	}
	if err := s.refresh(ctx); err != nil {
		return View{}, err
	}
	if fresh, known := s.cfg.View.Job(id); known {
		e = fresh
	}
	return viewOf(e), nil
}

// countPending returns the number of pending jobs of a queue in the log.
func (s *JobService) countPending(ctx context.Context, q workload.QueueID) (int, error) {
	if err := s.refresh(ctx); err != nil {
		return 0, err
	}
	return s.cfg.View.Pending(q), nil
}

// refresh updates a view of the log older than refreshAge. It fails if that is not possible and the view was older than
// maxViewAge before.
func (s *JobService) refresh(ctx context.Context) error {
	age := s.cfg.View.Age()
	if age < refreshAge {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	err := s.cfg.Refresh(ctx)
	if err != nil && age > maxViewAge {
		return fault.Wrap(err, fault.LogUnavailable, "age of the view of the log: %s", table.FormatAge(age))
	}
	return nil
}
