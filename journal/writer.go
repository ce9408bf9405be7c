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

// batchOverhead is more than the fields of a batch other than its records take when encoded.
const batchOverhead = 512

// Defaults of WriterConfig.
const (
	defaultDelay     = 5 * time.Millisecond
	defaultMaxBatch  = 256 << 10
	defaultMaxEntry  = 1 << 20
	defaultMaxQueue  = 4096
	defaultMaxAhead  = 64
	defaultRate      = 25 // 9 hosts and a snapshot stay below 300 appends a second
	appendBurst      = 5
	defaultAppend    = 10 * time.Second
	defaultResolve   = 2 * time.Second
	defaultBackoff   = 50 * time.Millisecond
	defaultBackoffTo = 5 * time.Second
)

// WriterConfig configures a Writer; zero fields but Log and Incarnation take defaults.
type WriterConfig struct {
	Log            provider.Log
	Incarnation    table.Incarnation
	Delay          time.Duration // longest wait to fill a batch
	MaxBatch       int           // bytes at which a batch is sent at once
	MaxEntry       int           // bytes of the largest entry that the log accepts, at most MaxEntry of the package
	MaxQueue       int           // proposals that may wait to be sent
	Rate           int           // appends a second; the log accepts several hundred from all hosts together
	MaxAhead       int           // batches that may be appended and not yet folded
	AppendTimeout  time.Duration // longest time of one append
	ResolveTimeout time.Duration // longest time that reading on may take to show a batch after a failed append
	BackoffMin     time.Duration // first pause between failed appends
	BackoffMax     time.Duration // longest pause between failed appends
	Logger         *slog.Logger
}

// Writer appends proposals to the log in batches, one append at a time.
type Writer struct {
	cfg  WriterConfig
	rate *rate.Limiter // used by Run alone

	mu      sync.Mutex
	queue   []*proposal
	bytes   int // size of queue
	seq     uint64
	flights []*flight // sent and not resolved, in order of Seq
	stopped bool

	wake   chan struct{} // a proposal was queued
	full   chan struct{} // the queue holds a whole batch
	landed chan struct{} // a flight was resolved
}

// NewWriter returns a Writer; Run must be called for it to append anything.
func NewWriter(cfg WriterConfig) *Writer {
	cfg = cfg.withDefaults()
	return &Writer{
		cfg:    cfg,
		rate:   rate.NewLimiter(rate.Limit(cfg.Rate), appendBurst),
		wake:   make(chan struct{}, 1),
		full:   make(chan struct{}, 1),
		landed: make(chan struct{}, 1),
	}
}

func (cfg WriterConfig) withDefaults() WriterConfig {
	setDuration(&cfg.Delay, defaultDelay)
	setDuration(&cfg.AppendTimeout, defaultAppend)
	setDuration(&cfg.ResolveTimeout, defaultResolve)
	setDuration(&cfg.BackoffMin, defaultBackoff)
	setDuration(&cfg.BackoffMax, defaultBackoffTo)
	setInt(&cfg.MaxBatch, defaultMaxBatch)
	setInt(&cfg.MaxEntry, defaultMaxEntry)
	cfg.MaxEntry = min(cfg.MaxEntry, MaxEntry)
	cfg.MaxBatch = min(cfg.MaxBatch, cfg.MaxEntry)
	setInt(&cfg.MaxQueue, defaultMaxQueue)
	setInt(&cfg.MaxAhead, defaultMaxAhead)
	setInt(&cfg.Rate, defaultRate)
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

// Propose appends records in one batch and returns once that was folded.
//
// It fails with fault.Overloaded, Invalid, TooLarge, Stopping or LogUnavailable when nothing was appended and nothing
// ever will be, and with fault.OutcomeUnknown when the records may or may not take effect. A nil error says only that
// the batch was folded; the kinds of the result say what each record did.
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
// It is called before Submit returns if the proposal is refused, by Folded or Reloaded on their goroutine, or by Run.
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

// abandon ends the wait for p. It returns nil if p was resolved meanwhile.
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

// withdraw takes p out of the queue; the caller holds mu.
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

// BatchApplied tells the writer that the control goroutine folded b at off with the given kinds.
//
// It may be called with batches of any writer; the first fold of a batch counts, and repeats of it are passed over.
func (w *Writer) BatchApplied(off table.Offset, b *Batch, kinds []fault.Kind) {
	if b.Writer != w.cfg.Incarnation {
		return
	}
	fl := w.land(b.Seq)
	if fl == nil {
		return
	}
	i := 0
	for _, p := range fl.proposals {
		n := len(p.records)
		p.done(Result{Offset: off, Kinds: kinds[i : i+n]}, nil)
		i += n
	}
}

// Reloaded tells the writer that t replaced the tables, so that batches were folded without a call of Folded.
func (w *Writer) Reloaded(t *table.Tables) {
	state := t.Writers[w.cfg.Incarnation]
	if state == nil {
		return
	}
	for _, fl := range w.landUpTo(state.Seq) {
		fail(fl.proposals, fault.New(fault.OutcomeUnknown, "batch %d was folded into a snapshot", fl.batch.Seq))
	}
}

// land removes and returns the flight of seq, or nil if it was resolved before.
func (w *Writer) land(seq uint64) *flight {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, fl := range w.flights {
		if fl.batch.Seq == seq {
			w.flights = append(w.flights[:i], w.flights[i+1:]...)
			w.resolve(fl)
			return fl
		}
	}
	return nil
}

func (w *Writer) landUpTo(seq uint64) []*flight {
	w.mu.Lock()
	defer w.mu.Unlock()
	var landed []*flight
	for len(w.flights) > 0 && w.flights[0].batch.Seq <= seq {
		fl := w.flights[0]
		w.flights = w.flights[1:]
		w.resolve(fl)
		landed = append(landed, fl)
	}
	return landed
}

// resolve marks a flight that was taken out of flights; the caller holds mu.
func (w *Writer) resolve(fl *flight) {
	for _, p := range fl.proposals {
		p.state = proposalDone
	}
	close(fl.resolved)
	signal(w.landed)
}

func fail(proposals []*proposal, err error) {
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
