package ledger

import (
	"context"
	"sync"
	"time"

	"persimmonpick/fault"
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
	confirmed  time.Time // send time of the last successful append
}

type batch struct {
	records []Record
	done    func()
}

func newWriter(cfg ElectorConfig, l Leader) *Writer {
	return &Writer{
		cfg: cfg, leader: l, batches: make(chan *batch, 1), confirmed: time.Now(),
		producer: producer{log: cfg.Log, name: leaderProducer, epoch: l.Epoch, next: 1},
	}
}

// Epoch returns the epoch of this leader.
func (w *Writer) Epoch() Epoch { return w.leader.Epoch }

// Confirmed returns the send time of the last successful append, at which this process was still the leader.
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

// Append queues records and has done called from another goroutine once they are in the log. If this leader is
// superseded, done is never called. Append must not be called again before done.
func (w *Writer) Append(records []Record, done func()) {
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
			b = &batch{done: func() {}}
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
	for {
		sent := time.Now()
		err := w.producer.appendNext(ctx, records)
		if err == nil {
			w.mu.Lock()
			w.confirmed = sent
			w.mu.Unlock()
			b.done()
			return true
		}
		if ctx.Err() != nil {
			return false
		}
		if !retryable(err) || w.cfg.View.Leader().Epoch > w.leader.Epoch {
			w.mu.Lock()
			w.superseded = true
			w.mu.Unlock()
			w.cfg.Logger.Warn("leadership lost", "Epoch", w.leader.Epoch, "Kind", fault.Of(err), "Error", err)
			return false
		}
		Sleep(ctx, appendRetryDelay)
	}
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
