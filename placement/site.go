package placement

import (
	"cmp"
	"slices"

	"persimmonpick/interference"
	"persimmonpick/queue"
	"persimmonpick/table"
)

// site is the state of one worker during a tick.
type site struct {
	w         *table.Worker
	open      bool
	free      table.Resources // less what this tick granted
	held      []*table.Task   // tasks that hold leases there
	granted   int             // tasks granted in this tick
	coming    table.Resources // of revoked tasks that have not stopped yet
	claimed   table.Resources // kept for urgent work that waits for coming
	instances []*table.Instance
	near      []interference.Neighbour // nil until asked for
}

// sites returns the workers of t in order of ids.
func sites(t *table.Tables, scan *queue.Scan, avoid map[table.WorkerID]bool) []*site {
	all := make([]site, len(t.Workers))
	list := make([]*site, 0, len(t.Workers))
	byID := make(map[table.WorkerID]*site, len(t.Workers))
	for id, w := range t.Workers {
		s := &all[len(list)]
		*s = site{w: w, open: t.Schedulable(w) && !avoid[id], free: w.Free(), held: scan.Held[id]}
		for _, task := range s.held {
			if task.State == table.TaskRevoking {
				s.coming = s.coming.Plus(task.Lease.Need)
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
	slices.SortFunc(list, func(a, b *site) int { return cmp.Compare(a.w.ID, b.w.ID) })
	return list
}

// batchFree says whether no batch task holds or was granted a place on s.
func (s *site) batchFree() bool {
	return len(s.held) == 0 && s.granted == 0
}

// offer returns what s can give to batch work with no batch task on it.
func (s *site) offer() table.Resources {
	o := s.w.Capacity
	for _, in := range s.instances {
		o = o.Minus(in.Need)
	}
	return o
}

// neighbours returns the batch work on s by kind, with what this tick granted.
func (p *tick) neighbours(s *site) []interference.Neighbour {
	if s.near == nil {
		s.near = Neighbours(p.t, s.w, s.held, p.in.Share)
	}
	return s.near
}

// headroom returns what normal batch work must leave free on s.
func (s *site) headroom(share float64) table.Resources {
	return table.Resources{
		CPU:    table.Millicores(share * float64(s.w.Capacity.CPU)),
		Memory: table.Bytes(share * float64(s.w.Capacity.Memory)),
	}
}
