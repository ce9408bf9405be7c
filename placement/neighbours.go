package placement

import (
	"cmp"
	"slices"

	"persimmonpick/interference"
	"persimmonpick/table"
)

// Neighbours returns the batch work of the held tasks on w by kind, in order of kinds. share returns the share of its
// processors that a task may use; nil means all.
func Neighbours(t *table.Tables, w *table.Worker, held []*table.Task, share func(*table.Task) float64) []interference.Neighbour {
	ns := []interference.Neighbour{}
	for _, task := range held {
		j := t.Jobs[task.Job]
		if j == nil {
			continue
		}
		weight := cpuShare(task.Lease.Need, w)
		if share != nil {
			weight *= share(task)
		}
		ns = addNeighbour(ns, j.Kind, weight)
	}
	slices.SortFunc(ns, func(a, b interference.Neighbour) int { return cmp.Compare(a.Kind, b.Kind) })
	return ns
}

// cpuShare returns the share of the processors of w that need takes.
func cpuShare(need table.Resources, w *table.Worker) float64 {
	if w.Capacity.CPU <= 0 {
		return 0
	}
	return float64(need.CPU) / float64(w.Capacity.CPU)
}

// addNeighbour returns ns with weight added to kind k.
func addNeighbour(ns []interference.Neighbour, k table.KindID, weight float64) []interference.Neighbour {
	for i := range ns {
		if ns[i].Kind == k {
			ns[i].Weight += weight
			return ns
		}
	}
	return append(ns, interference.Neighbour{Kind: k, Weight: weight})
}
