package route

import (
	"sync"
	"time"

	"persimmonpick/fault"
	"persimmonpick/table"
)

const (
	// rateWindow is the shortest period over which the rate of grants is measured. Grants come in bursts, which can
	// be as short as one request.
	rateWindow = 50 * time.Millisecond
	// maxRateAge is how long a measured rate remains valid while the queue is empty.
	maxRateAge = time.Second
	// pauseFactor is the multiple of the usual latency above which the time without a grant is a pause: with at least
	// one slot in use a grant comes about once in that latency.
	pauseFactor = 3
	// waitMargin allows for the error of the estimate: a request that is refused late has waited in vain.
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
	wake chan struct{} // holds one signal when a slot may have become free

	mu              sync.Mutex
	waiting         []*waiter
	granting        bool
	borrowsInFlight int           // borrow calls to slot owners in flight
	grantInterval   time.Duration // average time between grants while requests wait; 0 if unknown
	grantsInWindow  int           // grants since windowStart
	windowStart     time.Time     // start of the current measurement
	windowEnd       time.Time     // the first grant from then on ends the current measurement
	windowExtended  bool          // windowEnd was put off after a pause
	lastGrant       time.Time     // last grant, or when the first request began to wait
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

// enqueue adds w to the queue. It refuses w if the queue is full or if the estimated wait and the usual
// latency exceed the time left. start reports that the caller must start grantSlots.
func (q *queue) enqueue(w *waiter, limit int, left, usual time.Duration) (start bool, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	if len(q.waiting) >= limit {
		return false, fault.New(fault.Overloaded, "%d requests wait already", len(q.waiting))
	}
	if len(q.waiting) == 0 {
		q.restartRate(now)
	} else if wait := q.estimatedWait(now); wait+usual > left {
		return false, fault.New(fault.Overloaded, "estimated wait %v and usual latency %v exceed the %v left", wait, usual, left)
	}
	q.waiting = append(q.waiting, w)
	start = !q.granting
	q.granting = true
	return start, nil
}

// estimatedWait returns how long a request that is enqueued now would wait. If no slot was granted for longer
// than that, it returns the time since the last grant.
func (q *queue) estimatedWait(now time.Time) time.Duration {
	wait := float64(len(q.waiting)+1) * float64(q.grantInterval) * waitMargin
	return max(time.Duration(wait), now.Sub(q.lastGrant))
}

// restartRate starts a new measurement of the grant rate when a request enters an empty queue.
func (q *queue) restartRate(now time.Time) {
	if now.Sub(q.lastGrant) > maxRateAge {
		q.grantInterval = 0
	}
	q.lastGrant = now
	q.startWindow(now)
}

func (q *queue) startWindow(now time.Time) {
	q.windowStart = now
	q.windowEnd = now.Add(rateWindow)
	q.windowExtended = false
	q.grantsInWindow = 0
}

// recordGrant updates the measured rate of grants. The first grant after a pause, as when a slot owner was silent,
// does not tell how fast further ones come, so the measurement goes on, but not again after a second pause.
func (q *queue) recordGrant(now time.Time, usual time.Duration) {
	paused := usual > 0 && now.Sub(q.lastGrant) > max(rateWindow, pauseFactor*usual)
	q.lastGrant = now
	q.grantsInWindow++
	if paused && !q.windowExtended {
		q.windowEnd = now.Add(rateWindow)
		q.windowExtended = true
	}
	if now.Before(q.windowEnd) {
		return
	}
	interval := now.Sub(q.windowStart) / time.Duration(q.grantsInWindow)
	if q.grantInterval > 0 {
		interval = (interval + q.grantInterval) / 2
	}
	q.grantInterval = interval
	q.startWindow(now)
}

// remove removes w and reports false if it was granted a slot already.
func (q *queue) remove(w *waiter) bool {
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

// head returns the first waiter and the number of waiters. If there is none, it marks grantSlots as ended.
func (q *queue) head() (*waiter, int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) == 0 {
		q.granting = false
		return nil, 0
	}
	return q.waiting[0], len(q.waiting)
}

// grantTo passes g to w if w is still the first waiter, and reports whether it did. usual is the usual latency, or
// 0 if unknown.
func (q *queue) grantTo(w *waiter, g grant, usual time.Duration) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) == 0 || q.waiting[0] != w {
		return false
	}
	q.recordGrant(time.Now(), usual)
	q.waiting[0] = nil
	q.waiting = q.waiting[1:]
	w.ready <- g
	return true
}

// startBorrow counts a borrow call to a slot owner. It reports false if limit calls are in flight already.
func (q *queue) startBorrow(limit int) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.borrowsInFlight >= limit {
		return false
	}
	q.borrowsInFlight++
	return true
}

// endBorrow ends a borrow call and wakes grantSlots to use the borrowed slots.
func (q *queue) endBorrow() {
	q.cancelBorrow()
	q.signal()
}

// cancelBorrow reverts startBorrow when there is no owner to ask.
func (q *queue) cancelBorrow() {
	q.mu.Lock()
	q.borrowsInFlight--
	q.mu.Unlock()
}
