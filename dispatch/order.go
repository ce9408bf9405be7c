package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"persimmonpick/table"
	"persimmonpick/workload"
)

// Parameters of the rating of jobs when more tasks wait than fit. Most value per core comes from short jobs that
// can still meet their objective; jobs that can no longer meet it must not hold those up.
const (
	lateFactor        = 3.0 // a job that takes this many times its objective is of little use to its caller
	valueBase         = 0.3 // part of a job's value that does not depend on its size
	maxValue          = 4.0 // maximum value of a large job, in jobs of typical size
	typicalWorkWeight = 0.1 // weight of a new job in the typical size of its queue
	// Part of the critical path that must fit before the deadline, since estimates are rough.
	criticalPathMargin = 0.9
)

// prospect tells whether a job can still meet its objective.
type prospect uint8

const (
	onTime prospect = iota
	late
	tooLate
)

// rating is the sort key of an occurrence among the waiting ones.
type rating struct {
	prospect prospect
	density  float64 // value per unit of remaining work
}

// queueWork tracks the typical work per job of each queue, in millicore-milliseconds.
type queueWork map[workload.QueueID]float64

func (s queueWork) observe(j *job) {
	w := j.work
	if usual, ok := s[j.queue.ID]; ok {
		w = usual + typicalWorkWeight*(w-usual)
	}
	s[j.queue.ID] = w
}

// declaredWork returns the declared millicore-milliseconds of one task.
func declaredWork(s *workload.Step) float64 {
	return float64(max(1, s.Need.CPU)) * float64(max(1, s.Estimate))
}

// rateLongRunning rates the tasks of a long-running step. Tasks that have run before come first. New ones come
// after the jobs that still meet their objective, since they keep the capacity that they get, but before jobs that
// are far too late, which must not keep them waiting while there is room.
func rateLongRunning(g *group) rating {
	for _, t := range g.tasks {
		if t.phase == waiting && t.wasRunning {
			return rating{density: math.Inf(1)}
		}
	}
	return rating{prospect: late, density: 1 / declaredWork(g.step)}
}

// rate rates the occurrence that g belongs to.
func (sched *Scheduler) rate(g *group, now time.Time) rating {
	j := g.job
	if g.step.LongRunning {
		return rateLongRunning(g)
	}
	gs := j.groups[g.occurrence]
	left := 0.0
	for _, o := range gs {
		left += float64(o.unfinished) * declaredWork(o.step)
	}
	value := 1.0
	if usual := sched.typicalWork[j.queue.ID]; usual > 0 {
		value = min(maxValue, valueBase+(1-valueBase)*j.work/usual)
	}
	r := rating{density: value / max(1, left)}
	need := time.Duration(float64(sched.usualDuration(j, j.criticalPath(gs))) * criticalPathMargin)
	objective := sched.objective(j)
	due := g.startsFrom().Add(objective)
	switch end := now.Add(need); {
	case !end.After(due):
	case !end.After(due.Add(time.Duration((lateFactor - 1) * float64(objective)))):
		r.prospect = late
	default:
		r.prospect = tooLate
	}
	return r
}

// sortGroups sorts the steps with tasks to place by priority, then by the prospect of their jobs, then by value
// per remaining work.
func (sched *Scheduler) sortGroups(gs []*group, now time.Time) {
	type occurrenceKey struct {
		job        table.JobID
		occurrence int
	}
	ratings := make(map[occurrenceKey]rating, len(gs))
	of := func(g *group) rating { return ratings[occurrenceKey{g.job.id, g.occurrence}] }
	for _, g := range gs {
		k := occurrenceKey{g.job.id, g.occurrence}
		if _, rated := ratings[k]; !rated {
			ratings[k] = sched.rate(g, now)
		}
	}
	slices.SortFunc(gs, func(a, c *group) int {
		ra, rc := of(a), of(c)
		return cmp.Or(cmp.Compare(a.job.queue.Priority, c.job.queue.Priority), cmp.Compare(ra.prospect, rc.prospect),
			cmp.Compare(rc.density, ra.density), cmp.Compare(a.job.id, c.job.id),
			cmp.Compare(a.occurrence, c.occurrence), cmp.Compare(a.index, c.index))
	})
}
