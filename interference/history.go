package interference

import (
	"slices"
	"time"

	"persimmonpick/table"
)

// maxStates bounds what is kept for one worker.
const maxStates = 128

// History remembers for a short time what ran on which worker, as usage reports arrive late.
type History struct {
	Keep    time.Duration // how far back it reaches
	workers map[table.WorkerID][]state
}

type state struct {
	from time.Time
	near []Neighbour
}

// NewHistory returns an empty history that reaches back for keep.
func NewHistory(keep time.Duration) *History {
	return &History{Keep: keep, workers: map[table.WorkerID][]state{}}
}

// Record records that ns run on w from now on; ns is sorted by kind and is not changed later.
func (h *History) Record(now time.Time, w table.WorkerID, ns []Neighbour) {
	list := h.workers[w]
	if n := len(list); n > 0 && slices.Equal(list[n-1].near, ns) {
		return
	}
	list = append(list, state{now, ns})
	h.workers[w] = list[h.expired(list, now):]
}

// expired returns how many states of list ended too long ago.
func (h *History) expired(list []state, now time.Time) int {
	n := max(0, len(list)-maxStates)
	for n+1 < len(list) && now.Sub(list[n+1].from) > h.Keep {
		n++
	}
	return n
}

// At returns what ran on w at the given time; false where the history does not reach back that far.
func (h *History) At(w table.WorkerID, at time.Time) ([]Neighbour, bool) {
	list := h.workers[w]
	for i := len(list) - 1; i >= 0; i-- {
		if !list[i].from.After(at) {
			return list[i].near, true
		}
	}
	return nil, false
}

// Unchanged says whether what ran on w did not change between from and to.
func (h *History) Unchanged(w table.WorkerID, from, to time.Time) bool {
	for _, s := range h.workers[w] {
		if s.from.After(from) && !s.from.After(to) {
			return false
		}
	}
	return true
}

// Retain drops the workers for which keep is false.
func (h *History) Retain(keep func(table.WorkerID) bool) {
	for w := range h.workers {
		if !keep(w) {
			delete(h.workers, w)
		}
	}
}
