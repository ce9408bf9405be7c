package route

import "sync"

// maxRetryTokens is the most retries in a burst; it also lets a host retry after an idle time.
const maxRetryTokens = 20

// retryBudget bounds retries and hedges to a share of requests.
type retryBudget struct {
	share float64

	mu     sync.Mutex
	tokens float64
}

func newRetryBudget(share float64) *retryBudget {
	b := &retryBudget{share: share}
	if share > 0 {
		b.tokens = maxRetryTokens
	}
	return b
}

// deposit adds the share of one request.
func (b *retryBudget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(maxRetryTokens, b.tokens+b.share)
}

// tryWithdraw takes the price of one retry, if it is there.
func (b *retryBudget) tryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
