package route

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"persimmonpick/table"
)

const (
	// tailWindow is how long one histogram collects latencies; the last tailWindows of them count.
	tailWindow  = 10 * time.Second
	tailWindows = 3
	// tailSamples is how many latencies a quantile must rest on.
	tailSamples = 50
	hedgeAt     = 95 // percent
	longest     = int64(time.Minute / time.Microsecond)
)

// tails holds the recent latencies of each kind.
type tails struct {
	mu    sync.Mutex
	kinds map[table.KindID]*tail
}

type tail struct {
	window  *hdrhistogram.WindowedHistogram
	rotated time.Time
	count   int
	p95     time.Duration
	p95At   time.Time
}

func newTails() *tails {
	return &tails{kinds: map[table.KindID]*tail{}}
}

func (t *tails) add(kind table.KindID, latency time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := t.kinds[kind]
	if k == nil {
		k = &tail{window: hdrhistogram.NewWindowed(tailWindows, 1, longest, 2), rotated: now}
		t.kinds[kind] = k
	}
	if now.Sub(k.rotated) >= tailWindow {
		k.window.Rotate()
		k.rotated = now
	}
	_ = k.window.Current.RecordValue(min(longest, max(1, latency.Microseconds()))) // in range
	k.count++
}

// hedgeDelay returns the p95 of a kind, 0 if too little is known; merging the windows is costly, so the value is kept for a second.
func (t *tails) hedgeDelay(kind table.KindID, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := t.kinds[kind]
	if k == nil || k.count < tailSamples {
		return 0
	}
	if now.Sub(k.p95At) >= time.Second {
		k.p95At = now
		k.p95 = time.Duration(k.window.Merge().ValueAtQuantile(hedgeAt)) * time.Microsecond
	}
	return k.p95
}
