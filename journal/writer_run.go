package journal

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"persimmonpick/fault"
	"persimmonpick/table"
)

// Run appends proposals until ctx ends. Proposals that were not sent by then fail with fault.Stopping, and those that
// were sent but not resolved with fault.OutcomeUnknown.
func (w *Writer) Run(ctx context.Context) {
	defer w.stop()
	for {
		if !w.waitForWork(ctx) {
			return
		}
		sent, err := w.nextBatch()
		if err != nil {
			w.cfg.Logger.Error("failed to encode batch", slog.String("Error", err.Error()))
			continue
		}
		if sent != nil && !w.send(ctx, sent) {
			return
		}
	}
}

// waitForWork waits until a batch is due to be sent; it returns false if ctx has ended.
func (w *Writer) waitForWork(ctx context.Context) bool {
	for w.queueLength() == 0 {
		select {
		case <-w.wake:
		case <-ctx.Done():
			return false
		}
	}
	for w.inflightCount() >= w.cfg.MaxInflight {
		select {
		case <-w.batchResolved:
		case <-ctx.Done():
			return false
		}
	}
	return w.waitForRate(ctx) && w.waitForBatch(ctx)
}

// waitForRate waits until the rate limit allows another append. Proposals queue up meanwhile and may still be
// withdrawn.
func (w *Writer) waitForRate(ctx context.Context) bool {
	select {
	case <-time.After(w.rate.Reserve().Delay()):
		return true
	case <-ctx.Done():
		return false
	}
}

// waitForBatch waits until the oldest proposal has been queued for Delay or the batch is full.
func (w *Writer) waitForBatch(ctx context.Context) bool {
	timer := time.NewTimer(w.cfg.Delay - time.Since(w.oldestQueuedAt()))
	defer timer.Stop()
	for !w.hasFullBatch() {
		select {
		case <-w.full:
		case <-timer.C:
			return true
		case <-ctx.Done():
			return false
		}
	}
	return true
}

func (w *Writer) queueLength() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.queue)
}

// oldestQueuedAt returns the time at which the first proposal of the queue was made, or now if the queue is empty.
func (w *Writer) oldestQueuedAt() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.queue) == 0 {
		return time.Now()
	}
	return w.queue[0].queued
}

func (w *Writer) inflightCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.inflight)
}

func (w *Writer) hasFullBatch() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.bytes >= w.cfg.MaxBatch
}

// nextBatch moves the next batch from the queue to inflight; it returns nil if the queue is empty.
func (w *Writer) nextBatch() (*inflightBatch, error) {
	w.mu.Lock()
	taken := w.dequeue()
	if len(taken) == 0 {
		w.mu.Unlock()
		return nil, nil
	}
	w.seq++
	b := &Batch{Writer: w.cfg.Incarnation, Seq: w.seq, Time: table.UnixMillis(time.Now().UnixMilli())}
	for _, p := range taken {
		b.Records = append(b.Records, p.records...)
	}
	data, err := encMode.Marshal(b)
	if err == nil {
		sent := &inflightBatch{batch: b, data: data, proposals: taken, resolved: make(chan struct{})}
		w.inflight = append(w.inflight, sent)
		w.mu.Unlock()
		return sent, nil
	}
	for _, p := range taken {
		p.state = proposalDone
	}
	w.mu.Unlock()
	err = fault.Wrap(err, fault.Invalid, "encode batch: %v", err)
	failAll(taken, err)
	return nil, err
}

// dequeue removes the proposals of one batch from the queue and marks them as sent; the caller holds mu.
func (w *Writer) dequeue() []*proposal {
	size, records, n := batchOverhead, 0, 0
	for _, p := range w.queue {
		size += p.size
		records += len(p.records)
		if n > 0 && (size > w.cfg.MaxBatch || records > maxRecords) {
			break
		}
		w.bytes -= p.size
		p.state = proposalSent
		n++
	}
	taken := append([]*proposal(nil), w.queue[:n]...)
	w.queue = append(w.queue[:0], w.queue[n:]...)
	clear(w.queue[len(w.queue):cap(w.queue)])
	return taken
}

// send appends a batch and retries until the append succeeds, is permanently rejected, or the batch is resolved because
// the reader delivered it. It returns false if ctx has ended.
//
// After an error it is unknown whether the append took effect. If it did, the reader delivers the batch. If that takes
// too long, the same batch is appended again under the same number, and Apply ignores the duplicate.
func (w *Writer) send(ctx context.Context, sent *inflightBatch) bool {
	for attempt := 0; ; attempt++ {
		err := w.append(ctx, sent)
		if err == nil {
			return true
		}
		if ctx.Err() != nil {
			return false
		}
		w.cfg.Logger.Warn("append failed", slog.Uint64("Seq", sent.batch.Seq),
			slog.Int("Attempt", attempt+1), slog.String("Error", err.Error()))
		if permanentlyRejected(err) {
			w.drop(sent, attempt, err)
			return true
		}
		select {
		case <-sent.resolved:
			return true
		case <-time.After(w.retryDelay(attempt, err)):
		case <-ctx.Done():
			return false
		}
	}
}

func (w *Writer) append(ctx context.Context, sent *inflightBatch) error {
	ctx, cancel := context.WithTimeout(ctx, w.cfg.AppendTimeout)
	defer cancel()
	_, err := w.cfg.Log.Append(ctx, RecordStream, sent.data)
	return err
}

// permanentlyRejected reports whether the log will never accept the batch, so that retries would block all later ones.
func permanentlyRejected(err error) bool {
	switch fault.Of(err) {
	case fault.Invalid, fault.TooLarge:
		return true
	default:
		return false
	}
}

// drop gives up a batch that the log rejects. An earlier attempt may still have taken effect.
func (w *Writer) drop(sent *inflightBatch, attempt int, err error) {
	if w.takeInflight(sent.batch.Seq) == nil {
		return
	}
	if attempt > 0 {
		err = fault.Wrap(err, fault.OutcomeUnknown, "the log refused a repeat of batch %d", sent.batch.Seq)
	}
	failAll(sent.proposals, err)
}

// retryDelay returns the time to wait after a failed append. An append that was rejected because of its rate did not
// take effect, so there is no need to wait for the reader to deliver it.
func (w *Writer) retryDelay(attempt int, err error) time.Duration {
	d := backoff(attempt, w.cfg.BackoffMin, w.cfg.BackoffMax)
	if fault.Of(err) == fault.Overloaded {
		return d
	}
	return w.cfg.ResolveTimeout + d
}

// backoff returns a random delay between d/2 and d, where d doubles with each attempt from least up to most.
func backoff(attempt int, least, most time.Duration) time.Duration {
	d := most
	if attempt < 16 {
		d = min(most, least<<attempt)
	}
	return d/2 + rand.N(d/2+1)
}

// stop fails all unresolved proposals.
func (w *Writer) stop() {
	w.mu.Lock()
	w.stopped = true
	queue := w.queue
	inflight := w.inflight
	w.queue = nil
	w.bytes = 0
	w.inflight = nil
	for _, p := range queue {
		p.state = proposalDone
	}
	for _, sent := range inflight {
		w.markResolved(sent)
	}
	w.mu.Unlock()
	failAll(queue, fault.New(fault.Stopping, "the writer of the log has stopped"))
	for _, sent := range inflight {
		failAll(sent.proposals, fault.New(fault.OutcomeUnknown, "the writer stopped before batch %d was resolved", sent.batch.Seq))
	}
}
