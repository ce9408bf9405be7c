package route

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"persimmonpick/table"
)

const (
	// histogramPeriod is the time covered by one histogram. Quantiles use the last histogramCount of them.
	histogramPeriod = 10 * time.Second
	histogramCount  = 3
	// minHedgeSamples is the number of recent latencies of a kind without which it is not hedged.
	minHedgeSamples  = 50
	hedgePercentile  = 95
	maxLatencyMicros = int64(time.Minute / time.Microsecond)
)

// latencyTracker holds the recent latencies of each kind.
type latencyTracker struct {
	mu    sync.Mutex
	kinds map[table.KindID]*kindLatencies
}

type kindLatencies struct {
	window       *hdrhistogram.WindowedHistogram
	rotated      time.Time     // when the current histogram began
	unmerged     int           // latencies recorded since p95 was updated
	p95          time.Duration // 0 if there were too few samples
	p95UpdatedAt time.Time
}

func newLatencyTracker() *latencyTracker {
	return &latencyTracker{kinds: map[table.KindID]*kindLatencies{}}
}

func (t *latencyTracker) add(kind table.KindID, latency time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := t.kinds[kind]
	if k == nil {
		k = &kindLatencies{window: hdrhistogram.NewWindowed(histogramCount, 1, maxLatencyMicros, 2), rotated: now}
		t.kinds[kind] = k
	}
	k.rotate(now)
	// RecordValue fails only for values out of range.
	_ = k.window.Current.RecordValue(min(maxLatencyMicros, max(1, latency.Microseconds())))
	k.unmerged++
}

// rotate begins a histogram for each period that has passed; those of the window's periods are enough.
func (k *kindLatencies) rotate(now time.Time) {
	for n := 0; n < histogramCount && now.Sub(k.rotated) >= histogramPeriod; n++ {
		k.window.Rotate()
		k.rotated = k.rotated.Add(histogramPeriod)
	}
	if now.Sub(k.rotated) >= histogramPeriod {
		k.rotated = now
	}
}

// hedgeDelay returns the p95 latency of a kind, or 0 if there are too few samples. Merging the histograms is
// expensive, so the result is cached for a second; only the first samples that suffice take effect at once.
func (t *latencyTracker) hedgeDelay(kind table.KindID, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := t.kinds[kind]
	if k == nil {
		return 0
	}
	if now.Sub(k.p95UpdatedAt) >= time.Second || (k.p95 == 0 && k.unmerged >= minHedgeSamples) {
		k.rotate(now)
		k.updateP95(now)
	}
	return k.p95
}

func (k *kindLatencies) updateP95(now time.Time) {
	k.p95, k.p95UpdatedAt, k.unmerged = 0, now, 0
	if merged := k.window.Merge(); merged.TotalCount() >= minHedgeSamples {
		k.p95 = time.Duration(merged.ValueAtQuantile(hedgePercentile)) * time.Microsecond
	}
}
