package entry

import (
	"time"

	"persimmonpick/journal"
	"persimmonpick/queue"
	"persimmonpick/settings"
	"persimmonpick/table"
)

const (
	neverFitsPeriod = 5 * time.Second // between searches for jobs that cannot be placed
	applyTimePeriod = time.Minute     // resolution of the retention periods
	expirePeriod    = time.Minute
)

// proposer runs the periodic work of the proposer on each tick: host list, placement, retention and snapshots. On other
// hosts it only tracks placements.
type proposer struct {
	cfg             settings.Settings
	submit          func(what string, rs []journal.Record, done func(journal.Result, error))
	onNextTick      func(func())
	unreachable     func() map[table.WorkerID]bool // workers that some live host cannot reach
	policy          *policy
	hosts           *hostList
	reportNeverFits func(fresh []queue.UnplaceableJob, all int) // reports the newly found jobs and the number of all

	placementPending bool // records of the last placement were proposed and are not applied yet
	dirty            bool // the tables changed since the last placement
	lastPlacement    time.Time
	lastNeverFits    time.Time
	neverFits        map[table.JobID]string // jobs that cannot be placed, with the reason
	applyTimes       []applyTime            // when offsets were applied, oldest first
	lastExpiry       time.Time
	expiryPending    bool
	snapshots        snapshotWriter
}

// applyTime is the time on this host's clock at which the log was applied up to off.
type applyTime struct {
	off table.Offset
	at  time.Time
}

// maxPlacementInterval is the longest time between placement passes. A pass is needed even if the tables do not change,
// since deadlines come closer.
const maxPlacementInterval = time.Second

// reload marks the tables as changed after they were replaced.
func (s *proposer) reload(t *table.Tables, now time.Time) {
	s.dirty = true
	s.applyTimes = append(s.applyTimes, applyTime{t.Applied, now})
}

// recordApplied marks the tables as changed by a record, and stores the time at most once per applyTimePeriod.
func (s *proposer) recordApplied(t *table.Tables, now time.Time) {
	s.dirty = true
	if n := len(s.applyTimes); n == 0 || now.Sub(s.applyTimes[n-1].at) >= applyTimePeriod {
		s.applyTimes = append(s.applyTimes, applyTime{t.Applied, now})
	}
}

func (s *proposer) run(t *table.Tables, now time.Time) {
	s.hosts.run(t, now)
	s.place(t, now)
	s.expire(now)
	s.snapshots.run(t, now)
	s.reportNeverFits(s.findNeverFits(t, now), len(s.neverFits))
}

// findNeverFits updates neverFits every neverFitsPeriod and returns the jobs that were not in it before.
func (s *proposer) findNeverFits(t *table.Tables, now time.Time) []queue.UnplaceableJob {
	if now.Sub(s.lastNeverFits) < neverFitsPeriod {
		return nil
	}
	s.lastNeverFits = now
	known := s.neverFits
	s.neverFits = map[table.JobID]string{}
	var fresh []queue.UnplaceableJob
	for _, n := range queue.UnplaceableJobs(t, s.policy.controller.QueueConfig(t)) {
		s.neverFits[n.Job] = n.Reason
		if _, ok := known[n.Job]; !ok {
			fresh = append(fresh, n)
		}
	}
	return fresh
}

// runFollower runs on a host that is not the proposer. It records which tasks run beside which instances, so that
// reports can be attributed to them when the host becomes the proposer.
func (s *proposer) runFollower(t *table.Tables, now time.Time) {
	s.findNeverFits(t, now)
	if now.Sub(s.lastPlacement) < maxPlacementInterval {
		return
	}
	s.lastPlacement = now
	s.policy.controller.RecordNeighbours(t, queue.NewScan(t), now)
}

// place runs the policy. The next pass waits until the records of this one are applied, as it would choose the same
// tasks again.
func (s *proposer) place(t *table.Tables, now time.Time) {
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

// expire removes idempotency keys, final jobs and writers whose retention period is over.
//
// The retention period is measured on this host's monotonic clock from the time at which it applied an offset, so that
// a step of the wall clock removes nothing early.
func (s *proposer) expire(now time.Time) {
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

// appliedBefore returns the highest offset known to have been applied by the given time, or 0.
func (s *proposer) appliedBefore(at time.Time) table.Offset {
	var off table.Offset
	for _, e := range s.applyTimes {
		if e.at.After(at) {
			break
		}
		off = e.off
	}
	return off
}

// trimApplyTimes drops apply times older than the longest retention period, except the latest of them.
func (s *proposer) trimApplyTimes(now time.Time) {
	oldest := now.Add(-max(s.cfg.Timing.KeyRetention.D(), s.cfg.Timing.JobRetention.D()))
	for len(s.applyTimes) > 1 && s.applyTimes[1].at.Before(oldest) {
		s.applyTimes = s.applyTimes[1:]
	}
}
