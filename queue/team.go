package queue

import (
	"container/heap"

	"persimmonpick/table"
)

// team is the usage and the queued jobs of one team during a tick.
type team struct {
	id            table.TeamID
	quota         table.Resources
	weight        float64
	total         table.Resources   // of all workers
	used          table.Resources   // includes the entries taken in this tick
	weightedShare float64           // dominant share of used, divided by weight
	jobs          [numRanks]jobHeap // by rank
}

func newTeam(t *table.Tables, id table.TeamID, total table.Resources) *team {
	tm := &team{id: id, weight: 1, total: total}
	tm.charge(t.TeamUsed[id])
	if e := t.Teams[id]; e != nil {
		tm.quota = e.Quota
		if e.Weight > 0 {
			tm.weight = e.Weight
		}
	}
	tm.charge(table.Resources{})
	return tm
}

// charge adds r to the used resources and recomputes the share.
func (tm *team) charge(r table.Resources) {
	tm.used = tm.used.Plus(r)
	tm.weightedShare = dominantShare(tm.used, tm.total) / tm.weight
}

func (tm *team) share() float64 {
	return tm.weightedShare
}

// fitsQuota reports whether the next entry of w fits into the unused quota.
func (tm *team) fitsQuota(w *pendingJob) bool {
	return tm.used.Plus(w.nextSize()).Fits(tm.quota)
}

// couldFitQuota reports whether the next entry of w would fit into the quota if no other task of the team ran.
func (tm *team) couldFitQuota(w *pendingJob) bool {
	return w.nextSize().Fits(tm.quota)
}

// dropFromRank drops the remaining jobs of rank r and all jobs of the ranks after it, for this tick.
func (tm *team) dropFromRank(r rank) {
	for ; r < numRanks; r++ {
		tm.jobs[r] = nil
	}
}

// removeJob removes the job from the queue, if it is still there, and recomputes the share.
func (tm *team) removeJob(id table.JobID) {
	tm.charge(table.Resources{})
	for r := range tm.jobs {
		for i, w := range tm.jobs[r] {
			if w.job.ID == id {
				heap.Remove(&tm.jobs[r], i)
				return
			}
		}
	}
}

// nextSize returns the resources of the next entry of w.
func (w *pendingJob) nextSize() table.Resources {
	if w.job.Gang {
		return times(w.need, len(w.tasks))
	}
	return w.need
}

func totalCapacity(t *table.Tables) table.Resources {
	var sum table.Resources
	for _, w := range t.Workers {
		if !w.Gone {
			sum = sum.Plus(w.Capacity)
		}
	}
	return sum
}

// dominantShare returns the largest share of total that r takes in any dimension.
func dominantShare(r, total table.Resources) float64 {
	return max(
		ratio(int64(r.CPU), int64(total.CPU)),
		ratio(int64(r.Memory), int64(total.Memory)),
		ratio(int64(r.Accelerators), int64(total.Accelerators)),
	)
}

// ratio returns a/b, or 0 if b is not positive.
func ratio(a, b int64) float64 {
	if b <= 0 {
		return 0
	}
	return float64(a) / float64(b)
}

// jobHeap is a heap.Interface ordered by key, then by job ID.
type jobHeap []*pendingJob

func (h jobHeap) Len() int { return len(h) }

func (h jobHeap) Less(i, k int) bool {
	if h[i].key != h[k].key {
		return h[i].key < h[k].key
	}
	return h[i].job.ID < h[k].job.ID
}

func (h jobHeap) Swap(i, k int) { h[i], h[k] = h[k], h[i] }

func (h *jobHeap) Push(x any) { *h = append(*h, x.(*pendingJob)) }

func (h *jobHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	*h = old[:len(old)-1]
	return w
}
