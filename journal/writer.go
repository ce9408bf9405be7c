package journal

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"persimmonpick/fault"
	"persimmonpick/provider"
	"persimmonpick/table"
)

// batchOverhead is an upper bound of the encoded bytes of a batch without its records.
const batchOverhead = 512

// Defaults of WriterConfig.
const (
	defaultBatchDelay     = 5 * time.Millisecond
	defaultMaxBatch       = 256 << 10
	defaultMaxEntry       = 1 << 20
	defaultMaxQueue       = 4096
	defaultMaxInflight    = 64
	defaultAppendRate     = 25 // appends per second; 9 hosts and a snapshot stay below 300
	appendBurst           = 5
	defaultAppendTimeout  = 10 * time.Second
	defaultResolveTimeout = 2 * time.Second
	defaultMinBackoff     = 50 * time.Millisecond
	defaultMaxBackoff     = 5 * time.Second
)

// WriterConfig configures a Writer; Log and Incarnation are required, and zero values of the other fields select
// defaults.
type WriterConfig struct {
	Log            provider.Log
	Incarnation    table.Incarnation
	Delay          time.Duration // longest time that a proposal waits for its batch to fill
	MaxBatch       int           // bytes at which a batch is sent without further delay
	MaxEntry       int           // bytes of the largest entry that the log accepts, at most journal.MaxEntry
	MaxQueue       int           // proposals that may wait to be sent; further ones are rejected
	Rate           int           // appends per second; the log accepts several hundred from all hosts together
	MaxInflight    int           // batches that may be in flight: appended but not yet applied
	AppendTimeout  time.Duration // timeout of one append
	ResolveTimeout time.Duration // time that a batch may take to appear in the log after a failed append
	BackoffMin     time.Duration // first backoff between failed appends
	BackoffMax     time.Duration // longest backoff between failed appends
	Logger         *slog.Logger
}

// Writer appends proposed records to the log in batches, one append at a time.
type Writer struct {
	cfg  WriterConfig
	rate *rate.Limiter // used only by Run

	mu       sync.Mutex
	queue    []*proposal
	bytes    int // encoded bytes of the proposals in queue
	seq      uint64
	inflight []*inflightBatch // sent and not yet resolved, in order of Seq
	stopped  bool

	wake          chan struct{} // signalled when a proposal is queued
	full          chan struct{} // signalled when the queue holds a full batch
	batchResolved chan struct{} // signalled when an in-flight batch is resolved
}

// NewWriter returns a Writer, which appends nothing until Run is called.
func NewWriter(cfg WriterConfig) *Writer {
	cfg = cfg.withDefaults()
	return &Writer{
		cfg:           cfg,
		rate:          rate.NewLimiter(rate.Limit(cfg.Rate), appendBurst),
		wake:          make(chan struct{}, 1),
		full:          make(chan struct{}, 1),
		batchResolved: make(chan struct{}, 1),
	}
}

func (cfg WriterConfig) withDefaults() WriterConfig {
	setDuration(&cfg.Delay, defaultBatchDelay)
	setDuration(&cfg.AppendTimeout, defaultAppendTimeout)
	setDuration(&cfg.ResolveTimeout, defaultResolveTimeout)
	setDuration(&cfg.BackoffMin, defaultMinBackoff)
	setDuration(&cfg.BackoffMax, defaultMaxBackoff)
	setInt(&cfg.MaxBatch, defaultMaxBatch)
	setInt(&cfg.MaxEntry, defaultMaxEntry)
	cfg.MaxEntry = min(cfg.MaxEntry, MaxEntry)
	cfg.MaxBatch = min(cfg.MaxBatch, cfg.MaxEntry)
	setInt(&cfg.MaxQueue, defaultMaxQueue)
	setInt(&cfg.MaxInflight, defaultMaxInflight)
	setInt(&cfg.Rate, defaultAppendRate)
	if cfg.Logger == nil {
		cfg.Logger = slog.New(slog.DiscardHandler)
	}
	return cfg
}

func setDuration(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

func setInt(n *int, value int) {
	if *n == 0 {
		*n = value
	}
}

// Propose appends records in one batch and returns once the batch has been applied.
//
// It fails with fault.Overloaded, Invalid, TooLarge, Stopping or LogUnavailable if the records were not appended and
// never will be, and with fault.OutcomeUnknown if they may or may not take effect. A nil error means only that the
// batch was applied; the kinds of the result report the outcome of each record.
func (w *Writer) Propose(ctx context.Context, records []Record) (Result, error) {
	type outcome struct {
		result Result
		err    error
	}
	ch := make(chan outcome, 1)
	p, err := newProposal(records, w.cfg.MaxEntry, func(r Result, err error) { ch <- outcome{r, err} })
	if err != nil {
		return Result{}, err
	}
	if err := w.enqueue(p); err != nil {
		return Result{}, err
	}
	select {
	case o := <-ch:
		return o.result, o.err
	case <-ctx.Done():
	}
	if err := w.abandon(p, ctx.Err()); err != nil {
		return Result{}, err
	}
	o := <-ch
	return o.result, o.err
}

// Submit is like Propose but does not wait: done is called once with the outcome and must not block.
//
// It is called before Submit returns if the proposal is rejected, and otherwise on the goroutine of BatchApplied,
// Reloaded or Run.
func (w *Writer) Submit(records []Record, done func(Result, error)) {
	p, err := newProposal(records, w.cfg.MaxEntry, done)
	if err == nil {
		err = w.enqueue(p)
	}
	if err != nil {
		done(Result{}, err)
	}
}

func (w *Writer) enqueue(p *proposal) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return fault.New(fault.Stopping, "the writer of the log has stopped")
	}
	if len(w.queue) >= w.cfg.MaxQueue {
		return fault.New(fault.Overloaded, "%d proposals wait for the log", len(w.queue))
	}
	w.queue = append(w.queue, p)
	w.bytes += p.size
	signal(w.wake)
	if w.bytes >= w.cfg.MaxBatch {
		signal(w.full)
	}
	return nil
}

// abandon stops waiting for p and returns the error to report, or nil if p has been resolved.
func (w *Writer) abandon(p *proposal, cause error) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch p.state {
	case proposalQueued:
		w.withdraw(p)
		return fault.Wrap(cause, fault.LogUnavailable, "the proposal was not sent in time")
	case proposalSent:
		return fault.Wrap(cause, fault.OutcomeUnknown, "the proposal was sent and is not resolved")
	default:
		return nil
	}
}

// withdraw removes p from the queue; the caller holds mu.
func (w *Writer) withdraw(p *proposal) {
	p.state = proposalDone
	for i, q := range w.queue {
		if q == p {
			w.queue = append(w.queue[:i], w.queue[i+1:]...)
			w.bytes -= p.size
			return
		}
	}
}

// BatchApplied notifies the writer that b was applied at off with the given kinds, and resolves the proposals in b.
//
// It may be called with batches of any writer. Only the first call for a batch counts; duplicates are ignored.
func (w *Writer) BatchApplied(off table.Offset, b *Batch, kinds []fault.Kind) {
	if b.Writer != w.cfg.Incarnation {
		return
	}
	sent := w.takeInflight(b.Seq)
	if sent == nil {
		return
	}
	i := 0
	for _, p := range sent.proposals {
		n := len(p.records)
		p.done(Result{Offset: off, Kinds: kinds[i : i+n]}, nil)
		i += n
	}
}

// Reloaded notifies the writer that t replaced the tables. Batches that t already contains will not be reported by
// BatchApplied, so their proposals end with fault.OutcomeUnknown.
func (w *Writer) Reloaded(t *table.Tables) {
	state := t.Writers[w.cfg.Incarnation]
	if state == nil {
		return
	}
	for _, sent := range w.takeInflightUpTo(state.Seq) {
		failAll(sent.proposals, fault.New(fault.OutcomeUnknown, "batch %d was folded into a snapshot", sent.batch.Seq))
	}
}

// takeInflight removes, resolves and returns the in-flight batch with number seq, or returns nil if there is none.
func (w *Writer) takeInflight(seq uint64) *inflightBatch {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, sent := range w.inflight {
		if sent.batch.Seq == seq {
			w.inflight = append(w.inflight[:i], w.inflight[i+1:]...)
			w.markResolved(sent)
			return sent
		}
	}
	return nil
}

func (w *Writer) takeInflightUpTo(seq uint64) []*inflightBatch {
	w.mu.Lock()
	defer w.mu.Unlock()
	var taken []*inflightBatch
	for len(w.inflight) > 0 && w.inflight[0].batch.Seq <= seq {
		sent := w.inflight[0]
		w.inflight = w.inflight[1:]
		w.markResolved(sent)
		taken = append(taken, sent)
	}
	return taken
}

// markResolved marks a batch that was removed from inflight as resolved; the caller holds mu.
func (w *Writer) markResolved(sent *inflightBatch) {
	for _, p := range sent.proposals {
		p.state = proposalDone
	}
	close(sent.resolved)
	signal(w.batchResolved)
}

func failAll(proposals []*proposal, err error) {
	for _, p := range proposals {
		p.done(Result{}, err)
	}
}

func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}
