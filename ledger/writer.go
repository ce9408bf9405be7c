package ledger

import (
	"context"
	"slices"
	"sync"
	"time"

	"persimmonpick/fault"
	"persimmonpick/table"
)

// leaderProducer is the producer name shared by all leaders, so that the epoch of a new leader fences its
// predecessors.
const leaderProducer = "leader"

// resignTimeout bounds the end of the append in flight and the append of the resignation record when a leader stops.
const resignTimeout = 600 * time.Millisecond

// Writer appends the records of the leader, with one append in flight at a time.
type Writer struct {
	cfg      ElectorConfig
	leader   Leader
	producer producer
	batches  chan *batch

	mu         sync.Mutex
	superseded bool
	confirmed  time.Time // send time of the last successful append; zero before the first
}

type batch struct {
	records []Record
	done    func(refused []Record)
}

func newWriter(cfg ElectorConfig, l Leader) *Writer {
	return &Writer{
		cfg: cfg, leader: l, batches: make(chan *batch, 1),
		producer: producer{log: cfg.Log, name: leaderProducer, epoch: l.Epoch, next: 1},
	}
}

// Epoch returns the epoch of this leader.
func (w *Writer) Epoch() Epoch { return w.leader.Epoch }

// Confirmed returns the send time of the last successful append, at which this process was still the leader. It is zero
// before the first, since the election may have been read late.
func (w *Writer) Confirmed() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.confirmed
}

// Superseded reports whether a newer leader has been elected.
func (w *Writer) Superseded() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.superseded
}

// MaxRecord returns the size limit of a record; 0 means no limit.
func (w *Writer) MaxRecord() table.Bytes { return w.cfg.Log.MaxRecord }

// Append queues records and has done called from another goroutine once they are in the log, with those that the log
// refused for their size. If this leader is superseded, done is never called. Append must not be called again before
// done. Records that do not fit into one append are written by several, in their order.
func (w *Writer) Append(records []Record, done func(refused []Record)) {
	w.batches <- &batch{records, done}
}

// run appends queued records and heartbeats until ctx ends. It calls stop if a newer leader has been elected.
func (w *Writer) run(ctx context.Context, stop func()) {
	beat := time.NewTicker(heartbeatInterval)
	defer beat.Stop()
	// The log accepts the resignation only after the append in flight, so that one is not broken off.
	appendCtx, cancel := endLater(ctx, resignTimeout)
	defer cancel()
	for {
		if ctx.Err() != nil {
			w.resign(appendCtx)
			return
		}
		var b *batch
		select {
		case <-ctx.Done():
			continue
		case b = <-w.batches:
		case <-beat.C:
			if time.Since(w.Confirmed()) < heartbeatInterval {
				continue
			}
			b = &batch{done: func([]Record) {}}
		}
		if !w.append(appendCtx, b) {
			stop()
			return
		}
	}
}

// append retries b until it is in the log; it returns false once that can no longer happen.
func (w *Writer) append(ctx context.Context, b *batch) bool {
	records := b.records
	if len(records) == 0 {
		r, err := encode(leaderKey, w.leader)
		if err != nil {
			w.cfg.Logger.Error("failed to encode heartbeat record", "Error", err)
			return true
		}
		records = []Record{r}
	}
	refused, fitting := w.separateTooLarge(records)
	for _, part := range w.cfg.Log.split(fitting) {
		more, ok := w.appendPart(ctx, part)
		if !ok {
			return false
		}
		refused = append(refused, more...)
	}
	b.done(refused)
	return true
}

func (w *Writer) separateTooLarge(records []Record) (tooLarge, fitting []Record) {
	for _, r := range records {
		if w.cfg.Log.tooLarge(r) {
			w.logRefused(r)
			tooLarge = append(tooLarge, r)
			continue
		}
		fitting = append(fitting, r)
	}
	return tooLarge, fitting
}

func (w *Writer) logRefused(r Record) {
	w.cfg.Logger.Error("record too large for the log", "Key", r.Key, "Size", r.Size(), "Limit", w.cfg.Log.MaxRecord)
}

// appendPart retries records until they are in the log and returns those that the log refused for their size; it
// returns false once they can no longer be appended.
func (w *Writer) appendPart(ctx context.Context, records []Record) ([]Record, bool) {
	for len(records) > 0 {
		sent := time.Now()
		err := w.producer.appendNext(ctx, records)
		if err == nil {
			w.mu.Lock()
			w.confirmed = sent
			w.mu.Unlock()
			return nil, true
		}
		if ctx.Err() != nil {
			return nil, false
		}
		if fault.Of(err) == fault.TooLarge {
			return w.appendHalves(ctx, records)
		}
		if !retryable(err) || w.cfg.View.Leader().Epoch > w.leader.Epoch {
			w.mu.Lock()
			w.superseded = true
			w.mu.Unlock()
			w.cfg.Logger.Warn("leadership lost", "Epoch", w.leader.Epoch, "Kind", fault.Of(err), "Error", err)
			return nil, false
		}
		Sleep(ctx, appendRetryDelay)
	}
	return nil, true
}

// appendHalves finds the records that the log refuses for their size, so that the others are appended.
func (w *Writer) appendHalves(ctx context.Context, records []Record) ([]Record, bool) {
	if len(records) == 1 {
		w.logRefused(records[0])
		return records, true
	}
	half := len(records) / 2
	refused, ok := w.appendPart(ctx, records[:half])
	if !ok {
		return nil, false
	}
	more, ok := w.appendPart(ctx, records[half:])
	return append(slices.Clone(refused), more...), ok
}

// resign appends a leader record without a host, so that other hosts claim leadership without waiting for
// leaderTimeout.
func (w *Writer) resign(ctx context.Context) {
	if w.Superseded() {
		return
	}
	r, err := encode(leaderKey, Leader{Epoch: w.leader.Epoch})
	if err == nil {
		err = w.producer.appendNext(ctx, []Record{r})
	}
	w.cfg.Logger.Info("resigned", "Epoch", w.leader.Epoch, "Error", err)
}

// endLater returns a context that ends the given time after ctx has.
func endLater(ctx context.Context, by time.Duration) (context.Context, context.CancelFunc) {
	later, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() {
		Sleep(later, by)
		cancel()
	})
	return later, func() {
		stop()
		cancel()
	}
}
