package dispatch

import (
	"cmp"
	"slices"
	"time"

	"persimmonpick/triage"
	"persimmonpick/workload"
)

// Parameters of the rating of jobs when more tasks wait than fit. Most value per core comes from short jobs that
// can still meet their objective; jobs that can no longer meet it must not hold those up.
const (
	lateFactor        = 3.0 // a job that takes this many times its objective is of little use to its caller
	valueBase         = 0.3 // part of a job's value that does not depend on its size
	maxValue          = 4.0 // maximum value of a large job, in jobs of typical size
	typicalWorkWeight = 0.1 // weight of a new job in the typical size of its queue
	// A lasting task may be away for 6 s and more; this leaves time to notice it and to start it.
	longestDeferral = 2500 * time.Millisecond
	// Time before a worker leaves in which its long-running tasks find room elsewhere and start there.
	leaveMoveTime = 2500 * time.Millisecond
	// Part of the critical path that must fit before the deadline, since estimates are rough.
	criticalPathMargin = 0.9
)

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

// waitingJob describes the occurrence that g belongs to.
func (sched *Scheduler) waitingJob(g *group) triage.Job {
	j := g.job
	w := triage.Job{
		Key: triage.Key{Job: j.id, Occurrence: g.occurrence}, Queue: j.queue.ID, Service: j.queue.Service, Priority: j.queue.Priority,
		From: g.startsFrom(), Objective: sched.objective(j),
	}
	if g.step.LongRunning {
		w.LongRunning, w.Left = true, triage.Work(declaredWork(g.step))
		for _, t := range g.tasks {
			if t.phase != waiting || !t.wasRunning {
				continue
			}
			if !w.Returning || t.displacedAt.Before(w.IdleSince) {
				w.IdleSince = t.displacedAt
			}
			w.Returning = true
		}
		return w
	}
	w.Size = j.floorSize()
	gs := j.groups[g.occurrence]
	for _, o := range gs {
		w.Left += triage.Work(float64(o.unfinished) * declaredWork(o.step))
	}
	w.Value = 1
	if usual := sched.typicalWork[j.queue.ID]; usual > 0 {
		w.Value = min(maxValue, valueBase+(1-valueBase)*j.work/usual)
	}
	w.Path = sched.usualDuration(j, j.criticalPath(gs))
	return w
}

// outlook tells whether the occurrence that g belongs to can still meet its objective.
func (sched *Scheduler) outlook(g *group, now time.Time) triage.Outlook {
	j := sched.waitingJob(g)
	return sched.order.Outlook(&j, now)
}

// floorSize returns the size of j for the floor of the order, or 0 if it is no job of one occurrence that ends.
func (j *job) floorSize() triage.Work {
	if j.spec.Repeat > 0 || slices.ContainsFunc(j.spec.Steps, func(s workload.Step) bool { return s.LongRunning }) {
		return 0
	}
	return triage.Work(j.work)
}

// recordJobEnd takes note of a job that has ended, for the order of those that wait.
func (sched *Scheduler) recordJobEnd(j *job, s workload.State, now time.Time) {
	w := triage.Job{Key: triage.Key{Job: j.id}, Queue: j.queue.ID, Service: j.queue.Service, From: j.submitted, Objective: sched.objective(j)}
	if s != workload.Cancelled {
		w.Size = j.floorSize()
	}
	sched.order.Ended(&w, now)
}

// sortGroups sorts the steps with tasks to place by the order in which their jobs get room.
func (sched *Scheduler) sortGroups(gs []*group, now time.Time) {
	keyOf := func(g *group) triage.Key { return triage.Key{Job: g.job.id, Occurrence: g.occurrence} }
	ranks := make(map[triage.Key]int, len(gs))
	var jobs []triage.Job
	for _, g := range gs {
		if _, known := ranks[keyOf(g)]; !known {
			ranks[keyOf(g)] = 0
			jobs = append(jobs, sched.waitingJob(g))
		}
	}
	sched.order.Sort(jobs, now)
	for i := range jobs {
		ranks[jobs[i].Key] = i
	}
	slices.SortFunc(gs, func(a, c *group) int {
		return cmp.Or(cmp.Compare(ranks[keyOf(a)], ranks[keyOf(c)]), cmp.Compare(a.index, c.index))
	})
}

// queueWait counts the jobs of a queue with tasks that wait for room.
type queueWait struct{ jobs, onTime, late, useless, returning, behind int }

// logOrder logs for each queue what waits in gs and why it comes where it does.
func (sched *Scheduler) logOrder(gs []*group, now time.Time) {
	seen := map[triage.Key]bool{}
	waits := map[workload.QueueID]*queueWait{}
	for _, g := range gs {
		j := sched.waitingJob(g)
		if seen[j.Key] {
			continue
		}
		seen[j.Key] = true
		n := waits[j.Queue]
		if n == nil {
			n = &queueWait{}
			waits[j.Queue] = n
		}
		n.jobs++
		switch o := sched.order.Outlook(&j, now); {
		case j.Returning:
			n.returning++
		case o == triage.OnTime:
			n.onTime++
		case o == triage.Late:
			n.late++
		default:
			n.useless++
		}
		if sched.order.IsBehind(&j) {
			n.behind++
		}
	}
	for id, n := range waits {
		sched.cfg.Log.Info("jobs wait for room", "Queue", id, "Jobs", n.jobs, "OnTime", n.onTime, "Late", n.late, "Useless", n.useless,
			"Returning", n.returning, "Behind", n.behind)
	}
}
