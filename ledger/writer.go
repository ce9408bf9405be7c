package ledger

import (
	"context"
	"sync"
	"time"

	"persimmonpick/fault"
)

// leaderProducer is the producer name that all leaders share, so that an epoch fences those before.
const leaderProducer = "leader"

// resignTimeout bounds the last record of a leader that stops.
const resignTimeout = 600 * time.Millisecond

// Writer appends the records of the leader; one append is in flight at a time.
type Writer struct {
	cfg      ElectorConfig
	leader   Leader
	producer producer
	work     chan *batch

	mu        sync.Mutex
	displaced bool
	confirmed time.Time // when the last append was sent that succeeded
}

type batch struct {
	records []Record
	done    func()
}

func newWriter(cfg ElectorConfig, l Leader) *Writer {
	return &Writer{
		cfg: cfg, leader: l, work: make(chan *batch, 1), confirmed: time.Now(),
		producer: producer{log: cfg.Log, name: leaderProducer, epoch: l.Epoch, next: 1},
	}
}

// Epoch returns the epoch of this leader.
func (w *Writer) Epoch() Epoch { return w.leader.Epoch }

// Confirmed returns when the last successful append was sent; this process was the leader then.
func (w *Writer) Confirmed() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.confirmed
}

// Superseded says whether another leader has been elected.
func (w *Writer) Superseded() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.displaced
}

// Append hands over records and has done called from another goroutine once they are in the log, or never if this leader is displaced; it must not be called again before that.
func (w *Writer) Append(records []Record, done func()) {
	w.work <- &batch{records, done}
}

// run appends until ctx ends, and calls stop when another leader was elected.
func (w *Writer) run(ctx context.Context, stop func()) {
	beat := time.NewTicker(heartbeat)
	defer beat.Stop()
	for {
		var b *batch
		select {
		case <-ctx.Done():
			w.resign()
			return
		case b = <-w.work:
		case <-beat.C:
			if time.Since(w.Confirmed()) < heartbeat {
				continue
			}
			b = &batch{done: func() {}}
		}
		if !w.append(ctx, b) {
			stop()
			return
		}
	}
}

// append repeats b until it is in the log; it returns false if that can no longer happen.
func (w *Writer) append(ctx context.Context, b *batch) bool {
	records := b.records
	if len(records) == 0 {
		r, err := encode(leaderKey, w.leader)
		if err != nil {
			w.cfg.Logger.Error("heartbeat not written", "Error", err)
			return true
		}
		records = []Record{r}
	}
	for {
		sent := time.Now()
		err := w.producer.try(ctx, records)
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
		if !repeatable(err) || w.cfg.Fold.Leader().Epoch > w.leader.Epoch {
			w.mu.Lock()
			w.displaced = true
			w.mu.Unlock()
			w.cfg.Logger.Warn("leader displaced", "Epoch", w.leader.Epoch, "Kind", fault.Of(err), "Error", err)
			return false
		}
		Sleep(ctx, appendPause)
	}
}

// resign tells the other hosts that they need not wait for silence.
func (w *Writer) resign() {
	if w.Superseded() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), resignTimeout)
	defer cancel()
	r, err := encode(leaderKey, Leader{Epoch: w.leader.Epoch})
	if err == nil {
		err = w.producer.try(ctx, []Record{r})
	}
	w.cfg.Logger.Info("resigned", "Epoch", w.leader.Epoch, "Error", err)
}
