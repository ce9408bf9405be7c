package burn

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"persimmonpick/fault"
	"persimmonpick/table"
)

var (
	testWindows = Windows{Short: 5 * time.Minute, Long: time.Hour}
	testStart   = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	testTarget  = table.Objective{Target: 0.99, Latency: 100}
)

func newTestRecorder(incarnation table.Incarnation) *Recorder {
	return NewRecorder(Config{
		Seat:        "s-" + table.SeatID(incarnation),
		Incarnation: incarnation,
		Windows:     testWindows,
		Objective:   func(table.KindID) table.Objective { return testTarget },
	})
}

type observation struct {
	host    int
	kind    table.KindID
	worker  int
	latency time.Duration
	ok      bool
	at      time.Time
}

func drawObservation(t *rapid.T) observation {
	return observation{
		host:    rapid.IntRange(0, 2).Draw(t, "host"),
		kind:    table.KindID(rapid.SampledFrom([]string{"quote", "check"}).Draw(t, "kind")),
		worker:  rapid.IntRange(0, 3).Draw(t, "worker"),
		latency: time.Duration(rapid.IntRange(0, 300).Draw(t, "latency")) * time.Millisecond,
		ok:      rapid.Bool().Draw(t, "ok"),
		at:      testStart.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "at")) * time.Second),
	}
}

func observe(r *Recorder, o observation) {
	name := fmt.Sprint(o.worker)
	r.Observe(o.kind, table.InstanceID("i"+name), table.WorkerID("w"+name), o.latency, o.ok, o.at)
}

// Guards against merged counts that differ from those of a single host that saw all requests, with snapshots that pass
// through gob and arrive repeatedly and out of order.
func TestMergeIsExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		single := newTestRecorder("single")
		hosts := []*Recorder{newTestRecorder("a"), newTestRecorder("b"), newTestRecorder("c")}
		store := NewSnapshotStore(testWindows)
		now := testStart.Add(3000 * time.Second)
		var sent []Snapshot
		for range rapid.IntRange(0, 200).Draw(t, "n") {
			o := drawObservation(t)
			observe(single, o)
			observe(hosts[o.host], o)
			if rapid.IntRange(0, 20).Draw(t, "send") == 0 {
				sent = append(sent, hosts[o.host].Snapshot(now))
			}
		}
		for _, h := range hosts {
			sent = append(sent, h.Snapshot(now))
		}
		for _, s := range append(rapid.Permutation(sent).Draw(t, "order"), sent...) {
			store.Put(gobRoundTrip(t, s), now)
		}
		want := buildReport(now, []Snapshot{single.Snapshot(now)})
		is.Equal(buildReport(now, store.All(now)), want)
		is.Equal(buildReport(now, sent), want)
	})
}

// Latencies that cannot be decoded must not hide those that follow in the same snapshot.
func TestUndecodableLatenciesHideNoOthers(t *testing.T) {
	is := is.New(t)
	r := newTestRecorder("a")
	for _, kind := range []table.KindID{"check", "quote"} {
		r.Observe(kind, "i", "w", 20*time.Millisecond, true, testStart)
	}
	s := r.Snapshot(testStart)
	is.Equal(len(s.Latencies), 2)
	damaged := s.Latencies[0].Kind
	s.Latencies[0].Data = []byte("damaged")
	total, err := Merge([]Snapshot{s})
	is.Equal(fault.Of(err), fault.BadAnswer)
	is.Equal(total.Latencies[damaged], nil)
	is.Equal(total.Latencies[s.Latencies[1].Kind].TotalCount(), int64(1))
}

func gobRoundTrip(t *rapid.T, s Snapshot) Snapshot {
	var buffer bytes.Buffer
	var copied Snapshot
	if err := gob.NewEncoder(&buffer).Encode(s); err != nil {
		t.Fatal(err)
	}
	if err := gob.NewDecoder(&buffer).Decode(&copied); err != nil {
		t.Fatal(err)
	}
	return copied
}

// buildReport builds a report without its Hosts, so that reports over different hosts can be compared.
func buildReport(now time.Time, snapshots []Snapshot) Report {
	r := Build(Input{Now: now, Windows: testWindows, Snapshots: snapshots, Objectives: map[table.KindID]table.Objective{"quote": testTarget, "check": testTarget}})
	r.Hosts = nil
	return r
}

// Guards against wrong burn rates, windows and budgets, and against a report that hides that hosts are missing.
func TestReport(t *testing.T) {
	is := is.New(t)
	r := newTestRecorder("a")
	for i := range 1000 {
		at := testStart.Add(time.Duration(i) * 3 * time.Second)
		r.Observe("quote", "i1", "w1", 10*time.Millisecond, i%50 != 0, at)
	}
	now := testStart.Add(50 * time.Minute)
	in := Input{
		Now: now, Windows: testWindows, Seats: []table.SeatID{"s-a", "s-b"},
		Snapshots:  []Snapshot{r.Snapshot(now.Add(-time.Second))},
		Objectives: map[table.KindID]table.Objective{"quote": testTarget, "<script>": testTarget},
	}
	built := Build(in)
	is.Equal(len(built.Kinds), 2)
	quote := built.Kinds[1]
	is.Equal(quote.Long.Good, int64(980))
	is.Equal(quote.Long.Bad, int64(20))
	is.True(quote.Long.Burn > 1.999 && quote.Long.Burn < 2.001)
	is.True(quote.BudgetLeft > -1.001 && quote.BudgetLeft < -0.999)
	is.Equal(quote.Short.Good+quote.Short.Bad, int64(80)) // 4 full buckets of one minute; the current bucket is empty
	is.True(!built.Complete)
	is.Equal(built.Missing, []table.SeatID{"s-b"})
	is.Equal(built.Hosts[0].AgeMillis, table.Millis(1000))
	is.Equal(built.TopInstances, []Spender{{Name: "i1", Good: 980, Bad: 20, Share: 1}})

	var text, html bytes.Buffer
	is.NoErr(built.WriteText(&text))
	is.True(strings.Contains(text.String(), "counts of 1 of 2 entry hosts, missing: s-b"))
	is.NoErr(built.WriteHTML(&html))
	is.True(strings.Contains(html.String(), "<svg"))
	is.True(!strings.Contains(html.String(), "<script"))
}

// Guards against counts that outlive the window, and against unbounded snapshots and snapshot stores.
func TestBounds(t *testing.T) {
	is := is.New(t)
	r := newTestRecorder("a")
	for i := range 3 * maxNames {
		r.Observe("quote", table.InstanceID(fmt.Sprint(i)), "w", time.Millisecond, false, testStart)
	}
	s := r.Snapshot(testStart)
	is.Equal(len(s.Buckets[0].Instances), maxNames+1)
	is.Equal(Build(Input{Now: testStart, Windows: testWindows, Snapshots: []Snapshot{s}}).TopInstances[0].Bad, int64(2*maxNames))

	later := testStart.Add(2 * time.Hour)
	is.Equal(len(Build(Input{Now: later, Windows: testWindows, Snapshots: []Snapshot{s}}).Kinds), 0)
	is.Equal(len(r.Snapshot(later).Buckets), 0)
	store := NewSnapshotStore(testWindows)
	is.True(store.Put(s, testStart))
	is.True(!store.Put(s, testStart)) // a repeat is not newer
	is.Equal(len(store.Newer(store.Digest(), testStart)), 0)
	is.Equal(len(store.All(later)), 0)
	for i := range 2 * maxSnapshots {
		store.Put(Snapshot{Incarnation: table.Incarnation(fmt.Sprint(i)), Seq: 1, Taken: testStart}, testStart)
	}
	is.Equal(len(store.All(testStart)), maxSnapshots)
}
