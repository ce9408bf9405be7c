package interference

import (
	"slices"
	"time"

	"persimmonpick/table"
)

// maxIntervals bounds the intervals retained for one worker.
const maxIntervals = 128

// History keeps for a limited time which batch work ran on each worker, because usage reports arrive late.
type History struct {
	Retention time.Duration // how far back At reaches
	workers   map[table.WorkerID][]interval
}

// interval is a period in which the neighbours on a worker did not change; it lasts until the start of the next one.
type interval struct {
	start      time.Time
	neighbours []Neighbour
}

// NewHistory returns an empty history with the given retention.
func NewHistory(retention time.Duration) *History {
	return &History{Retention: retention, workers: map[table.WorkerID][]interval{}}
}

// Record records that ns run on w from now on. The history keeps ns, which must be sorted by kind and not be modified
// afterwards.
func (h *History) Record(now time.Time, w table.WorkerID, ns []Neighbour) {
	list := h.workers[w]
	if n := len(list); n > 0 && slices.Equal(list[n-1].neighbours, ns) {
		return
	}
	list = append(list, interval{now, ns})
	h.workers[w] = list[h.expired(list, now):]
}

// expired returns how many intervals at the start of list ended before the retention period or exceed maxIntervals.
func (h *History) expired(list []interval, now time.Time) int {
	n := max(0, len(list)-maxIntervals)
	for n+1 < len(list) && now.Sub(list[n+1].start) > h.Retention {
		n++
	}
	return n
}

// At returns the neighbours on w at the given time, and false if the history does not reach back that far.
func (h *History) At(w table.WorkerID, at time.Time) ([]Neighbour, bool) {
	list := h.workers[w]
	for i := len(list) - 1; i >= 0; i-- {
		if !list[i].start.After(at) {
			return list[i].neighbours, true
		}
	}
	return nil, false
}

// Unchanged reports whether the neighbours on w stayed the same after from and up to to.
func (h *History) Unchanged(w table.WorkerID, from, to time.Time) bool {
	for _, s := range h.workers[w] {
		if s.start.After(from) && !s.start.After(to) {
			return false
		}
	}
	return true
}

// Retain drops the workers for which keep returns false.
func (h *History) Retain(keep func(table.WorkerID) bool) {
	for w := range h.workers {
		if !keep(w) {
			delete(h.workers, w)
		}
	}
}
