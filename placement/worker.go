package placement

import (
	"cmp"
	"slices"

	"persimmonpick/interference"
	"persimmonpick/queue"
	"persimmonpick/table"
)

// workerState is the state of one worker during one tick.
type workerState struct {
	w          *table.Worker
	open       bool
	free       table.Resources // without what this tick granted
	held       []*table.Task   // tasks that hold a lease on the worker
	granted    int             // tasks granted in this tick
	releasing  table.Resources // held by revoked tasks that have not stopped yet
	claimed    table.Resources // claimed by urgent work that waits for releasing
	instances  []*table.Instance
	neighbours []interference.Neighbour // nil until neighbours is called
}

// workerStates returns the states of the workers of t in order of IDs. No worker in avoid is open.
func workerStates(t *table.Tables, scan *queue.Scan, avoid map[table.WorkerID]bool) []*workerState {
	all := make([]workerState, len(t.Workers))
	list := make([]*workerState, 0, len(t.Workers))
	byID := make(map[table.WorkerID]*workerState, len(t.Workers))
	for id, w := range t.Workers {
		s := &all[len(list)]
		*s = workerState{w: w, open: t.Schedulable(w) && !avoid[id], free: w.Free(), held: scan.Held[id]}
		for _, task := range s.held {
			if task.State == table.TaskRevoking {
				s.releasing = s.releasing.Plus(task.Lease.Need)
			}
		}
		list = append(list, s)
		byID[id] = s
	}
	for _, in := range t.Instances {
		if s := byID[in.Worker]; s != nil {
			s.instances = append(s.instances, in)
		}
	}
	slices.SortFunc(list, func(a, b *workerState) int { return cmp.Compare(a.w.ID, b.w.ID) })
	return list
}

// withoutBatch reports whether no batch task holds a lease on s or was granted one in this tick.
func (s *workerState) withoutBatch() bool {
	return len(s.held) == 0 && s.granted == 0
}

// batchCapacity returns the capacity of s that its instances leave for batch work.
func (s *workerState) batchCapacity() table.Resources {
	o := s.w.Capacity
	for _, in := range s.instances {
		o = o.Minus(in.Need)
	}
	return o
}

// neighbours returns the batch work on s by kind, including what this tick granted.
func (p *placer) neighbours(s *workerState) []interference.Neighbour {
	if s.neighbours == nil {
		s.neighbours = Neighbours(p.t, s.w, s.held, p.in.Share)
	}
	return s.neighbours
}

// headroom returns the share of the capacity of s that batch work which is not urgent must leave free.
func (s *workerState) headroom(share float64) table.Resources {
	return table.Resources{
		CPU:    table.Millicores(share * float64(s.w.Capacity.CPU)),
		Memory: table.Bytes(share * float64(s.w.Capacity.Memory)),
	}
}
