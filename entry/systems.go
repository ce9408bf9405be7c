package entry

import (
	"time"

	"persimmonpick/journal"
	"persimmonpick/queue"
	"persimmonpick/settings"
	"persimmonpick/table"
)

const (
	neverFitsPeriod = 5 * time.Second // between searches for jobs that can run nowhere
	applyTimePeriod = time.Minute     // resolution of retention
	expirePeriod    = time.Minute
)

// systems are run each tick on the host that proposes.
type systems struct {
	cfg             settings.Settings
	submit          func(what string, rs []journal.Record, done func(journal.Result, error))
	onNextTick      func(func())
	unreachable     func() map[table.WorkerID]bool // workers that some host cannot reach
	policy          *policy
	hosts           *hostList
	reportNeverFits func(fresh []queue.NeverFits, all int) // reports jobs that were found to fit nowhere

	placementPending bool // grants were proposed and are not folded yet
	dirty            bool // the tables changed since the last placement
	lastPlacement    time.Time
	lastNeverFits    time.Time
	neverFits        map[table.JobID]string // reasons of the jobs that can run nowhere
	applyTimes       []applyTime            // when offsets were folded, oldest first
	lastExpiry       time.Time
	expiryPending    bool
	snapshots        snapshotWriter
}

// applyTime says that off was folded at a time of this host's clock.
type applyTime struct {
	off table.Offset
	at  time.Time
}

// maxPlacementInterval is the longest time without a placement pass while nothing changes, as deadlines near by themselves.
const maxPlacementInterval = time.Second

func (s *systems) reload(t *table.Tables, now time.Time) {
	s.dirty = true
	s.applyTimes = append(s.applyTimes, applyTime{t.Applied, now})
}

// recordApplied notes a record that took effect.
func (s *systems) recordApplied(t *table.Tables, now time.Time) {
	s.dirty = true
	if n := len(s.applyTimes); n == 0 || now.Sub(s.applyTimes[n-1].at) >= applyTimePeriod {
		s.applyTimes = append(s.applyTimes, applyTime{t.Applied, now})
	}
}

func (s *systems) run(t *table.Tables, now time.Time) {
	s.hosts.run(t, now)
	s.place(t, now)
	s.expire(now)
	s.snapshots.run(t, now)
	s.reportNeverFits(s.findNeverFits(t, now), len(s.neverFits))
}

// findNeverFits looks for jobs that can run nowhere as the site is now, and returns those that are new.
func (s *systems) findNeverFits(t *table.Tables, now time.Time) []queue.NeverFits {
	if now.Sub(s.lastNeverFits) < neverFitsPeriod {
		return nil
	}
	s.lastNeverFits = now
	known := s.neverFits
	s.neverFits = map[table.JobID]string{}
	var fresh []queue.NeverFits
	for _, n := range queue.Never(t, s.policy.system.QueueConfig(t)) {
		s.neverFits[n.Job] = n.Reason
		if _, ok := known[n.Job]; !ok {
			fresh = append(fresh, n)
		}
	}
	return fresh
}

// runFollower keeps the history of what runs where on a host that does not propose, so that it can attribute reports once it does.
func (s *systems) runFollower(t *table.Tables, now time.Time) {
	s.findNeverFits(t, now)
	if now.Sub(s.lastPlacement) < maxPlacementInterval {
		return
	}
	s.lastPlacement = now
	s.policy.system.Note(t, queue.NewScan(t), now)
}

// place runs the policy; the next pass waits until its records are folded, as it would choose the same tasks again.
func (s *systems) place(t *table.Tables, now time.Time) {
	if s.placementPending || (!s.dirty && now.Sub(s.lastPlacement) < maxPlacementInterval) {
		return
	}
	s.dirty = false
	s.lastPlacement = now
	rs := s.policy.tick(t, now, s.unreachable())
	if len(rs) == 0 {
		return
	}
	s.placementPending = true
	s.submit("policy", rs, func(journal.Result, error) {
		s.onNextTick(func() { s.placementPending = false })
	})
}

// expire forgets idempotency keys, final jobs and writers whose retention is over.
//
// Retention is counted on this host's monotonic clock from when it folded an offset, so that a clock that is stepped forgets nothing early.
func (s *systems) expire(now time.Time) {
	if s.expiryPending || now.Sub(s.lastExpiry) < expirePeriod {
		return
	}
	s.lastExpiry = now
	e := journal.Expired{
		Claims: s.appliedBefore(now.Add(-s.cfg.Timing.KeyRetention.D())),
		Jobs:   s.appliedBefore(now.Add(-s.cfg.Timing.JobRetention.D())),
	}
	e.Writers = min(e.Claims, e.Jobs)
	s.trimApplyTimes(now)
	if e.Claims == 0 && e.Jobs == 0 {
		return
	}
	s.expiryPending = true
	s.submit("retention", []journal.Record{{Expired: &e}}, func(journal.Result, error) {
		s.onNextTick(func() { s.expiryPending = false })
	})
}

// appliedBefore returns the highest offset known to have been folded before at, or 0.
func (s *systems) appliedBefore(at time.Time) table.Offset {
	var off table.Offset
	for _, m := range s.applyTimes {
		if m.at.After(at) {
			break
		}
		off = m.off
	}
	return off
}

// trimApplyTimes keeps the newest mark beyond the longest retention and all later ones.
func (s *systems) trimApplyTimes(now time.Time) {
	oldest := now.Add(-max(s.cfg.Timing.KeyRetention.D(), s.cfg.Timing.JobRetention.D()))
	for len(s.applyTimes) > 1 && s.applyTimes[1].at.Before(oldest) {
		s.applyTimes = s.applyTimes[1:]
	}
}
