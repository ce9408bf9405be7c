package route

import "sync"

// maxRetryTokens is the capacity of the token bucket, and thereby the largest burst of retries. The bucket
// starts full, so that a host with few requests can retry, too.
const maxRetryTokens = 20

// retryBudget is a token bucket that limits retries and hedges to a share of the requests.
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

// tryWithdraw takes the token for one retry or hedge and reports whether there was one.
func (b *retryBudget) tryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
