package ledger

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"persimmonpick/fault"
)

// Timing of log reads.
const (
	readWait = time.Second // of an idle read; bounds how long a dead connection goes unnoticed
	// Wait after a failed read; refused calls count against the log's rate limit too.
	retryDelay = 150 * time.Millisecond
	// Pause between reads of the leader, so that one call returns records appended close together.
	leaderPause       = 15 * time.Millisecond
	idleCheckInterval = 100 * time.Millisecond // between checks whether an idle reader must read again
)

// ReaderConfig configures a Reader.
type ReaderConfig struct {
	Log    Log
	View   *View
	Pause  time.Duration // between reads while this host is not the leader
	Idle   func() bool   // reports whether this host need not read the log; nil means that it always reads
	Logger *slog.Logger
}

// Reader reads JobTopic into a View.
type Reader struct {
	cfg      ReaderConfig
	mu       sync.Mutex // keeps the view loaded while the host becomes the leader
	leading  atomic.Bool
	failing  atomic.Bool
	loadSlot chan struct{} // semaphore that admits one load at a time
}

// NewReader returns a Reader that has not read anything yet.
func NewReader(cfg ReaderConfig) *Reader { return &Reader{cfg: cfg, loadSlot: make(chan struct{}, 1)} }

// SetLeading sets whether this host is the leader, which reads more often and is never idle.
func (r *Reader) SetLeading(leading bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leading.Store(leading)
}

// Leading reports whether this host is the leader.
func (r *Reader) Leading() bool { return r.leading.Load() }

// Failing reports whether the last read failed.
func (r *Reader) Failing() bool { return r.failing.Load() }

// Run reads JobTopic until ctx ends.
func (r *Reader) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if r.unloadIfIdle() {
			Sleep(ctx, idleCheckInterval)
			continue
		}
		n, behind, err := r.readNext(ctx)
		if ctx.Err() != nil {
			return
		}
		r.recordOutcome(err)
		switch {
		case err != nil:
			Sleep(ctx, retryDelay)
		case n == 0, behind:
		case r.leading.Load():
			Sleep(ctx, leaderPause)
		default:
			Sleep(ctx, r.cfg.Pause)
		}
	}
}

// unloadIfIdle unloads the view to free its memory if this host need not read the log, and reports whether it
// is idle.
func (r *Reader) unloadIfIdle() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cfg.Idle == nil || r.Leading() || !r.cfg.Idle() {
		return false
	}
	if _, loaded := r.cfg.View.Position(); loaded {
		r.cfg.View.Unload()
	}
	r.failing.Store(false)
	return true
}

// Refresh applies all records that were in the topic when it was called.
func (r *Reader) Refresh(ctx context.Context) error {
	began := time.Now()
	for r.cfg.View.Confirmed().Before(began) {
		if _, err := r.read(ctx, 0); err != nil {
			return err
		}
	}
	return nil
}

// recordOutcome stores whether the last read failed and logs each change of that state once.
func (r *Reader) recordOutcome(err error) {
	if failing := err != nil; r.failing.Swap(failing) != failing {
		if failing {
			r.cfg.Logger.Warn("log unavailable", "Topic", JobTopic, "Error", err)
		} else {
			r.cfg.Logger.Info("log available again", "Topic", JobTopic)
		}
	}
}

// readNext loads the view or reads one page. It returns the number of records read and whether more are
// available.
func (r *Reader) readNext(ctx context.Context) (int, bool, error) {
	before, loaded := r.cfg.View.Position()
	if !loaded {
		return 1, false, r.load(ctx)
	}
	wait := readWait
	if r.failing.Load() {
		wait = 0 // a waiting read would detect late that the log is available again
	}
	behind, err := r.read(ctx, wait)
	after, _ := r.cfg.View.Position()
	return int(after - before), behind, err
}

// read applies one page and reports whether more records are available.
func (r *Reader) read(ctx context.Context, wait time.Duration) (bool, error) {
	from, loaded := r.cfg.View.Position()
	if !loaded {
		return false, r.load(ctx)
	}
	began := time.Now()
	page, err := r.cfg.Log.Read(ctx, JobTopic, from, wait)
	if fault.Of(err) == fault.NotFound {
		r.cfg.Logger.Warn("read position no longer retained, loading a snapshot", "Topic", JobTopic, "From", from)
		return false, r.load(ctx)
	}
	if err != nil {
		return false, err
	}
	r.cfg.View.applyPage(from, page, began)
	return page.Next < page.End, nil
}

// load replaces the view by a snapshot of the topic. Concurrent callers wait for the load in progress:
// parallel loads would compete for a slow link and none would complete.
func (r *Reader) load(ctx context.Context) error {
	before, _ := r.cfg.View.Position()
	select {
	case r.loadSlot <- struct{}{}:
		defer func() { <-r.loadSlot }()
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), fault.LogUnavailable, "the newest records are still being loaded")
	}
	if at, loaded := r.cfg.View.Position(); loaded && at > before {
		return nil
	}
	began := time.Now()
	records, end, err := readSnapshot(ctx, r.cfg.Log, JobTopic)
	if err != nil {
		return err
	}
	r.cfg.View.load(records, end, began)
	r.cfg.Logger.Info("snapshot loaded", "Topic", JobTopic, "Records", len(records), "End", end)
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
