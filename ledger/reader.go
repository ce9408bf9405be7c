package ledger

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"persimmonpick/fault"
)

// The timing of the reads of one host.
const (
	readWait    = time.Second            // of an idle read; bounds how long a silent connection goes unnoticed
	retryPause  = 150 * time.Millisecond // after a failed read; the store counts refused calls too
	leaderPause = 15 * time.Millisecond  // between reads of the leader, so that close records share a call
	idlePause   = 100 * time.Millisecond // before an idle reader looks whether it must read again
)

// ReaderConfig configures a Reader.
type ReaderConfig struct {
	Log    Log
	Fold   *View
	Pause  time.Duration // between reads of a host that does not lead
	Idle   func() bool   // whether the host need not read; nil for never
	Logger *slog.Logger
}

// Reader follows the topic into a fold.
type Reader struct {
	cfg     ReaderConfig
	mu      sync.Mutex // keeps a host from forgetting what it read while it becomes the leader
	leading atomic.Bool
	failing atomic.Bool
	loading chan struct{} // holds the one load that runs
}

// NewReader returns a reader that has read nothing yet.
func NewReader(cfg ReaderConfig) *Reader { return &Reader{cfg: cfg, loading: make(chan struct{}, 1)} }

// SetLeading makes the reader read as often as a leader needs.
func (r *Reader) SetLeading(leading bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leading.Store(leading)
}

// Leading says whether this host leads.
func (r *Reader) Leading() bool { return r.leading.Load() }

// Failing says whether the last read failed.
func (r *Reader) Failing() bool { return r.failing.Load() }

// Run reads until ctx ends.
func (r *Reader) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if r.idle() {
			Sleep(ctx, idlePause)
			continue
		}
		n, behind, err := r.step(ctx)
		if ctx.Err() != nil {
			return
		}
		r.note(err)
		switch {
		case err != nil:
			Sleep(ctx, retryPause)
		case n == 0, behind:
		case r.leading.Load():
			Sleep(ctx, leaderPause)
		default:
			Sleep(ctx, r.cfg.Pause)
		}
	}
}

// idle forgets what was read while the host need not read, so that it takes no memory.
func (r *Reader) idle() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cfg.Idle == nil || r.Leading() || !r.cfg.Idle() {
		return false
	}
	if _, loaded := r.cfg.Fold.Position(); loaded {
		r.cfg.Fold.Unload()
	}
	r.failing.Store(false)
	return true
}

// Refresh folds all records that were in the topic when it was called.
func (r *Reader) Refresh(ctx context.Context) error {
	began := time.Now()
	for r.cfg.Fold.Confirmed().Before(began) {
		if _, err := r.read(ctx, 0); err != nil {
			return err
		}
	}
	return nil
}

// note logs the loss and the return of the log once each.
func (r *Reader) note(err error) {
	if failing := err != nil; r.failing.Swap(failing) != failing {
		if failing {
			r.cfg.Logger.Warn("log lost", "Topic", JobTopic, "Error", err)
		} else {
			r.cfg.Logger.Info("log regained", "Topic", JobTopic)
		}
	}
}

// step reads once; it returns how many records it read, and whether there are more.
func (r *Reader) step(ctx context.Context) (int, bool, error) {
	before, loaded := r.cfg.Fold.Position()
	if !loaded {
		return 1, false, r.load(ctx)
	}
	wait := readWait
	if r.failing.Load() {
		wait = 0 // a read that waits for records would tell late that the log is back
	}
	behind, err := r.read(ctx, wait)
	after, _ := r.cfg.Fold.Position()
	return int(after - before), behind, err
}

// read says whether there are more records than it read.
func (r *Reader) read(ctx context.Context, wait time.Duration) (bool, error) {
	from, loaded := r.cfg.Fold.Position()
	if !loaded {
		return false, r.load(ctx)
	}
	began := time.Now()
	page, err := r.cfg.Log.Read(ctx, JobTopic, from, wait)
	if fault.Of(err) == fault.NotFound {
		r.cfg.Logger.Warn("history of the log dropped, loading the newest records", "Topic", JobTopic, "From", from)
		return false, r.load(ctx)
	}
	if err != nil {
		return false, err
	}
	r.cfg.Fold.add(from, page, began)
	return page.Next < page.End, nil
}

// load replaces the fold by the newest record of each key. Callers that come while a load runs wait for it: loads beside each other would share a small link and none would end.
func (r *Reader) load(ctx context.Context) error {
	before, _ := r.cfg.Fold.Position()
	select {
	case r.loading <- struct{}{}:
		defer func() { <-r.loading }()
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), fault.LogUnavailable, "the newest records are still being loaded")
	}
	if at, loaded := r.cfg.Fold.Position(); loaded && at > before {
		return nil
	}
	began := time.Now()
	records, end, err := newest(ctx, r.cfg.Log, JobTopic)
	if err != nil {
		return err
	}
	r.cfg.Fold.load(records, end, began)
	r.cfg.Logger.Info("newest records loaded", "Topic", JobTopic, "Records", len(records), "End", end)
	return nil
}

// Sleep waits for d, or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
