package route

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// After a quiet time a few fast answers say nothing about the tail; hedging by them would send most requests twice.
func TestHedgeDelayNeedsRecentSamples(t *testing.T) {
	is := is.New(t)
	tracker, now := newLatencyTracker(), time.Unix(1000, 0)
	for range minHedgeSamples {
		tracker.add("k", 100*time.Millisecond, now)
	}
	is.True(tracker.hedgeDelay("k", now) >= 95*time.Millisecond)

	now = now.Add(histogramCount * histogramPeriod)
	is.Equal(tracker.hedgeDelay("k", now), time.Duration(0)) // all samples are old
	tracker.add("k", time.Millisecond, now)
	is.Equal(tracker.hedgeDelay("k", now.Add(time.Second)), time.Duration(0)) // one is too few
	for range minHedgeSamples {
		tracker.add("k", time.Millisecond, now)
	}
	delay := tracker.hedgeDelay("k", now.Add(2*time.Second))
	is.True(delay > 0)
	is.True(delay < 10*time.Millisecond) // old samples do not count
}
