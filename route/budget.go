package route

import "sync"

// maxTokens is the most retries in a burst; it also lets a host retry after an idle time.
const maxTokens = 20

// budget bounds retries and hedges to a share of requests.
type budget struct {
	share float64

	mu     sync.Mutex
	tokens float64
}

func newBudget(share float64) *budget {
	b := &budget{share: share}
	if share > 0 {
		b.tokens = maxTokens
	}
	return b
}

// earn adds the share of one request.
func (b *budget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(maxTokens, b.tokens+b.share)
}

// spend takes the price of one retry, if it is there.
func (b *budget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
