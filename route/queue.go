package route

import (
	"sync"
	"time"

	"persimmonpick/fault"
	"persimmonpick/table"
)

const (
	// rateWindow is how long grants are counted for one measurement of their rate; they come in bursts as short as one request.
	rateWindow = 50 * time.Millisecond
	// rateAge is how long a measured rate says something about a queue that was empty in between.
	rateAge = time.Second
	// waitMargin allows for the error of the estimate, as a request that is refused late has waited in vain.
	waitMargin = 1.15
)

// grant is the right to send a request to an instance.
type grant struct {
	inst    table.Instance
	release func()
}

// waiter is a request that waits for a slot of its service.
type waiter struct {
	req   *Request
	tried map[table.InstanceID]bool
	ready chan grant // holds at most one grant
}

// queue holds the requests of one service that wait for a slot, in order of arrival.
type queue struct {
	wake chan struct{} // holds one signal when a slot may have come free

	mu        sync.Mutex
	waiting   []*waiter
	pumping   bool
	borrowing int           // calls to owners in flight
	interval  time.Duration // average time between grants while requests wait; 0 if unknown
	counted   int           // grants since window
	window    time.Time     // when the current measurement began
	granted   time.Time     // last grant, or when the first request began to wait
}

func newQueue() *queue {
	return &queue{wake: make(chan struct{}, 1)}
}

func (q *queue) signal() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

func (q *queue) length() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting)
}

// join adds w, or refuses it when the queue is full or w would not be served within left; start says that a pump must be started.
func (q *queue) join(w *waiter, limit int, left, usual time.Duration) (start bool, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	if len(q.waiting) >= limit {
		return false, fault.New(fault.Overloaded, "%d requests wait already", len(q.waiting))
	}
	if len(q.waiting) == 0 {
		q.restart(now)
	} else if wait := q.estimate(now); wait+usual > left {
		return false, fault.New(fault.Overloaded, "estimated wait %v and usual latency %v exceed the %v left", wait, usual, left)
	}
	q.waiting = append(q.waiting, w)
	start = !q.pumping
	q.pumping = true
	return start, nil
}

// estimate returns how long a request that joins now would wait; where nothing was granted for longer, that time counts.
func (q *queue) estimate(now time.Time) time.Duration {
	wait := float64(len(q.waiting)+1) * float64(q.interval) * waitMargin
	return max(time.Duration(wait), now.Sub(q.granted))
}

// restart begins to measure the rate of grants when the first request waits.
func (q *queue) restart(now time.Time) {
	if now.Sub(q.granted) > rateAge {
		q.interval = 0
	}
	q.granted = now
	q.window = now
	q.counted = 0
}

// count measures the rate of grants.
func (q *queue) count(now time.Time) {
	q.granted = now
	q.counted++
	elapsed := now.Sub(q.window)
	if elapsed < rateWindow {
		return
	}
	interval := elapsed / time.Duration(q.counted)
	if q.interval > 0 {
		interval = (interval + q.interval) / 2
	}
	q.interval = interval
	q.window = now
	q.counted = 0
}

// leave removes w and reports false if it was granted already.
func (q *queue) leave(w *waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i, other := range q.waiting {
		if other == w {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// head returns the first waiter and how many there are; with none the pump has ended.
func (q *queue) head() (*waiter, int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) == 0 {
		q.pumping = false
		return nil, 0
	}
	return q.waiting[0], len(q.waiting)
}

// give grants g to w if it still is the first, and reports whether it did.
func (q *queue) give(w *waiter, g grant) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) == 0 || q.waiting[0] != w {
		return false
	}
	q.count(time.Now())
	q.waiting[0] = nil
	q.waiting = q.waiting[1:]
	w.ready <- g
	return true
}

// startBorrow counts a call to an owner and reports false if enough are in flight.
func (q *queue) startBorrow(limit int) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.borrowing >= limit {
		return false
	}
	q.borrowing++
	return true
}

// endBorrow lets the pump look for what the call brought.
func (q *queue) endBorrow() {
	q.cancelBorrow()
	q.signal()
}

// cancelBorrow takes back startBorrow where there was nobody to ask.
func (q *queue) cancelBorrow() {
	q.mu.Lock()
	q.borrowing--
	q.mu.Unlock()
}
