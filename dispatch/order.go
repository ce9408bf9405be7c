package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"persimmonpick/table"
	"persimmonpick/workload"
)

// How jobs are rated when more work waits than fits. Callers gain most per core if short jobs that still meet their objective come first; jobs that cannot meet it any more must not hold those up.
const (
	lateFactor   = 3.0 // a job that takes this many times its objective is of little use to its caller
	valueBase    = 0.3 // of a job's value that does not depend on its size
	valueMost    = 4.0 // a large job is worth at most this many usual ones
	usualWeight  = 0.1 // of a new job in the usual size of its queue
	promptChance = 0.9 // share of the time left that the remaining chain may take, since estimates are rough
)

// prospect says what a job can still achieve.
type prospect uint8

const (
	onTime prospect = iota
	late
	hopelessLate
)

// rating is the place of a job in the queue.
type rating struct {
	prospect prospect
	density  float64 // value by the work that is left
}

// sizes learns the usual size of the jobs of each queue.
type sizes map[workload.QueueID]float64

func (s sizes) learn(j *job) {
	w := j.work
	if usual, ok := s[j.queue.ID]; ok {
		w = usual + usualWeight*(w-usual)
	}
	s[j.queue.ID] = w
}

// cost returns the declared core-milliseconds of one task.
func cost(s *workload.Step) float64 { return float64(max(1, s.Need.CPU)) * float64(max(1, s.Estimate)) }

// rateEndless puts tasks that have run before first, and new ones behind the jobs that still meet their objective, since they hold what they get; hopelessly late jobs must not keep them waiting while there is room.
func rateEndless(g *group) rating {
	for _, t := range g.tasks {
		if t.phase == waiting && t.wasRunning {
			return rating{density: math.Inf(1)}
		}
	}
	return rating{prospect: late, density: 1 / cost(g.step)}
}

// rate rates the occurrence that g belongs to.
func (b *Scheduler) rate(g *group, now time.Time) rating {
	j := g.job
	if g.step.LongRunning {
		return rateEndless(g)
	}
	gs := j.groups[g.occurrence]
	left := 0.0
	for _, o := range gs {
		left += float64(o.left) * cost(o.step)
	}
	value := 1.0
	if usual := b.sizes[j.queue.ID]; usual > 0 {
		value = min(valueMost, valueBase+(1-valueBase)*j.work/usual)
	}
	r := rating{density: value / max(1, left)}
	need := time.Duration(float64(j.chain(gs)) * float64(time.Millisecond) * promptChance)
	due := g.due()
	switch end := now.Add(need); {
	case !end.After(due):
	case !end.After(due.Add(time.Duration((lateFactor - 1) * float64(j.deadline.Sub(j.submitted))))):
		r.prospect = late
	default:
		r.prospect = hopelessLate
	}
	return r
}

// order sorts the steps with tasks to place: by priority, then by what their jobs can still achieve, then by value for the work.
func (b *Scheduler) order(gs []*group, now time.Time) {
	type place struct {
		job        table.JobID
		occurrence int
	}
	ratings := make(map[place]rating, len(gs))
	of := func(g *group) rating { return ratings[place{g.job.id, g.occurrence}] }
	for _, g := range gs {
		p := place{g.job.id, g.occurrence}
		if _, rated := ratings[p]; !rated {
			ratings[p] = b.rate(g, now)
		}
	}
	slices.SortFunc(gs, func(a, c *group) int {
		ra, rc := of(a), of(c)
		return cmp.Or(cmp.Compare(a.job.queue.Priority, c.job.queue.Priority), cmp.Compare(ra.prospect, rc.prospect),
			cmp.Compare(rc.density, ra.density), cmp.Compare(a.job.id, c.job.id),
			cmp.Compare(a.occurrence, c.occurrence), cmp.Compare(a.index, c.index))
	})
}
