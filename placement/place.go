package placement

import (
	"slices"
	"time"

	"persimmonpick/journal"
	"persimmonpick/queue"
	"persimmonpick/table"
)

// placer holds the state of one call of Place.
type placer struct {
	t               *table.Tables
	now             time.Time
	in              Input
	workers         []*workerState
	spread          spread
	unplaceable     []unplaceableShape // requests that fit nowhere, so that no larger one is tried in this tick
	records         []journal.Record
	preempted       int // tasks revoked for urgent work
	reserveAttempts int // attempts to make a reservation
}

// unplaceableShape is a request that fits nowhere in this tick.
type unplaceableShape struct {
	kind    table.KindID
	need    table.Resources
	runTime time.Duration
}

// Place returns grants for pending tasks, and revocations that make room for urgent ones.
//
// The grants of one call together stay within the free resources of the workers and the quotas of the teams.
// Those of a gang must be proposed in one batch.
func Place(t *table.Tables, now time.Time, in Input) []journal.Record {
	return place(t, queue.NewScan(t), now, in)
}

func place(t *table.Tables, scan *queue.Scan, now time.Time, in Input) []journal.Record {
	if len(scan.Pending) == 0 {
		in.Reservations.clear()
		return nil
	}
	p := &placer{t: t, now: now, in: in, workers: workerStates(t, scan, in.Avoid), spread: newSpread(t)}
	for _, s := range p.workers {
		s.open = s.open && !slices.Contains(in.quarantined, s.w.ID)
	}
	in.Reservations.prune(t, p.workers)
	q := queue.New(t, scan, now, in.Queue)
	placed, refused := 0, 0
	for placed < maxGrants && refused < maxUnplaced {
		e, ok := q.Next()
		if !ok {
			break
		}
		if p.placeEntry(e) {
			placed += len(e.Tasks)
			continue
		}
		refused++
		if !e.Job.Urgent {
			q.Refuse(e)
		}
	}
	return p.records
}

// placeEntry places all tasks of e or none, and reports whether it placed them.
func (p *placer) placeEntry(e queue.Entry) bool {
	if p.knownUnplaceable(e) {
		return false
	}
	grants := make([]*workerState, 0, len(e.Tasks))
	for range e.Tasks {
		s := p.choose(e)
		if s == nil {
			p.rollback(e, grants)
			p.handleBlocked(e)
			return false
		}
		p.assign(s, e)
		grants = append(grants, s)
	}
	for i, s := range grants {
		p.grant(e, e.Tasks[i], s)
	}
	p.in.Reservations.drop(e.Job.ID)
	return true
}

func (p *placer) grant(e queue.Entry, task *table.Task, s *workerState) {
	p.records = append(p.records, journal.Record{LeaseGranted: &journal.LeaseGranted{
		Task: task.ID, Worker: s.w.ID, Need: e.Need, Holder: p.in.Holder,
	}})
}

// assign books one task of e on s for the rest of the tick.
func (p *placer) assign(s *workerState, e queue.Entry) {
	s.neighbours = addNeighbour(p.neighbours(s), e.Job.Kind, cpuShare(e.Need, s.w))
	s.free = s.free.Minus(e.Need)
	s.granted++
	p.spread.add(e.Job, s.w)
}

// rollback reverts assign for one task of e on each of grants.
func (p *placer) rollback(e queue.Entry, grants []*workerState) {
	for _, s := range grants {
		s.free = s.free.Plus(e.Need)
		s.granted--
		s.neighbours = addNeighbour(s.neighbours, e.Job.Kind, -cpuShare(e.Need, s.w))
		p.spread.invalidate(e.Job)
	}
}

// handleBlocked preempts batch work for an urgent entry that does not fit. For the first other entries that do
// not fit it tries to reserve places, up to maxReserveAttempts in a tick.
func (p *placer) handleBlocked(e queue.Entry) {
	if e.Job.Urgent {
		p.preempt(e)
		return
	}
	p.unplaceable = append(p.unplaceable, unplaceableShape{e.Job.Kind, e.Need, e.RunTime})
	if p.reserveAttempts < maxReserveAttempts {
		p.reserveAttempts++
		p.in.Reservations.reserve(p, e)
	}
}

// knownUnplaceable reports whether a request of the same kind that needs no more and runs no longer than e was
// already found unplaceable in this tick.
func (p *placer) knownUnplaceable(e queue.Entry) bool {
	if e.Job.Urgent || p.in.Reservations.hasJob(e.Job.ID) {
		return false
	}
	for _, r := range p.unplaceable {
		if r.kind == e.Job.Kind && r.need.Fits(e.Need) && r.runTime <= e.RunTime {
			return true
		}
	}
	return false
}
