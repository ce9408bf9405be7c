package journal

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"persimmonpick/provider"
	"persimmonpick/table"
)

// appendBatches appends n batches of one record each to l and returns the resulting tables.
func appendBatches(l *fakeLog, n int) *table.Tables {
	t := table.New()
	for i := range n {
		b := &Batch{Writer: "filler", Seq: uint64(i + 1), Records: []Record{workerSeen(fmt.Sprintf("w%d", i))}}
		data, err := Encode(b)
		if err != nil {
			panic(err)
		}
		l.mu.Lock()
		off := l.add(RecordStream, data)
		l.mu.Unlock()
		Apply(t, off, b)
	}
	return t
}

func noPeer(context.Context) (*table.Tables, error) {
	return nil, errors.New("no peer has tables")
}

// Guards against entries that are missed, delivered twice or out of order, and against AtEnd being set too early.
func TestReaderFollows(t *testing.T) {
	inBubble(t, func(ctx context.Context, l *fakeLog, is *is.I) {
		appendBatches(l, 20)
		h := startHost(ctx, l, "me", noPeer)
		synctest.Wait()
		is.Equal(h.tables().Applied, table.Offset(20))
		is.Equal(h.endDeliveries(), 1) // only the last of three pages reached the end
		before := time.Now()
		time.Sleep(5 * time.Second)
		is.True(h.lastDelivery().AtEnd)
		is.True(!h.lastDelivery().Began.Before(before)) // the fence depends on the time at which the read began
		l.mu.Lock()
		l.add(RecordStream, []byte("garbage"))
		l.mu.Unlock()
		synctest.Wait()
		is.Equal(h.tables().Applied, table.Offset(21))
		is.True(slices.IsSorted(h.history()))
		is.Equal(len(slices.Compact(h.history())), 22)
		l.setDown(true)
		ends := h.endDeliveries()
		time.Sleep(time.Minute)
		is.True(h.endDeliveries() <= ends+1) // no delivery is at the end while the log is down
	})
}

// Guards against a gap in a page that goes unnoticed, and against an entry that is delivered twice.
func TestReaderRefusesGaps(t *testing.T) {
	is := is.New(t)
	r := NewReader(ReaderConfig{})
	r.next = 5
	_, err := r.decode([]provider.Entry{{Offset: 5}, {Offset: 7}})
	is.Equal(err, errTruncated)
	entries, err := r.decode([]provider.Entry{{Offset: 4}, {Offset: 5}})
	is.NoErr(err)
	is.Equal(len(entries), 1)
}

// Guards against a start that ignores the snapshot, or that uses one which the log no longer continues.
func TestReaderStarts(t *testing.T) {
	cases := []struct {
		name      string
		snapshot  table.Offset // offset of the newest snapshot, 0 for none
		oldest    table.Offset
		peer      table.Offset // offset of the peer's tables, 0 for none
		wantLoads table.Offset // offset of the first tables delivered
		wantNone  bool
	}{
		{name: "Empty", oldest: 1, wantLoads: 0},
		{name: "Snapshot", snapshot: 20, oldest: 15, wantLoads: 20},
		{name: "SnapshotJustReaches", snapshot: 20, oldest: 21, wantLoads: 20},
		{name: "SnapshotTooOld", snapshot: 20, oldest: 22, peer: 25, wantLoads: 25},
		{name: "NoSnapshot", oldest: 5, peer: 10, wantLoads: 10},
		{name: "Nothing", oldest: 5, wantNone: true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			inBubble(t, func(ctx context.Context, l *fakeLog, is *is.I) {
				at := func(off table.Offset) *table.Tables { return appendBatches(newFakeLog(), int(off)) }
				want := appendBatches(l, 30)
				if tc.snapshot > 0 {
					is.NoErr(WriteSnapshot(ctx, l.log(), at(tc.snapshot-5)))
					is.NoErr(WriteSnapshot(ctx, l.log(), at(tc.snapshot)))
				}
				l.truncate(RecordStream, tc.oldest)
				peer := func(context.Context) (*table.Tables, error) {
					if tc.peer == 0 {
						return nil, errors.New("no tables")
					}
					return at(tc.peer), nil
				}
				h := startHost(ctx, l, "me", peer)
				time.Sleep(time.Minute)
				is.Equal(len(h.history()) == 0, tc.wantNone)
				if tc.wantNone {
					return
				}
				is.Equal(h.history()[0], tc.wantLoads)
				is.Equal(snapshotOf(t, h.tables()), snapshotOf(t, want))
			})
		})
	}
}

// Guards against a reader that stops or delivers older tables when the log is unavailable, or when the log was
// truncated beyond the reader's position.
func TestReaderSurvivesTruncationAndOutage(t *testing.T) {
	inBubble(t, func(ctx context.Context, l *fakeLog, is *is.I) {
		l.setDown(true)
		peerTables := appendBatches(newFakeLog(), 10)
		var peer atomic.Pointer[table.Tables]
		peer.Store(peerTables)
		h := startHost(ctx, l, "me", func(context.Context) (*table.Tables, error) { return CloneTables(peer.Load()), nil })
		time.Sleep(time.Minute)
		is.Equal(h.history(), []table.Offset{10}) // from the peer, once
		want := appendBatches(l, 40)
		is.NoErr(l.snapshotWhileDown(peerTables))
		l.truncate(RecordStream, 30)
		l.setDown(false)
		time.Sleep(time.Minute)
		is.Equal(h.history(), []table.Offset{10}) // neither snapshot nor peer is newer
		l.setDown(true)
		is.NoErr(l.snapshotWhileDown(appendBatches(newFakeLog(), 35)))
		l.setDown(false)
		time.Sleep(time.Minute)
		is.Equal(h.history(), []table.Offset{10, 35, 36, 37, 38, 39, 40})
		is.Equal(snapshotOf(t, h.tables()), snapshotOf(t, want))
		l.setDown(true)
		time.Sleep(time.Minute)
		l.mu.Lock()
		for range 10 {
			l.add(RecordStream, nil)
		}
		l.mu.Unlock()
		l.truncate(RecordStream, 49)
		newer := CloneTables(want)
		newer.Applied = 48
		peer.Store(newer) // the newest snapshot is still at offset 35
		l.setDown(false)
		time.Sleep(time.Minute)
		is.Equal(h.history()[7:], []table.Offset{48, 49, 50})
	})
}

// Guards against a busy loop when the log answers reads without waiting.
func TestReaderDoesNotSpin(t *testing.T) {
	inBubble(t, func(ctx context.Context, _ *fakeLog, is *is.I) {
		reads := 0
		read := func(context.Context, string, table.Offset, int, time.Duration) (provider.Page, error) {
			reads++
			return provider.Page{Oldest: 1, End: 1}, nil
		}
		short, cancel := context.WithTimeout(ctx, 10*time.Second)
		defer cancel()
		r := NewReader(ReaderConfig{Log: provider.Log{Read: read}, Deliver: func(Delivery) {}})
		r.Run(short)
		is.True(reads < 500)
	})
}

// snapshotWhileDown adds a snapshot even while the log is down, as if another host had written it before the outage.
func (l *fakeLog) snapshotWhileDown(t *table.Tables) error {
	chunks, err := EncodeSnapshot(t)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range chunks {
		l.add(SnapshotStream, c)
	}
	return err
}

// Guards against a long snapshot stream that hides the newest complete snapshot, or that is read in full.
func TestReaderSearchesSnapshotsBackwards(t *testing.T) {
	inBubble(t, func(ctx context.Context, l *fakeLog, is *is.I) {
		appendBatches(l, 10)
		is.NoErr(l.snapshotWhileDown(appendBatches(newFakeLog(), 9)))
		l.mu.Lock()
		for range 300 {
			l.add(SnapshotStream, []byte("garbage"))
		}
		l.mu.Unlock()
		l.truncate(SnapshotStream, 1)
		h := startHost(ctx, l, "me", noPeer)
		synctest.Wait()
		is.Equal(h.history()[0], table.Offset(9))
	})
}
