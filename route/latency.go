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
	// minHedgeSamples is the number of latencies of a kind that must have been recorded before it is hedged.
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
	rotated      time.Time
	count        int
	p95          time.Duration
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
	if now.Sub(k.rotated) >= histogramPeriod {
		k.window.Rotate()
		k.rotated = now
	}
	// RecordValue fails only for values out of range.
	_ = k.window.Current.RecordValue(min(maxLatencyMicros, max(1, latency.Microseconds())))
	k.count++
}

// hedgeDelay returns the p95 latency of a kind, or 0 if there are too few samples. Merging the histograms is
// expensive, so the result is cached for a second.
func (t *latencyTracker) hedgeDelay(kind table.KindID, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := t.kinds[kind]
	if k == nil || k.count < minHedgeSamples {
		return 0
	}
	if now.Sub(k.p95UpdatedAt) >= time.Second {
		k.p95UpdatedAt = now
		k.p95 = time.Duration(k.window.Merge().ValueAtQuantile(hedgePercentile)) * time.Microsecond
	}
	return k.p95
}
