package entry

import (
	"time"

	"persimmonpick/journal"
	"persimmonpick/queue"
	"persimmonpick/settings"
	"persimmonpick/table"
)

const (
	unplaceablePeriod = 5 * time.Second // between searches for jobs that cannot be placed
	applyTimePeriod   = time.Minute     // resolution of the retention periods
	expirePeriod      = time.Minute
)

// proposer does the periodic work of the host that is the proposer: host list, placement, retention and snapshots. On
// other hosts it only prepares for that role (runFollower).
type proposer struct {
	cfg               settings.Settings
	submit            func(what string, rs []journal.Record, done func(journal.Result, error))
	onNextTick        func(func())
	unreachable       func() map[table.WorkerID]bool // workers that some live host cannot reach
	policy            *policy
	hosts             *hostList
	reportUnplaceable func(fresh []queue.UnplaceableJob, all int) // reports the newly found jobs and the number of all

	placementPending      bool // records of the last placement were proposed and are not applied yet
	dirty                 bool // the tables changed since the last placement
	lastPlacement         time.Time
	lastUnplaceableSearch time.Time
	unplaceable           map[table.JobID]string // jobs that cannot be placed, with the reason
	applyTimes            []applyTime            // when offsets were applied, oldest first
	lastExpiry            time.Time
	expiryPending         bool
	snapshots             snapshotWriter
}

// applyTime is the time on this host's clock at which the log was applied up to off.
type applyTime struct {
	off table.Offset
	at  time.Time
}

// maxPlacementInterval is the longest time between placement passes. A pass is needed even if the tables do not change,
// since deadlines come closer.
const maxPlacementInterval = time.Second

// reload marks the tables as changed after they were replaced, and stores the time at which they were loaded.
func (p *proposer) reload(t *table.Tables, now time.Time) {
	p.dirty = true
	p.applyTimes = append(p.applyTimes, applyTime{t.Applied, now})
}

// recordApplied marks the tables as changed by a record, and stores its apply time at most once per applyTimePeriod.
func (p *proposer) recordApplied(t *table.Tables, now time.Time) {
	p.dirty = true
	if n := len(p.applyTimes); n == 0 || now.Sub(p.applyTimes[n-1].at) >= applyTimePeriod {
		p.applyTimes = append(p.applyTimes, applyTime{t.Applied, now})
	}
}

func (p *proposer) run(t *table.Tables, now time.Time) {
	p.hosts.run(t, now)
	p.place(t, now)
	p.expire(now)
	p.snapshots.run(t, now)
	p.reportUnplaceable(p.findUnplaceable(t, now), len(p.unplaceable))
}

// findUnplaceable updates unplaceable every unplaceablePeriod and returns the jobs that were not in it before.
func (p *proposer) findUnplaceable(t *table.Tables, now time.Time) []queue.UnplaceableJob {
	if now.Sub(p.lastUnplaceableSearch) < unplaceablePeriod {
		return nil
	}
	p.lastUnplaceableSearch = now
	known := p.unplaceable
	p.unplaceable = map[table.JobID]string{}
	var fresh []queue.UnplaceableJob
	for _, n := range queue.UnplaceableJobs(t, p.policy.controller.QueueConfig(t)) {
		p.unplaceable[n.Job] = n.Reason
		if _, ok := known[n.Job]; !ok {
			fresh = append(fresh, n)
		}
	}
	return fresh
}

// runFollower runs on a host that is not the proposer. It updates unplaceable for status requests and records which
// tasks run beside which instances, so that reports can be attributed to them when the host becomes the proposer.
func (p *proposer) runFollower(t *table.Tables, now time.Time) {
	p.findUnplaceable(t, now)
	p.reportUnplaceable(nil, 0) // the proposer reports them
	if now.Sub(p.lastPlacement) < maxPlacementInterval {
		return
	}
	p.lastPlacement = now
	p.policy.controller.RecordNeighbours(t, queue.NewScan(t), now)
}

// place runs the policy. The next pass waits until the records of this one are applied, as it would choose the same
// tasks again.
func (p *proposer) place(t *table.Tables, now time.Time) {
	if p.placementPending || (!p.dirty && now.Sub(p.lastPlacement) < maxPlacementInterval) {
		return
	}
	p.dirty = false
	p.lastPlacement = now
	rs := p.policy.tick(t, now, p.unreachable())
	if len(rs) == 0 {
		return
	}
	p.placementPending = true
	p.submit("policy", rs, func(journal.Result, error) {
		p.onNextTick(func() { p.placementPending = false })
	})
}

// expire removes idempotency keys, final jobs and writers whose retention period is over.
//
// The retention period is measured on this host's monotonic clock from the time at which it applied an offset, so that
// a step of the wall clock removes nothing early.
func (p *proposer) expire(now time.Time) {
	if p.expiryPending || now.Sub(p.lastExpiry) < expirePeriod {
		return
	}
	p.lastExpiry = now
	e := journal.Expired{
		Claims: p.appliedBefore(now.Add(-p.cfg.Timing.KeyRetention.D())),
		Jobs:   p.appliedBefore(now.Add(-p.cfg.Timing.JobRetention.D())),
	}
	e.Writers = min(e.Claims, e.Jobs)
	p.trimApplyTimes(now)
	if e.Claims == 0 && e.Jobs == 0 {
		return
	}
	p.expiryPending = true
	p.submit("retention", []journal.Record{{Expired: &e}}, func(journal.Result, error) {
		p.onNextTick(func() { p.expiryPending = false })
	})
}

// appliedBefore returns the highest offset known to have been applied by the given time, or 0.
func (p *proposer) appliedBefore(at time.Time) table.Offset {
	var off table.Offset
	for _, e := range p.applyTimes {
		if e.at.After(at) {
			break
		}
		off = e.off
	}
	return off
}

// trimApplyTimes drops apply times older than the longest retention period, except the latest of them.
func (p *proposer) trimApplyTimes(now time.Time) {
	oldest := now.Add(-max(p.cfg.Timing.KeyRetention.D(), p.cfg.Timing.JobRetention.D()))
	for len(p.applyTimes) > 1 && p.applyTimes[1].at.Before(oldest) {
		p.applyTimes = p.applyTimes[1:]
	}
}
