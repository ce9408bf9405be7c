package placement

import "time"

// burstShare is the capacity of the token bucket, as a share of the evictions that an hour earns.
const burstShare = 0.25

// Budget is a token bucket that limits evictions; the zero value starts full at the first refill.
type Budget struct {
	tokens   float64
	refilled time.Time
}

// refill adds the tokens earned since the last call, at rate evictions an hour. A rate of 0 or less empties the
// bucket.
func (b *Budget) refill(now time.Time, rate float64) {
	burst := max(1, rate*burstShare)
	if rate <= 0 {
		b.tokens = 0
		return
	}
	if b.refilled.IsZero() {
		b.tokens = burst
	} else {
		b.tokens = min(burst, b.tokens+rate*now.Sub(b.refilled).Hours())
	}
	b.refilled = now
}

// spend takes one token and reports whether there was one.
func (b *Budget) spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
