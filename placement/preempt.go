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

// Factors in the cost of revoking a task.
const (
	nonIdempotentCost = 4.0 // its outcome becomes unknown if its worker is lost while it stops
	repeatCost        = 1.0 // added for each earlier eviction
	minLostSeconds    = 1.0 // so that a task that has just started has a cost too
)

// ReasonUrgent is the reason of leases revoked to make room for urgent work.
const ReasonUrgent = "urgent work needs the place"

// preempt makes room for each task of e, by waiting for resources that revoked tasks will release, or by revoking the
// cheapest batch tasks.
func (p *placer) preempt(e queue.Entry) {
	for range e.Tasks {
		if !p.awaitReleasing(e) {
			p.revokeCheapest(e)
		}
	}
}

// awaitReleasing claims resources for one task of e that revoked tasks will release, and reports whether there
// are enough.
func (p *placer) awaitReleasing(e queue.Entry) bool {
	for _, s := range p.workers {
		expected := s.free.Plus(s.releasing).Minus(s.claimed)
		if s.open && s.free != expected && e.Need.Fits(expected) {
			s.claimed = s.claimed.Plus(e.Need)
			return true
		}
	}
	return false
}

// revokeCheapest revokes the cheapest set of tasks on one worker that makes room for one task of e, unless that would
// exceed maxPreempted.
func (p *placer) revokeCheapest(e queue.Entry) {
	var target *workerState
	var victims []*table.Task
	lowest := math.Inf(1)
	for _, s := range p.workers {
		set, cost := p.cheapestVictims(s, e)
		if cost < lowest {
			target, victims, lowest = s, set, cost
		}
	}
	if target == nil || p.preempted+len(victims) > maxPreempted {
		return
	}
	for _, task := range victims {
		p.preempted++
		target.releasing = target.releasing.Plus(task.Lease.Need)
		p.records = append(p.records, revocation(task, ReasonUrgent))
	}
	target.held = slices.DeleteFunc(slices.Clone(target.held), func(task *table.Task) bool {
		return slices.Contains(victims, task)
	})
	target.claimed = target.claimed.Plus(e.Need)
}

// cheapestVictims returns the tasks on s to revoke, cheapest first, to make room for one task of e, and their
// total cost. The cost is infinite if s cannot make room.
func (p *placer) cheapestVictims(s *workerState, e queue.Entry) ([]*table.Task, float64) {
	if !s.open {
		return nil, math.Inf(1)
	}
	available := s.free.Plus(s.releasing).Minus(s.claimed)
	var batch []*table.Task
	attainable := available
	for _, task := range s.held {
		if p.revocable(task) {
			batch = append(batch, task)
			attainable = attainable.Plus(task.Lease.Need)
		}
	}
	if !e.Need.Fits(attainable) {
		return nil, math.Inf(1)
	}
	slices.SortFunc(batch, func(a, b *table.Task) int {
		return cmp.Or(cmp.Compare(p.evictionCost(a), p.evictionCost(b)), cmp.Compare(a.ID, b.ID))
	})
	var victims []*table.Task
	sum := 0.0
	for _, task := range batch {
		if e.Need.Fits(available) {
			break
		}
		victims = append(victims, task)
		available = available.Plus(task.Lease.Need)
		sum += p.evictionCost(task)
	}
	return victims, sum
}

// revocable reports whether task may be revoked for urgent work: it is not urgent itself and not being revoked.
func (p *placer) revocable(task *table.Task) bool {
	if (task.State != table.TaskLeased && task.State != table.TaskStarted) || p.in.Revoked[task.ID] {
		return false
	}
	j := p.t.Jobs[task.Job]
	return j != nil && !j.Urgent
}

// evictionCost returns the processor time that revoking the task may lose, raised by earlier evictions and for
// tasks that are not idempotent.
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
