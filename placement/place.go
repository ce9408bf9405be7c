package placement

import (
	"slices"
	"time"

	"persimmonpick/journal"
	"persimmonpick/queue"
	"persimmonpick/table"
)

// tick is the state of one call of Place.
type tick struct {
	t       *table.Tables
	now     time.Time
	in      Input
	sites   []*site
	spread  spread
	refused []shape // needs that fit nowhere, so that no larger one is tried again
	records []journal.Record
	revoked int
	tries   int // to make a reservation
}

// shape is a need that fits nowhere in this tick.
type shape struct {
	kind table.KindID
	need table.Resources
	run  time.Duration
}

// Place returns grants for pending tasks, and revocations that make room for urgent ones.
//
// The grants of one call fit together, and those of a gang must be proposed in one batch.
func Place(t *table.Tables, now time.Time, in Input) []journal.Record {
	return place(t, queue.NewScan(t), now, in)
}

func place(t *table.Tables, scan *queue.Scan, now time.Time, in Input) []journal.Record {
	if len(scan.Pending) == 0 {
		in.Reserved.clear()
		return nil
	}
	p := &tick{t: t, now: now, in: in, sites: sites(t, scan, in.Avoid), spread: newSpread(t)}
	for _, s := range p.sites {
		s.open = s.open && !slices.Contains(in.closed, s.w.ID)
	}
	in.Reserved.keep(t, p.sites)
	q := queue.New(t, scan, now, in.Queue)
	placed, refused := 0, 0
	for placed < maxGrants && refused < maxRefused {
		e, ok := q.Next()
		if !ok {
			break
		}
		if p.entry(e) {
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

// entry places all tasks of e or none.
func (p *tick) entry(e queue.Entry) bool {
	if p.hopeless(e) {
		return false
	}
	grants := make([]*site, 0, len(e.Tasks))
	for range e.Tasks {
		s := p.choose(e)
		if s == nil {
			p.undo(e, grants)
			p.blocked(e)
			return false
		}
		p.take(s, e)
		grants = append(grants, s)
	}
	for i, s := range grants {
		p.grant(e, e.Tasks[i], s)
	}
	p.in.Reserved.drop(e.Job.ID)
	return true
}

func (p *tick) grant(e queue.Entry, task *table.Task, s *site) {
	p.records = append(p.records, journal.Record{LeaseGranted: &journal.LeaseGranted{
		Task: task.ID, Worker: s.w.ID, Need: e.Need, Holder: p.in.Holder,
	}})
}

func (p *tick) take(s *site, e queue.Entry) {
	s.near = addNeighbour(p.neighbours(s), e.Job.Kind, weightOf(e.Need, s.w))
	s.free = s.free.Minus(e.Need)
	s.granted++
	p.spread.add(e.Job, s.w)
}

func (p *tick) undo(e queue.Entry, grants []*site) {
	for _, s := range grants {
		s.free = s.free.Plus(e.Need)
		s.granted--
		s.near = addNeighbour(s.near, e.Job.Kind, -weightOf(e.Need, s.w))
		p.spread.forget(e.Job)
	}
}

// blocked makes room for urgent work, and reserves places for the oldest other entry that does not fit.
func (p *tick) blocked(e queue.Entry) {
	if e.Job.Urgent {
		p.preempt(e)
		return
	}
	p.refused = append(p.refused, shape{e.Job.Kind, e.Need, e.RunTime})
	if p.tries < maxReserveTries {
		p.tries++
		p.in.Reserved.make(p, e)
	}
}

// hopeless says whether a smaller and shorter need was refused in this tick already.
func (p *tick) hopeless(e queue.Entry) bool {
	if e.Job.Urgent || p.in.Reserved.holds(e.Job.ID) {
		return false
	}
	for _, r := range p.refused {
		if r.kind == e.Job.Kind && r.need.Fits(e.Need) && r.run <= e.RunTime {
			return true
		}
	}
	return false
}
