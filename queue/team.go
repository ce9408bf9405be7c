package queue

import (
	"container/heap"

	"persimmonpick/table"
)

// team is the state of one team during a tick.
type team struct {
	id     table.TeamID
	quota  table.Resources
	weight float64
	total  table.Resources // of all workers
	used   table.Resources // including what this tick granted
	ratio  float64         // weighted dominant share of used
	jobs   [numRanks]jobHeap
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

func (tm *team) charge(r table.Resources) {
	tm.used = tm.used.Plus(r)
	tm.ratio = dominantShare(tm.used, tm.total) / tm.weight
}

func (tm *team) share() float64 {
	return tm.ratio
}

// fitsQuota says whether the next entry of w fits the quota now.
func (tm *team) fitsQuota(w *pendingJob) bool {
	return tm.used.Plus(w.nextSize()).Fits(tm.quota)
}

// couldFitQuota says whether the next entry of w fits the quota once other tasks have ended.
func (tm *team) couldFitQuota(w *pendingJob) bool {
	return w.nextSize().Fits(tm.quota)
}

// holdLower drops the jobs that come after rank r and those left in it.
func (tm *team) holdLower(r rank) {
	for ; r < numRanks; r++ {
		tm.jobs[r] = nil
	}
}

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

// nextSize returns what the next entry of w holds.
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

// dominantShare returns the largest share of total over the dimensions of r.
func dominantShare(r, total table.Resources) float64 {
	return max(
		ratio(int64(r.CPU), int64(total.CPU)),
		ratio(int64(r.Memory), int64(total.Memory)),
		ratio(int64(r.Accelerators), int64(total.Accelerators)),
	)
}

func ratio(a, b int64) float64 {
	if b <= 0 {
		return 0
	}
	return float64(a) / float64(b)
}

// jobHeap orders jobs by key, then by id.
type jobHeap []*pendingJob

// Len returns the number of jobs.
func (h jobHeap) Len() int { return len(h) }

// Less says whether job i comes before job k.
func (h jobHeap) Less(i, k int) bool {
	if h[i].key != h[k].key {
		return h[i].key < h[k].key
	}
	return h[i].job.ID < h[k].job.ID
}

// Swap swaps two jobs.
func (h jobHeap) Swap(i, k int) { h[i], h[k] = h[k], h[i] }

// Push adds a job.
func (h *jobHeap) Push(x any) { *h = append(*h, x.(*pendingJob)) }

// Pop removes the last job.
func (h *jobHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	*h = old[:len(old)-1]
	return w
}
