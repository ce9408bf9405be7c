package dispatch

import "time"

// Parameters of the judgement whether a run makes progress. Progress is reported in whole percent, so a long run shows
// none for a while.
const (
	// A run stalls if percent stands for this many times as long as one percent takes; workers may turn several times
	// slower at any moment.
	stallFactor = 10
	minGained   = 3    // percent, from which the rate of a run counts for more than what was expected
	minRunShare = 0.05 // a run counts as having at least this share of its processors
	// A task that has stalled maxMoves times is moved after twice the time of its last move, so that a task that takes
	// far longer than declared shows its progress, and one that stands everywhere is seldom moved.
	stallDoublings = 4
)

// runProgress is what the reports on a run tell of its progress. Its times count at the share of its processors that
// the run had, so that a run at half speed takes a second for half a second.
type runProgress struct {
	measured     bool // there was a report
	measuredAt   time.Time
	firstPercent int           // in the first report, above 0 if the run resumes from a checkpoint
	standing     time.Duration // since percent last changed
	worked       time.Duration // from the first report until percent last changed
}

// recordProgress applies the progress in a report on the run of t.
func (t *task) recordProgress(r RunningTask, now time.Time) {
	p := &t.observed
	if !p.measured {
		*p = runProgress{measured: true, measuredAt: t.startedAt, firstPercent: r.Percent}
	}
	p.standing += time.Duration(t.runShare(r) * float64(now.Sub(p.measuredAt)))
	p.measuredAt = now
	if t.group.step.LongRunning && r.Percent == fullPercent {
		t.stalls = 0
	}
	if r.Percent == t.percent {
		return
	}
	if r.Percent != p.firstPercent {
		p.worked += p.standing
	}
	t.percent, t.progressedAt, p.standing = r.Percent, now, 0
	if per, gained := t.perPercent(); gained >= minGained && (t.group.perPercent == 0 || per < t.group.perPercent) {
		t.group.perPercent = per
	}
}

// runShare returns the share of its processors that a run has had since the last report. Best-effort runs get what
// others leave. What a run uses tells nothing of its progress, since runs that stand still may use all they get.
func (t *task) runShare(r RunningTask) float64 {
	if t.cpuPercent == 0 {
		return 0 // paused
	}
	share := float64(t.cpuPercent) / fullPercent
	if t.group.step.BestEffort && r.CPU > 0 {
		share = min(share, float64(r.CPU)/float64(max(1, t.group.step.Need.CPU)))
	}
	return max(minRunShare, share)
}

// perPercent returns how long one percent of a run took at most with all its processors, and the number of percent
// gained since its first report; the time is 0 if none was.
func (t *task) perPercent() (time.Duration, int) {
	gained := t.percent - t.observed.firstPercent
	if gained <= 0 {
		return 0, 0
	}
	// The first percent may have been nearly complete at the first report.
	return t.observed.worked / time.Duration(max(1, gained-1)), gained
}

// expectedPerPercent returns how long one percent of a run is expected to take with all its processors: by its own
// rate once that is known, else by the rates of the other runs of its step, else by the declared duration.
func (sched *Scheduler) expectedPerPercent(t *task) time.Duration {
	own, gained := t.perPercent()
	if gained >= minGained {
		return own
	}
	if t.group.perPercent > 0 {
		return max(own, t.group.perPercent)
	}
	return max(own, sched.usualDuration(t.group.job, t.group.step.Estimate)/fullPercent)
}

// isStalled reports whether a run makes no progress, by the reports of w; a lost poll tells nothing.
func (sched *Scheduler) isStalled(w *worker, t *task) bool {
	doublings := min(stallDoublings, max(0, t.stalls-maxMoves+1))
	if w.heardAt.Sub(t.progressedAt) <= stallTimeout<<doublings {
		return false
	}
	// The declared duration of a long-running task is not that of its startup.
	return t.group.step.LongRunning || t.observed.standing > stallFactor*sched.expectedPerPercent(t)<<doublings
}
