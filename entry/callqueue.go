package entry

import "sync"

// callQueue collects functions to run on the control goroutine. It is safe for concurrent use.
type callQueue struct {
	mu    sync.Mutex
	calls []func()
}

func (d *callQueue) add(f func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls = append(d.calls, f)
}

func (d *callQueue) run() {
	d.mu.Lock()
	calls := d.calls
	d.calls = nil
	d.mu.Unlock()
	for _, f := range calls {
		f()
	}
}
