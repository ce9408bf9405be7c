package journal

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"persimmonpick/fault"
	"persimmonpick/table"
)

func workerSeen(id string) Record {
	return Record{WorkerSeen: &WorkerSeen{ID: table.WorkerID(id)}}
}

// inBubble runs f with a fake clock and a context that ends with the test.
func inBubble(t *testing.T, f func(ctx context.Context, l *fakeLog, is *is.I)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f(ctx, newFakeLog(), is.New(t))
		cancel()
		synctest.Wait()
	})
}

// Guards against proposals that each need an append of their own, and against results that reach the wrong proposal.
func TestProposalsShareABatch(t *testing.T) {
	inBubble(t, func(ctx context.Context, l *fakeLog, is *is.I) {
		h := startHost(ctx, l, "me", nil)
		results := make(chan error, 4)
		for i := range 4 {
			go func() {
				bad := Record{WorkerGone: &WorkerGone{ID: "none"}}
				r, err := h.writer.Propose(ctx, []Record{workerSeen(fmt.Sprintf("w%d", i)), bad})
				if err == nil && (r.Kinds[0] != fault.None || r.First() != fault.NotFound || len(r.Kinds) != 2) {
					err = fmt.Errorf("kinds %v", r.Kinds)
				}
				results <- err
			}()
		}
		for range 4 {
			is.NoErr(<-results)
		}
		is.Equal(l.length(RecordStream), 1)
		is.Equal(len(h.tables().Workers), 4)
	})
}

// Guards against a batch that is lost, applied twice or never resolved when replies are lost or appends arrive late.
func TestWriterResolvesLostReplies(t *testing.T) {
	scripts := map[string][]reply{
		"Lost": {replyLost}, "Down": {replyDown, replyDown}, "Late": {replyLate},
		"Busy": {replyBusy, replyBusy}, "LateTwice": {replyLate, replyLate, replyLate}, "Mixed": {replyDown, replyLate, replyLost, replyDown},
	}
	for name, script := range scripts {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(ctx context.Context, l *fakeLog, is *is.I) {
				l.script = script
				h := startHost(ctx, l, "me", nil)
				for i := range 3 {
					r, err := h.writer.Propose(ctx, []Record{submit(table.JobID(fmt.Sprint(i)), 1, nil)})
					is.NoErr(err)
					is.Equal(r.First(), fault.NotFound) // applied once; a duplicate would yield Conflict
				}
				time.Sleep(time.Minute)
				is.Equal(h.tables().Writers["me"].Seq, uint64(3))
			})
		})
	}
}

// Guards against reporting LogUnavailable for a proposal that takes effect later, and OutcomeUnknown for one that was
// never sent.
func TestProposeWhoseCallerGivesUp(t *testing.T) {
	inBubble(t, func(ctx context.Context, l *fakeLog, is *is.I) {
		l.setDown(true)
		h := startHost(ctx, l, "me", func(context.Context) (*table.Tables, error) { return table.New(), nil })
		short, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
		defer cancel()
		_, err := h.writer.Propose(short, []Record{workerSeen("sent")})
		is.Equal(fault.Of(err), fault.OutcomeUnknown)
		later, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
		defer cancel()
		_, err = h.writer.Propose(later, []Record{workerSeen("queued")})
		is.Equal(fault.Of(err), fault.LogUnavailable)
		l.setDown(false)
		time.Sleep(time.Minute)
		is.True(h.tables().Workers["sent"] != nil)
		is.True(h.tables().Workers["queued"] == nil)
	})
}

// Guards against a queue that grows without bound, and against proposals that are never resolved after a stop.
func TestWriterBoundsAndStop(t *testing.T) {
	inBubble(t, func(ctx context.Context, l *fakeLog, is *is.I) {
		l.setDown(true)
		ctx, cancel := context.WithCancel(ctx)
		h := startHost(ctx, l, "me", nil)
		errs := make(chan error, 16)
		done := func(_ Result, err error) { errs <- err }
		h.writer.Submit([]Record{workerSeen("sent")}, done)
		time.Sleep(time.Second)
		for range 5 {
			h.writer.Submit([]Record{workerSeen("queued")}, done)
		}
		is.Equal(fault.Of(<-errs), fault.Overloaded)
		h.writer.Submit(nil, done)
		is.Equal(fault.Of(<-errs), fault.Invalid)
		h.writer.Submit([]Record{workerSeen(strings.Repeat("x", defaultMaxEntry))}, done)
		is.Equal(fault.Of(<-errs), fault.TooLarge)
		cancel()
		for range 4 {
			is.Equal(fault.Of(<-errs), fault.Stopping)
		}
		is.Equal(fault.Of(<-errs), fault.OutcomeUnknown)
		h.writer.Submit([]Record{workerSeen("after")}, done)
		is.Equal(fault.Of(<-errs), fault.Stopping)
	})
}

// Guards against a batch that the log will never accept and that blocks all others.
func TestWriterDropsRefusedBatches(t *testing.T) {
	inBubble(t, func(ctx context.Context, l *fakeLog, is *is.I) {
		l.script = []reply{replyLarge, replyDown, replyLarge}
		h := startHost(ctx, l, "me", nil)
		_, err := h.writer.Propose(ctx, []Record{workerSeen("a")})
		is.Equal(fault.Of(err), fault.TooLarge)
		_, err = h.writer.Propose(ctx, []Record{workerSeen("b")})
		is.Equal(fault.Of(err), fault.OutcomeUnknown) // the first attempt may still take effect
		_, err = h.writer.Propose(ctx, []Record{workerSeen("c")})
		is.NoErr(err)
	})
}

// Guards against a proposal that waits forever because its batch is contained in a snapshot that the reader loads.
func TestWriterAfterReload(t *testing.T) {
	inBubble(t, func(ctx context.Context, l *fakeLog, is *is.I) {
		w := NewWriter(WriterConfig{Log: l.log(), Incarnation: "me"})
		go w.Run(ctx)
		errs := make(chan error, 1)
		w.Submit([]Record{workerSeen("a")}, func(_ Result, err error) { errs <- err })
		time.Sleep(time.Second)
		tables := table.New()
		w.Reloaded(tables)
		tables.Writers["me"] = &table.WriterState{Seq: 1}
		w.Reloaded(tables)
		is.Equal(fault.Of(<-errs), fault.OutcomeUnknown)
	})
}

// Guards against a busy host that exceeds its share of the append rate of the log.
func TestWriterKeepsToItsRate(t *testing.T) {
	inBubble(t, func(ctx context.Context, l *fakeLog, is *is.I) {
		h := startHost(ctx, l, "me", nil)
		for range 10 * defaultAppendRate {
			_, err := h.writer.Propose(ctx, []Record{workerSeen("a")})
			is.NoErr(err)
		}
		began := time.Now()
		for range 2 * defaultAppendRate {
			_, err := h.writer.Propose(ctx, []Record{workerSeen("a")})
			is.NoErr(err)
		}
		is.True(time.Since(began) >= 1900*time.Millisecond)
	})
}

// Guards against batches that exceed MaxBatch, and against a proposal that is split over two batches.
func TestWriterBoundsBatches(t *testing.T) {
	inBubble(t, func(ctx context.Context, l *fakeLog, is *is.I) {
		h := startHost(ctx, l, "me", nil)
		results := make(chan error, 3)
		for range 3 {
			big := submit("j", 1, func(j *table.Job) { j.Payload = make([]byte, 600) })
			h.writer.Submit([]Record{big, big}, func(_ Result, err error) { results <- err })
		}
		for range 3 {
			is.NoErr(<-results)
		}
		is.Equal(l.length(RecordStream), 3)
	})
}
