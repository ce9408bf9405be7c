package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"persimmonpick/journal"
	"persimmonpick/queue"
	"persimmonpick/table"
)

// Factors on the cost of revoking a task.
const (
	nonIdempotentCost = 4.0 // it becomes Unknown if its worker is lost while it stops
	repeatCost        = 1.0 // added for each earlier eviction
	minLostSeconds    = 1.0 // so that a task that has just started still costs something
)

// ReasonUrgent is the reason of leases revoked to make room for urgent work.
const ReasonUrgent = "urgent work needs the place"

// preempt makes room for each task of e by revoking the cheapest batch tasks.
func (p *placer) preempt(e queue.Entry) {
	for range e.Tasks {
		if !p.awaitReleasing(e) {
			p.revokeCheapest(e)
		}
	}
}

// awaitReleasing claims a place that revoked tasks will free, if there is one.
func (p *placer) awaitReleasing(e queue.Entry) bool {
	for _, s := range p.workers {
		later := s.free.Plus(s.releasing).Minus(s.claimed)
		if s.open && s.free != later && e.Need.Fits(later) {
			s.claimed = s.claimed.Plus(e.Need)
			return true
		}
	}
	return false
}

func (p *placer) revokeCheapest(e queue.Entry) {
	var where *workerState
	var victims []*table.Task
	lowest := math.Inf(1)
	for _, s := range p.workers {
		set, cost := p.cheapestVictims(s, e)
		if cost < lowest {
			where, victims, lowest = s, set, cost
		}
	}
	if where == nil || p.preempted+len(victims) > maxPreempted {
		return
	}
	for _, task := range victims {
		p.preempted++
		where.releasing = where.releasing.Plus(task.Lease.Need)
		p.records = append(p.records, revocation(task, ReasonUrgent))
	}
	where.held = slices.DeleteFunc(slices.Clone(where.held), func(task *table.Task) bool {
		return slices.Contains(victims, task)
	})
	where.claimed = where.claimed.Plus(e.Need)
}

// cheapestVictims returns the cheapest tasks of s that make room for one task of e, and their cost; the cost is infinite if there are none.
func (p *placer) cheapestVictims(s *workerState, e queue.Entry) ([]*table.Task, float64) {
	if !s.open {
		return nil, math.Inf(1)
	}
	short := s.free.Plus(s.releasing).Minus(s.claimed)
	var batch []*table.Task
	reach := short
	for _, task := range s.held {
		if p.revocable(task) {
			batch = append(batch, task)
			reach = reach.Plus(task.Lease.Need)
		}
	}
	if !e.Need.Fits(reach) {
		return nil, math.Inf(1)
	}
	slices.SortFunc(batch, func(a, b *table.Task) int {
		return cmp.Or(cmp.Compare(p.evictionCost(a), p.evictionCost(b)), cmp.Compare(a.ID, b.ID))
	})
	var set []*table.Task
	sum := 0.0
	for _, task := range batch {
		if e.Need.Fits(short) {
			break
		}
		set = append(set, task)
		short = short.Plus(task.Lease.Need)
		sum += p.evictionCost(task)
	}
	return set, sum
}

func (p *placer) revocable(task *table.Task) bool {
	if (task.State != table.TaskLeased && task.State != table.TaskStarted) || p.in.Revoked[task.ID] {
		return false
	}
	j := p.t.Jobs[task.Job]
	return j != nil && !j.Urgent
}

// evictionCost weighs the work that revoking a task loses.
func (p *placer) evictionCost(task *table.Task) float64 {
	ran := p.now.Sub(time.UnixMilli(int64(task.Lease.Granted))).Seconds()
	cost := max(ran, minLostSeconds) * float64(max(task.Lease.Need.CPU, 1))
	cost *= 1 + repeatCost*float64(task.Evictions)
	if j := p.t.Jobs[task.Job]; j != nil && j.NonIdempotent {
		cost *= nonIdempotentCost
	}
	return cost
}

func revocation(task *table.Task, reason string) journal.Record {
	return journal.Record{LeaseRevoked: &journal.LeaseRevoked{
		Task: task.ID, Token: task.Lease.Token, Reason: reason,
	}}
}
