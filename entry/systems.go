package entry

import (
	"time"

	"persimmonpick/journal"
	"persimmonpick/queue"
	"persimmonpick/settings"
	"persimmonpick/table"
)

const (
	neverPeriod  = 5 * time.Second // between searches for jobs that can run nowhere
	markPeriod   = time.Minute     // resolution of retention
	expirePeriod = time.Minute
)

// systems are run each tick on the host that proposes.
type systems struct {
	cfg    settings.Settings
	submit func(what string, rs []journal.Record, done func(journal.Result, error))
	later  func(func())
	avoid  func() map[table.WorkerID]bool // workers that some host cannot reach
	policy *policy
	hosts  *hostList
	never  func(fresh []queue.UnplaceableJob, all int) // reports jobs that were found to fit nowhere

	placing   bool // grants were proposed and are not folded yet
	dirty     bool // the tables changed since the last placement
	placed    time.Time
	nevered   time.Time
	neverFits map[table.JobID]string // reasons of the jobs that can run nowhere
	marks     []mark                 // when offsets were folded, oldest first
	expired   time.Time
	expiring  bool
	snapshots snapshots
}

// mark says that off was folded at a time of this host's clock.
type mark struct {
	off table.Offset
	at  time.Time
}

// placeAnyway is the longest time without a placement pass while nothing changes, as deadlines near by themselves.
const placeAnyway = time.Second

func (s *systems) reload(t *table.Tables, now time.Time) {
	s.dirty = true
	s.marks = append(s.marks, mark{t.Applied, now})
}

// folded notes a record that took effect.
func (s *systems) folded(t *table.Tables, now time.Time) {
	s.dirty = true
	if n := len(s.marks); n == 0 || now.Sub(s.marks[n-1].at) >= markPeriod {
		s.marks = append(s.marks, mark{t.Applied, now})
	}
}

func (s *systems) run(t *table.Tables, now time.Time) {
	s.hosts.run(t, now)
	s.place(t, now)
	s.expire(now)
	s.snapshots.run(t, now)
	s.never(s.findNeverFits(t, now), len(s.neverFits))
}

// findNeverFits looks for jobs that can run nowhere as the site is now, and returns those that are new.
func (s *systems) findNeverFits(t *table.Tables, now time.Time) []queue.UnplaceableJob {
	if now.Sub(s.nevered) < neverPeriod {
		return nil
	}
	s.nevered = now
	known := s.neverFits
	s.neverFits = map[table.JobID]string{}
	var fresh []queue.UnplaceableJob
	for _, n := range queue.UnplaceableJobs(t, s.policy.system.QueueConfig(t)) {
		s.neverFits[n.Job] = n.Reason
		if _, ok := known[n.Job]; !ok {
			fresh = append(fresh, n)
		}
	}
	return fresh
}

// follow keeps the history of what runs where on a host that does not propose, so that it can attribute reports once it does.
func (s *systems) follow(t *table.Tables, now time.Time) {
	s.findNeverFits(t, now)
	if now.Sub(s.placed) < placeAnyway {
		return
	}
	s.placed = now
	s.policy.system.RecordNeighbours(t, queue.NewScan(t), now)
}

// place runs the policy; the next pass waits until its records are folded, as it would choose the same tasks again.
func (s *systems) place(t *table.Tables, now time.Time) {
	if s.placing || (!s.dirty && now.Sub(s.placed) < placeAnyway) {
		return
	}
	s.dirty = false
	s.placed = now
	rs := s.policy.tick(t, now, s.avoid())
	if len(rs) == 0 {
		return
	}
	s.placing = true
	s.submit("policy", rs, func(journal.Result, error) {
		s.later(func() { s.placing = false })
	})
}

// expire forgets idempotency keys, final jobs and writers whose retention is over.
//
// Retention is counted on this host's monotonic clock from when it folded an offset, so that a clock that is stepped forgets nothing early.
func (s *systems) expire(now time.Time) {
	if s.expiring || now.Sub(s.expired) < expirePeriod {
		return
	}
	s.expired = now
	e := journal.Expired{
		Claims: s.foldedBefore(now.Add(-s.cfg.Timing.KeyRetention.D())),
		Jobs:   s.foldedBefore(now.Add(-s.cfg.Timing.JobRetention.D())),
	}
	e.Writers = min(e.Claims, e.Jobs)
	s.dropMarks(now)
	if e.Claims == 0 && e.Jobs == 0 {
		return
	}
	s.expiring = true
	s.submit("retention", []journal.Record{{Expired: &e}}, func(journal.Result, error) {
		s.later(func() { s.expiring = false })
	})
}

// foldedBefore returns the highest offset known to have been folded before at, or 0.
func (s *systems) foldedBefore(at time.Time) table.Offset {
	var off table.Offset
	for _, m := range s.marks {
		if m.at.After(at) {
			break
		}
		off = m.off
	}
	return off
}

// dropMarks keeps the newest mark beyond the longest retention and all later ones.
func (s *systems) dropMarks(now time.Time) {
	oldest := now.Add(-max(s.cfg.Timing.KeyRetention.D(), s.cfg.Timing.JobRetention.D()))
	for len(s.marks) > 1 && s.marks[1].at.Before(oldest) {
		s.marks = s.marks[1:]
	}
}
