package dispatch

import (
	"time"

	"persimmonpick/table"
	"persimmonpick/workload"
)

// maxMoves is the number of moves by supervise, for any reason, after which a task is no longer moved for being slow,
// and the number of moves for lack of progress after which the next ones become rarer.
const maxMoves = 2

// supervise moves tasks that make no progress, that are far slower than their peers, or whose worker is draining or
// being evacuated.
func (sched *Scheduler) supervise(now time.Time) {
	for _, w := range sched.workers {
		for _, t := range w.tasks {
			if t.phase != running || t.stopReason != "" {
				continue
			}
			why := sched.moveReason(w, t, now)
			if why == "" {
				continue
			}
			t.stopReason = why
			if why == whyEvacuated && !t.withinDisruptionBudget() {
				t.stopReason = "" // checked again with the next decision
				continue
			}
			switch why {
			case whyStalled:
				sched.runStalled(w, t, now)
			default:
				sched.counts.Moved++
			}
			t.moves++
			sched.cfg.Log.Info("moving run", "Task", t.key.String(), "Run", t.run, "Worker", w.info.ID, "Why", why,
				"Percent", t.percent, "Ran", table.FormatAgeAt(now, t.startedAt), "Heard", table.FormatAgeAt(now, w.heardAt))
		}
	}
}

// The reasons why a run is moved.
const (
	whyStalled   = "no progress"
	whySlow      = "slower than its peers"
	whyDraining  = "worker leaves"
	whyEvacuated = "worker is emptied"
	// Latency-critical tasks are moved together, see consolidate.
	whyConsolidated = "consolidation"

	whyInterference = "disturbs tasks that serve" // interferes with latency-critical tasks
)

func (sched *Scheduler) moveReason(w *worker, t *task, now time.Time) string {
	if w.info.Draining && sched.mustLeave(w, t, now) {
		return whyDraining
	}
	if t.late.mayComeAt(now) {
		return "" // it is bound to w
	}
	if w.evacuating && (t.group.step.LongRunning || t.group.step.Checkpoints) {
		return whyEvacuated
	}
	if now.Sub(w.heardAt) > pollWaitRunning+pollGrace || t.startedAt.IsZero() {
		return "" // the last report is too old to judge by
	}
	if t.group.step.LongRunning && t.percent == fullPercent {
		return ""
	}
	if t.cpuPercent == 0 {
		t.progressedAt = now
		return ""
	}
	if sched.isStalled(w, t) {
		return whyStalled
	}
	if sched.isSlow(t, now) {
		return whySlow
	}
	return ""
}

// mustLeave reports whether a task on a draining worker would not finish there in time.
func (sched *Scheduler) mustLeave(w *worker, t *task, now time.Time) bool {
	left := w.leavesAt.Sub(now) - drainMargin
	if t.group.step.LongRunning {
		return sched.order.LeavesNow(w.info.Service, left, w.leaveSeen && sched.scarcity > 0)
	}
	ran := now.Sub(t.startedAt)
	if t.percent <= 0 {
		return left < ran+time.Duration(t.group.step.Estimate)*time.Millisecond
	}
	return ran*time.Duration(fullPercent-t.percent)/time.Duration(t.percent) > left
}

// isSlow reports whether a run is far slower than the finished runs of its step.
func (sched *Scheduler) isSlow(t *task, now time.Time) bool {
	g := t.group
	if g.step.LongRunning || t.moves >= maxMoves || len(g.durations) < 2 || 2*len(g.durations) < len(g.tasks) {
		return false
	}
	usual := median(g.durations)
	ran := now.Sub(t.startedAt)
	if ran < minSlowRun || float64(ran) < slowFactor*float64(usual) {
		return false
	}
	left := ran * time.Duration(fullPercent-t.percent) / time.Duration(max(1, t.percent))
	return left > usual
}

// StopOrders returns the stop orders that are due.
func (sched *Scheduler) StopOrders(now time.Time) []StopOrder {
	var orders []StopOrder
	for _, w := range sched.workers {
		if !w.contacted || w.info.Address == "" {
			continue
		}
		for _, t := range w.tasks {
			due := t.phase == running && t.stopReason != "" && t.withinDisruptionBudget() || t.phase == stopping && now.Sub(t.stopSentAt) > stopRetryDelay
			if !due {
				continue
			}
			t.phase, t.stopSentAt = stopping, now
			orders = append(orders, sched.stop(w, t.key, t.run))
		}
		if len(w.strays) == 0 || now.Sub(w.straysStoppedAt) < stopRetryDelay {
			continue
		}
		w.straysStoppedAt = now
		for key, run := range w.strays {
			orders = append(orders, sched.stop(w, key, run))
			delete(w.strays, key) // the next poll lists it again if it still runs
		}
	}
	return orders
}

func (sched *Scheduler) stop(w *worker, key workload.TaskKey, run workload.RunNumber) StopOrder {
	return StopOrder{Worker: w.info.ID, Address: w.info.Address, Task: key, Run: run, Token: w.token}
}

// withinDisruptionBudget reports whether the disruption budget of its step allows t to be stopped. A task that may be
// ready may be stopped only while fewer than MaxUnavailable other tasks of the step are not ready; the budget does not
// apply if its worker drains or its job is final.
func (t *task) withinDisruptionBudget() bool {
	g := t.group
	if g.step.MaxUnavailable <= 0 || !t.mayBeReady() || t.worker.info.Draining || g.job.state.Final() {
		return true
	}
	missing := 0
	for _, o := range g.tasks {
		if o != t && !o.knownReady() {
			missing++
		}
	}
	return missing < g.step.MaxUnavailable
}

// knownReady reports whether t is ready by a report of its worker, which answers: one that is silent may have crashed.
func (t *task) knownReady() bool {
	return t.phase == running && t.percent == fullPercent && t.worker.contacted && t.worker.missedPolls == 0
}

// mayBeReady reports whether t is ready, or may be since the last report on it, if there was one. A long-running task
// is ready soon after its start unless its progress stands. The members of a gang that is broken up must end together.
func (t *task) mayBeReady() bool {
	if t.percent == fullPercent {
		return true
	}
	if !t.group.step.LongRunning || t.group.step.Gang {
		return false
	}
	return t.phase == starting || t.startedAt.IsZero() || t.worker.heardAt.Sub(t.progressedAt) <= stallTimeout
}
