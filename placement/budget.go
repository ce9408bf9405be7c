package placement

import "time"

// burstShare is the share of an hour's evictions that may happen at once.
const burstShare = 0.25

// Budget is a token bucket of evictions.
type Budget struct {
	tokens   float64
	refilled time.Time
}

// refill adds what the time since the last call earned; rate is in evictions an hour.
func (b *Budget) refill(now time.Time, rate float64) {
	most := max(1, rate*burstShare)
	if rate <= 0 {
		b.tokens = 0
		return
	}
	if b.refilled.IsZero() {
		b.tokens = most
	} else {
		b.tokens = min(most, b.tokens+rate*now.Sub(b.refilled).Hours())
	}
	b.refilled = now
}

// spend takes one eviction out and says whether there was one.
func (b *Budget) spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
