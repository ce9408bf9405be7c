package placement

import (
	"cmp"
	"slices"
	"time"

	"persimmonpick/queue"
	"persimmonpick/table"
)

// maxReservations bounds the entries that hold reservations at once.
const maxReservations = 4

// Reservations keeps places for blocked large jobs; the zero value is ready, and nil keeps none.
//
// The workers and the time of a reservation are fixed when it is made. After that time only work that fits beside it is placed there, so the job starts in the end whatever the estimates were.
type Reservations struct {
	list []reservation
}

type reservation struct {
	job   table.JobID
	need  table.Resources
	at    time.Time // when by estimate the places are free
	units map[table.WorkerID]int
}

func (r *Reservations) clear() {
	if r != nil {
		r.list = nil
	}
}

// keep drops reservations that make no sense any more.
func (r *Reservations) keep(t *table.Tables, list []*site) {
	if r == nil {
		return
	}
	open := make(map[table.WorkerID]bool, len(list))
	for _, s := range list {
		open[s.w.ID] = s.open
	}
	r.list = slices.DeleteFunc(r.list, func(v reservation) bool {
		j := t.Jobs[v.job]
		if j == nil || j.State.Final() {
			return true
		}
		for id := range v.units {
			if !open[id] {
				return true
			}
		}
		return false
	})
}

func (r *Reservations) drop(id table.JobID) {
	if r != nil {
		r.list = slices.DeleteFunc(r.list, func(v reservation) bool { return v.job == id })
	}
}

func (r *Reservations) holds(id table.JobID) bool {
	return r != nil && slices.ContainsFunc(r.list, func(v reservation) bool { return v.job == id })
}

// passes says whether one task of e may start on s without delaying a reservation there by estimate.
func (r *Reservations) passes(p *tick, s *site, e queue.Entry) bool {
	if r == nil {
		return true
	}
	for _, v := range r.list {
		n := v.units[s.w.ID]
		if n == 0 || v.job == e.Job.ID {
			continue
		}
		if !p.now.Add(e.RunTime).After(v.at) {
			continue
		}
		if !e.Need.Fits(p.beside(s, v, n)) {
			return false
		}
	}
	return true
}

// beside returns what s has left at the time of v once v has its n places and the tasks that outlast it have theirs.
func (p *tick) beside(s *site, v reservation, n int) table.Resources {
	left := s.free
	for _, task := range s.held {
		if !p.end(task).After(v.at) {
			left = left.Plus(task.Lease.Need)
		}
	}
	for range n {
		left = left.Minus(v.need)
	}
	return left
}

// end estimates when a task ends; it may lie in the past.
func (p *tick) end(task *table.Task) time.Time {
	run := queue.DeclaredRunTime
	if p.in.Queue.RunTime != nil {
		run = p.in.Queue.RunTime
	}
	from := time.UnixMilli(int64(task.Lease.Granted))
	if j := p.t.Jobs[task.Job]; j != nil {
		return from.Add(run(j))
	}
	return from
}

// opening is a place for one task of the reserved size and the time it is free.
type opening struct {
	at time.Time
	s  *site
}

// make reserves the earliest places for all tasks of e, if there are enough.
func (r *Reservations) make(p *tick, e queue.Entry) {
	if r == nil || len(r.list) >= maxReservations || r.holds(e.Job.ID) {
		return
	}
	var list []opening
	for _, s := range p.sites {
		if s.open && !r.reserved(s.w.ID) {
			list = append(list, p.openings(s, e)...)
		}
	}
	if len(list) < len(e.Tasks) {
		return
	}
	slices.SortStableFunc(list, func(a, b opening) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.s.w.ID, b.s.w.ID))
	})
	list = list[:len(e.Tasks)]
	if !list[len(list)-1].at.After(p.now) {
		// There is room now, and something else than size keeps the job waiting.
		return
	}
	v := reservation{job: e.Job.ID, need: e.Need, at: list[len(list)-1].at, units: map[table.WorkerID]int{}}
	for _, o := range list {
		v.units[o.s.w.ID]++
	}
	r.list = append(r.list, v)
}

// due says whether s holds a place for job id whose time has come.
func (r *Reservations) due(id table.JobID, s *site, now time.Time) bool {
	return r != nil && slices.ContainsFunc(r.list, func(v reservation) bool {
		return v.job == id && v.units[s.w.ID] > 0 && !now.Before(v.at)
	})
}

func (r *Reservations) reserved(id table.WorkerID) bool {
	return slices.ContainsFunc(r.list, func(v reservation) bool { return v.units[id] > 0 })
}

// openings returns when s has places for tasks of e, as the tasks that it holds end.
func (p *tick) openings(s *site, e queue.Entry) []opening {
	if !e.Need.Fits(s.offer()) || !p.bearableAlone(s, e) {
		return nil
	}
	ends := p.ends(s)
	var list []opening
	spare := s.headroom(p.in.Policy.UrgentHeadroom)
	free := s.free.Minus(spare)
	at := p.now
	for i := 0; ; i++ {
		if i == len(ends) && len(list) == 0 {
			free = free.Plus(spare)
		}
		for len(list) < len(e.Tasks) && e.Need.Fits(free) {
			free = free.Minus(e.Need)
			list = append(list, opening{at, s})
		}
		if i == len(ends) || len(list) == len(e.Tasks) {
			return list
		}
		free = free.Plus(ends[i].need)
		if ends[i].at.After(at) {
			at = ends[i].at
		}
	}
}

// ending is when a held task is expected to end and what it frees.
type ending struct {
	at   time.Time
	need table.Resources
	id   table.TaskID
}

// ends returns the ends of the tasks that s holds, in order of time.
func (p *tick) ends(s *site) []ending {
	list := make([]ending, 0, len(s.held))
	for _, task := range s.held {
		list = append(list, ending{p.end(task), task.Lease.Need, task.ID})
	}
	slices.SortFunc(list, func(a, b ending) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.id, b.id))
	})
	return list
}
