package entry

import "sync"

// deferred collects functions that other goroutines want run on the control goroutine.
type deferred struct {
	mu    sync.Mutex
	calls []func()
}

func (d *deferred) add(f func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls = append(d.calls, f)
}

func (d *deferred) run() {
	d.mu.Lock()
	calls := d.calls
	d.calls = nil
	d.mu.Unlock()
	for _, f := range calls {
		f()
	}
}
