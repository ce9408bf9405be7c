package intake

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"persimmonpick/fault"
	"persimmonpick/ledger"
	"persimmonpick/table"
	"persimmonpick/workload"
)

// testService is a JobService on an in-memory log.
type testService struct {
	*JobService
	view      *ledger.View
	log       ledger.Log
	appended  []ledger.Record
	appendErr error
	readErr   error
}

func newTestService() *testService {
	quiet := slog.New(slog.NewTextHandler(io.Discard, nil))
	r := &testService{view: ledger.NewView(quiet)}
	r.log = ledger.Log{
		Newest: func(context.Context, ledger.Topic, string) (ledger.Snapshot, error) {
			return ledger.Snapshot{Records: r.appended, End: ledger.Position(len(r.appended))}, r.readErr
		},
	}
	r.JobService = New(Config{
		View: r.view, Logger: quiet,
		Refresh: func(ctx context.Context) error {
			if r.readErr != nil {
				return r.readErr
			}
			// A new reader loads the newest records into the view.
			return ledger.NewReader(ledger.ReaderConfig{Log: ledger.Log{Newest: r.log.Newest, Read: r.read}, View: r.view, Logger: quiet}).Refresh(ctx)
		},
		Append: func(_ context.Context, rec ledger.Record) error {
			if r.appendErr != nil {
				return r.appendErr
			}
			rec.Position = ledger.Position(len(r.appended))
			r.appended = append(r.appended, rec)
			return nil
		},
	})
	return r
}

func (r *testService) read(_ context.Context, _ ledger.Topic, from ledger.Position, _ time.Duration) (ledger.Page, error) {
	end := ledger.Position(len(r.appended))
	return ledger.Page{Records: r.appended[from:], Next: end, End: end}, r.readErr
}

func (r *testService) pending(t *testing.T, is *is.I) int {
	n, err := r.Pending(t.Context(), "q")
	is.NoErr(err)
	return n
}

var queue = workload.Queue{ID: "q", Service: "s"}

func spec() workload.Spec {
	return workload.Spec{Payload: "p", Steps: []workload.Step{{Count: 1, Need: table.Resources{CPU: 100}}}}
}

// Guards against a repeated submission that is stored as a second job.
func TestRepeatedSubmissionIsOneJob(t *testing.T) {
	is := is.New(t)
	r := newTestService()
	is.NoErr(r.Submit(t.Context(), queue, "aa", spec()))
	s, err := r.State(t.Context(), "q", "aa")
	is.NoErr(err)
	is.Equal(s, workload.Queued)
	is.Equal(r.pending(t, is), 1)
	is.NoErr(r.Submit(t.Context(), queue, "aa", spec()))
	is.Equal(len(r.appended), 1)
}

// Guards against answering that a job does not exist while the log cannot be read, and against showing a job in another
// queue.
func TestUnknownJobIsNotFound(t *testing.T) {
	is := is.New(t)
	r := newTestService()
	_, err := r.State(t.Context(), "q", "aa")
	is.Equal(fault.Of(err), fault.NotFound)
	is.Equal(fault.Of(r.Cancel(t.Context(), "q", "aa")), fault.NotFound)
	is.NoErr(r.Submit(t.Context(), queue, "aa", spec()))
	_, err = r.State(t.Context(), "another", "aa")
	is.Equal(fault.Of(err), fault.NotFound) // the job belongs to another queue
	r.readErr = fault.New(fault.LogUnavailable, "down")
	_, err = r.State(t.Context(), "q", "bb")
	is.Equal(fault.Of(err), fault.LogUnavailable) // without the log, the job may exist
}

// Guards against a cancelled job that is reported as queued until the leader stops it, and against a second record.
func TestCancelledJobIsReportedCancelled(t *testing.T) {
	is := is.New(t)
	r := newTestService()
	is.NoErr(r.Submit(t.Context(), queue, "aa", spec()))
	is.NoErr(r.Cancel(t.Context(), "q", "aa"))
	is.NoErr(r.cfg.Refresh(t.Context()))
	s, err := r.State(t.Context(), "q", "aa")
	is.NoErr(err)
	is.Equal(s, workload.Cancelled)
	is.Equal(r.pending(t, is), 0)
	is.NoErr(r.Cancel(t.Context(), "q", "aa"))
	is.Equal(len(r.appended), 2)
}

// Guards against a job that is shown as cancelled and then in the state that the leader wrote before it had read
// of the cancellation.
func TestJobThatWasShownAsCancelledStaysSo(t *testing.T) {
	for _, end := range []workload.State{workload.Completed, workload.Failed} {
		is := is.New(t)
		r := newTestService()
		is.NoErr(r.Submit(t.Context(), queue, "aa", spec()))
		is.NoErr(r.Cancel(t.Context(), "q", "aa"))
		is.NoErr(r.cfg.Refresh(t.Context()))
		s, err := r.State(t.Context(), "q", "aa")
		is.NoErr(err)
		is.Equal(s, workload.Cancelled)
		rec, err := ledger.StatusRecord("aa", workload.Status{State: end})
		is.NoErr(err)
		is.NoErr(r.cfg.Append(t.Context(), rec))
		is.NoErr(r.cfg.Refresh(t.Context()))
		s, err = r.State(t.Context(), "q", "aa")
		is.NoErr(err)
		if s != workload.Cancelled {
			t.Errorf("the job turned from cancelled to %v", s)
		}
	}
}

// Guards against accepting jobs that are invalid, that cannot be approved or that the log did not take.
func TestInvalidSubmissionIsRefused(t *testing.T) {
	is := is.New(t)
	r := newTestService()
	is.Equal(fault.Of(r.Submit(t.Context(), queue, "aa", workload.Spec{})), fault.Invalid)
	approvalQueue := queue
	approvalQueue.NeedsApproval = true
	is.Equal(fault.Of(r.Submit(t.Context(), approvalQueue, "aa", spec())), fault.Overloaded)
	is.Equal(len(r.appended), 0)
	r.appendErr = fault.New(fault.LogUnavailable, "down")
	is.Equal(fault.Of(r.Submit(t.Context(), queue, "aa", spec())), fault.LogUnavailable)
}

// Guards against a host that keeps returning its last count of pending jobs after it lost access to the log.
func TestStaleCountIsNotReturned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newTestService()
		is.NoErr(r.Submit(t.Context(), queue, "aa", spec()))
		is.NoErr(r.cfg.Refresh(t.Context()))
		is.Equal(r.pending(t, is), 1)
		r.readErr = fault.New(fault.LogUnavailable, "down")
		time.Sleep(refreshAge + time.Millisecond)
		is.Equal(r.pending(t, is), 1) // younger than maxViewAge
		time.Sleep(maxViewAge)
		_, err := r.Pending(t.Context(), "q")
		is.Equal(fault.Of(err), fault.LogUnavailable)
	})
}

// Guards against a job that is accepted though the log cannot hold its progress.
func TestJobWhoseProgressCannotBeKeptIsRejected(t *testing.T) {
	for _, c := range []struct {
		steps, tasks, repeat int
		longRunning          bool
		want                 fault.Kind
	}{
		{1, workload.MaxTasksPerStep, 0, true, fault.None},
		{2, workload.MaxTasksPerStep, 0, true, fault.TooLarge},
		{1, 1, 6144, true, fault.None},
		{1, 1, 6145, true, fault.TooLarge},
		{1, 1, 1 << 62, true, fault.TooLarge},
		{1, 1, 1 << 62, false, fault.None},
		{workload.MaxSteps, workload.MaxTasksPerStep, 24300, false, fault.None},
	} {
		is := is.New(t)
		r := newTestService()
		s := workload.Spec{Payload: "p", Repeat: c.repeat}
		for range c.steps {
			s.Steps = append(s.Steps, workload.Step{Count: c.tasks, LongRunning: c.longRunning})
		}
		err := r.Submit(t.Context(), queue, "large", s)
		is.Equal(fault.Of(err), c.want)
		is.Equal(len(r.appended) == 1, c.want == fault.None)
	}
}

// Guards against a job that turns to cancelled after its end, since the host that was asked had not read of that.
func TestJobThatEndedBeforeItsCancellationStaysSo(t *testing.T) {
	for _, end := range []workload.State{workload.Completed, workload.Failed} {
		is := is.New(t)
		r := newTestService()
		is.NoErr(r.Submit(t.Context(), queue, "aa", spec()))
		rec, err := ledger.StatusRecord("aa", workload.Status{State: end})
		is.NoErr(err)
		is.NoErr(r.cfg.Append(t.Context(), rec))
		is.NoErr(r.cfg.Refresh(t.Context()))
		rec, err = ledger.CancelRecord("aa", 1)
		is.NoErr(err)
		for range 2 {
			s, err := r.State(t.Context(), "q", "aa")
			is.NoErr(err)
			is.Equal(s, end)
			is.NoErr(r.cfg.Append(t.Context(), rec))
			is.NoErr(r.cfg.Refresh(t.Context()))
		}
		is.NoErr(r.Cancel(t.Context(), "q", "aa")) // nothing to record
		is.Equal(len(r.appended), 4)
	}
}

// Guards against an answer from a snapshot that is newer in parts and may lack a cancellation before the end.
func TestSnapshotThatIsNotCompleteIsNotAnswered(t *testing.T) {
	is := is.New(t)
	r := newTestService()
	is.NoErr(r.Submit(t.Context(), queue, "aa", spec()))
	is.NoErr(r.Cancel(t.Context(), "q", "aa"))
	rec, err := ledger.StatusRecord("aa", workload.Status{State: workload.Completed})
	is.NoErr(err)
	is.NoErr(r.cfg.Append(t.Context(), rec))
	r.view.Unload()
	complete := r.log.Newest
	r.log.Newest = func(ctx context.Context, topic ledger.Topic, after string) (ledger.Snapshot, error) {
		s, err := complete(ctx, topic, after)
		return ledger.Snapshot{Records: []ledger.Record{s.Records[0], s.Records[2]}, End: 1}, err
	}
	readErr := fault.New(fault.LogUnavailable, "down")
	cfg := ledger.ReaderConfig{Log: ledger.Log{Newest: r.log.Newest, Read: func(context.Context, ledger.Topic, ledger.Position, time.Duration) (ledger.Page, error) {
		return ledger.Page{}, readErr
	}}, View: r.view, Logger: r.cfg.Logger}
	is.Equal(fault.Of(ledger.NewReader(cfg).Refresh(t.Context())), fault.LogUnavailable)
	_, known := r.view.Job("aa")
	is.True(known)
	r.readErr = readErr
	_, err = r.State(t.Context(), "q", "aa")
	is.Equal(fault.Of(err), fault.LogUnavailable)
	r.readErr = nil
	s, err := r.State(t.Context(), "q", "aa")
	is.NoErr(err)
	is.Equal(s, workload.Cancelled)
}
