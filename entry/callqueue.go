package entry

import "sync"

// callQueue collects functions to run on the control goroutine. It is safe for concurrent use.
type callQueue struct {
	mu    sync.Mutex
	calls []func()
}

func (q *callQueue) add(f func()) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.calls = append(q.calls, f)
}

func (q *callQueue) run() {
	q.mu.Lock()
	calls := q.calls
	q.calls = nil
	q.mu.Unlock()
	for _, f := range calls {
		f()
	}
}
