package burn

import (
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"persimmonpick/table"
)

const (
	// maxNames bounds the distinct names in one dimension of a bucket; requests of further names count as otherName.
	maxNames  = 512
	otherName = "(other)"

	// maxLatencyMicros caps recorded latencies, in microseconds; longer ones are recorded as this value.
	maxLatencyMicros = 10 * 60 * 1000 * 1000
	// Two significant figures keep a histogram near 20 KB, with errors under 1 percent.
	significantFigures = 2
)

// Config holds the settings and dependencies of a Recorder.
type Config struct {
	Seat        table.SeatID
	Incarnation table.Incarnation
	Windows     Windows
	Objective   func(table.KindID) table.Objective // current objective of a kind; zero if there is none
}

type counts map[string]*Count

type bucket struct {
	kinds, instances, workers counts
}

type latencyKey struct {
	index int64
	kind  table.KindID
}

// Recorder counts the requests of one entry host process.
type Recorder struct {
	cfg Config

	mu        sync.Mutex
	seq       uint64
	buckets   map[int64]*bucket
	latencies map[latencyKey]*hdrhistogram.Histogram
}

// NewRecorder returns an empty recorder.
func NewRecorder(cfg Config) *Recorder {
	return &Recorder{
		cfg:       cfg,
		buckets:   map[int64]*bucket{},
		latencies: map[latencyKey]*hdrhistogram.Histogram{},
	}
}

// Observe counts one request at the given time. It is good if it was answered without a fault (ok) and within the
// latency objective of its kind.
func (r *Recorder) Observe(kind table.KindID, instance table.InstanceID, worker table.WorkerID, latency time.Duration, ok bool, at time.Time) {
	objective := r.cfg.Objective(kind)
	good := ok
	if objective.Latency > 0 && latency > time.Duration(objective.Latency)*time.Millisecond {
		good = false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.bucket(index(at, r.cfg.Windows.bucketWidth()))
	b.kinds.add(string(kind), good)
	b.instances.add(string(instance), good)
	b.workers.add(string(worker), good)
	if ok {
		r.observeLatency(kind, latency, at)
	}
}

func (r *Recorder) observeLatency(kind table.KindID, latency time.Duration, at time.Time) {
	key := latencyKey{index(at, r.cfg.Windows.histogramWidth()), kind}
	h := r.latencies[key]
	if h == nil && len(r.latencies) >= maxNames*(histogramsPerLong+1) {
		return
	}
	if h == nil {
		h = newHistogram()
		r.latencies[key] = h
	}
	value := min(max(latency.Microseconds(), 1), maxLatencyMicros)
	if err := h.RecordValue(value); err != nil {
		slog.Error("latency not recorded", "Kind", kind, "Error", err.Error())
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyMicros, significantFigures)
}

func (r *Recorder) bucket(i int64) *bucket {
	b := r.buckets[i]
	if b == nil {
		r.prune(i)
		b = &bucket{kinds: counts{}, instances: counts{}, workers: counts{}}
		r.buckets[i] = b
	}
	return b
}

// prune removes buckets and latencies older than the long window that ends with bucket newest.
func (r *Recorder) prune(newest int64) {
	ws := r.cfg.Windows
	end := time.Unix(0, newest*int64(ws.bucketWidth()))
	oldest := oldestIndex(end, ws.Long, ws.bucketWidth())
	maps.DeleteFunc(r.buckets, func(i int64, _ *bucket) bool { return i < oldest })
	oldestHistogram := index(end.Add(-ws.Long), ws.histogramWidth())
	maps.DeleteFunc(r.latencies, func(k latencyKey, _ *hdrhistogram.Histogram) bool { return k.index < oldestHistogram })
}

func (cs counts) add(name string, good bool) {
	if name == "" {
		return
	}
	c := cs[name]
	if c == nil && len(cs) >= maxNames {
		name = otherName
		c = cs[name]
	}
	if c == nil {
		c = &Count{Name: name}
		cs[name] = c
	}
	if good {
		c.Good++
		return
	}
	c.Bad++
}

func (cs counts) sorted() []Count {
	list := make([]Count, 0, len(cs))
	for _, c := range cs {
		list = append(list, *c)
	}
	slices.SortFunc(list, func(a, b Count) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// Snapshot returns the counts of the long window under the next sequence number.
func (r *Recorder) Snapshot(now time.Time) Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.prune(index(now, r.cfg.Windows.bucketWidth()))
	r.seq++
	s := Snapshot{Seat: r.cfg.Seat, Incarnation: r.cfg.Incarnation, Seq: r.seq, Taken: now}
	for _, i := range slices.Sorted(maps.Keys(r.buckets)) {
		b := r.buckets[i]
		s.Buckets = append(s.Buckets, Bucket{i, b.kinds.sorted(), b.instances.sorted(), b.workers.sorted()})
	}
	for key, h := range r.latencies {
		data, err := h.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
		if err != nil {
			slog.Error("latency histogram not encoded", "Kind", key.kind, "Error", err.Error())
			continue
		}
		s.Latencies = append(s.Latencies, Latencies{key.index, key.kind, data})
	}
	slices.SortFunc(s.Latencies, compareLatencies)
	return s
}

func compareLatencies(a, b Latencies) int {
	if a.Index != b.Index {
		return int(a.Index - b.Index)
	}
	return strings.Compare(string(a.Kind), string(b.Kind))
}
