package placement

import (
	"cmp"
	"slices"
	"time"

	"persimmonpick/queue"
	"persimmonpick/table"
)

// maxReservations bounds the jobs that hold a reservation at the same time.
const maxReservations = 4

// Reservations keeps places free for large jobs that do not fit. The zero value is ready to use; nil keeps none.
//
// The workers and the time of a reservation are fixed when it is made. After that time only work that fits beside the
// reserved job is placed on them, so the job starts eventually even if the estimates were wrong.
type Reservations struct {
	list []reservation
}

// reservation is the set of places reserved for one job.
type reservation struct {
	job   table.JobID
	need  table.Resources
	at    time.Time // estimated time at which all places are free
	tasks map[table.WorkerID]int
}

func (r *Reservations) clear() {
	if r != nil {
		r.list = nil
	}
}

// prune drops reservations of jobs that are final or gone, and those with a worker that is not open for new work.
func (r *Reservations) prune(t *table.Tables, list []*workerState) {
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
		for id := range v.tasks {
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

func (r *Reservations) hasJob(id table.JobID) bool {
	return r != nil && slices.ContainsFunc(r.list, func(v reservation) bool { return v.job == id })
}

// allows reports whether one task of e may start on s without delaying, by estimate, a reservation on s.
func (r *Reservations) allows(p *placer, s *workerState, e queue.Entry) bool {
	if r == nil {
		return true
	}
	for _, v := range r.list {
		n := v.tasks[s.w.ID]
		if n == 0 || v.job == e.Job.ID {
			continue
		}
		if !p.now.Add(e.RunTime).After(v.at) {
			continue
		}
		if !e.Need.Fits(p.remainingBeside(s, v, n)) {
			return false
		}
	}
	return true
}

// remainingBeside returns what s has left at the time of v once v has its n places and the tasks that outlast
// it have theirs.
func (p *placer) remainingBeside(s *workerState, v reservation, n int) table.Resources {
	left := s.free
	for _, task := range s.held {
		if !p.estimatedEnd(task).After(v.at) {
			left = left.Plus(task.Lease.Need)
		}
	}
	for range n {
		left = left.Minus(v.need)
	}
	return left
}

// estimatedEnd estimates when a task ends; it may lie in the past.
func (p *placer) estimatedEnd(task *table.Task) time.Time {
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

// opening is a place for one task of a reservation and the time from which it is free.
type opening struct {
	at time.Time
	s  *workerState
}

// reserve reserves the earliest places for all tasks of e, if there are enough on workers without a reservation.
func (r *Reservations) reserve(p *placer, e queue.Entry) {
	if r == nil || len(r.list) >= maxReservations || r.hasJob(e.Job.ID) {
		return
	}
	var list []opening
	for _, s := range p.workers {
		if s.open && !r.hasWorker(s.w.ID) {
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
		// There is room now, so the job is not blocked by its size.
		return
	}
	v := reservation{job: e.Job.ID, need: e.Need, at: list[len(list)-1].at, tasks: map[table.WorkerID]int{}}
	for _, o := range list {
		v.tasks[o.s.w.ID]++
	}
	r.list = append(r.list, v)
}

// due reports whether s has a place reserved for job id whose time has come.
func (r *Reservations) due(id table.JobID, s *workerState, now time.Time) bool {
	return r != nil && slices.ContainsFunc(r.list, func(v reservation) bool {
		return v.job == id && v.tasks[s.w.ID] > 0 && !now.Before(v.at)
	})
}

func (r *Reservations) hasWorker(id table.WorkerID) bool {
	return slices.ContainsFunc(r.list, func(v reservation) bool { return v.tasks[id] > 0 })
}

// openings returns the times at which s will have places for tasks of e as the tasks on it end, at most one per
// task of e.
func (p *placer) openings(s *workerState, e queue.Entry) []opening {
	if !e.Need.Fits(s.batchCapacity()) || !p.interferenceAllowsAlone(s, e) {
		return nil
	}
	ends := p.estimatedEnds(s)
	var list []opening
	headroom := s.headroom(p.in.Policy.UrgentHeadroom)
	free := s.free.Minus(headroom)
	at := p.now
	for i := 0; ; i++ {
		if i == len(ends) && len(list) == 0 {
			// Without batch work the headroom may be used, as in fits.
			free = free.Plus(headroom)
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

// estimatedEnd is the time at which a held task is expected to end, and the resources it then releases.
type estimatedEnd struct {
	at   time.Time
	need table.Resources
	id   table.TaskID
}

// estimatedEnds returns the estimated ends of the tasks on s in order of time.
func (p *placer) estimatedEnds(s *workerState) []estimatedEnd {
	list := make([]estimatedEnd, 0, len(s.held))
	for _, task := range s.held {
		list = append(list, estimatedEnd{p.estimatedEnd(task), task.Lease.Need, task.ID})
	}
	slices.SortFunc(list, func(a, b estimatedEnd) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.id, b.id))
	})
	return list
}
