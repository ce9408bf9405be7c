package dispatch

import (
	"time"

	"persimmonpick/workload"
)

// maxMoves bounds how often one task is moved because it was slow.
const maxMoves = 2

// supervise moves tasks that make no progress, that are far slower than their peers, or whose worker leaves.
func (b *Scheduler) supervise(now time.Time) {
	for _, w := range b.workers {
		stalled := 0
		for _, t := range w.tasks {
			if t.phase != running || t.stopWhy != "" {
				continue
			}
			why := b.trouble(w, t, now)
			if why == "" {
				continue
			}
			t.stopWhy = why
			if why == whyEmptied && !t.dispensable() {
				t.stopWhy = "" // asked again with the next decision
				continue
			}
			switch why {
			case whyStalled:
				stalled++
				b.counts.Stalled++
			default:
				b.counts.Moved++
			}
			t.moves++
			b.cfg.Log.Info("run moves", "Task", t.key.String(), "Run", t.run, "Worker", w.info.ID, "Why", why,
				"Percent", t.percent, "Ran", now.Sub(t.began).Round(time.Millisecond), "Heard", now.Sub(w.heard).Round(time.Millisecond))
		}
		if stalled > 0 && w.bad(now, whyStalled) {
			b.cfg.Log.Warn("worker gets no work", "Worker", w.info.ID, "Why", w.badWhy, "Stalled", stalled, "Until", w.badUntil)
		}
	}
}

// The reasons why a run moves.
const (
	whyStalled = "no progress"
	whySlow    = "slower than its peers"
	whyLeaves  = "worker leaves"
	whyEmptied = "worker is emptied"

	whyDisturbs = "disturbs tasks that serve"
)

func (b *Scheduler) trouble(w *worker, t *task, now time.Time) string {
	if w.info.Draining && b.mustLeave(w, t, now) {
		return whyLeaves
	}
	if w.empties && (t.group.step.LongRunning || t.group.step.Checkpoints) {
		return whyEmptied
	}
	if now.Sub(w.heard) > lookRunning+lookGrace || t.began.IsZero() {
		return "" // what is known of it is old
	}
	if t.group.step.LongRunning && t.percent == fullPace {
		return ""
	}
	if t.pace == 0 {
		t.moved = now
		return ""
	}
	if now.Sub(t.moved) > stallAfter {
		return whyStalled
	}
	if b.slow(t, now) {
		return whySlow
	}
	return ""
}

// mustLeave says whether a task on a draining worker would not end there in time.
func (b *Scheduler) mustLeave(w *worker, t *task, now time.Time) bool {
	if t.group.step.LongRunning {
		return true
	}
	left := w.drained.Sub(now) - drainMargin
	ran := now.Sub(t.began)
	if t.percent <= 0 {
		return left < ran+time.Duration(t.group.step.Estimate)*time.Millisecond
	}
	return ran*time.Duration(fullPace-t.percent)/time.Duration(t.percent) > left
}

// slow compares a run with the finished runs of its step.
func (b *Scheduler) slow(t *task, now time.Time) bool {
	g := t.group
	if g.step.LongRunning || t.moves >= maxMoves || len(g.durations) < 2 || 2*len(g.durations) < len(g.tasks) {
		return false
	}
	usual := median(g.durations)
	ran := now.Sub(t.began)
	if ran < slowAtLeast || float64(ran) < slowFactor*float64(usual) {
		return false
	}
	left := ran * time.Duration(fullPace-t.percent) / time.Duration(max(1, t.percent))
	return left > usual
}

// StopOrders returns the stop orders that are due.
func (b *Scheduler) StopOrders(now time.Time) []StopOrder {
	var orders []StopOrder
	for _, w := range b.workers {
		if !w.contacted || w.info.Address == "" {
			continue
		}
		for _, t := range w.tasks {
			due := t.phase == running && t.stopWhy != "" && t.dispensable() || t.phase == stopping && now.Sub(t.stopSent) > stopAgain
			if !due {
				continue
			}
			t.phase, t.stopSent = stopping, now
			orders = append(orders, b.stop(w, t.key, t.run))
		}
		if len(w.strays) == 0 || now.Sub(w.strayStop) < stopAgain {
			continue
		}
		w.strayStop = now
		for key, run := range w.strays {
			orders = append(orders, b.stop(w, key, run))
			delete(w.strays, key) // the next look names it again if it goes on
		}
	}
	return orders
}

func (b *Scheduler) stop(w *worker, key workload.TaskKey, run workload.RunNumber) StopOrder {
	return StopOrder{Worker: w.info.ID, Address: w.info.Address, Task: key, Run: run, Token: w.token}
}

// dispensable says whether the disruption budget of its step allows to stop t: a task at work on a worker that stays, of a job that goes on, may be stopped only while few others of the step are missing.
func (t *task) dispensable() bool {
	g := t.group
	if g.step.MaxUnavailable <= 0 || t.percent != fullPace || t.worker.info.Draining || g.job.state.Final() {
		return true
	}
	missing := 0
	for _, o := range g.tasks {
		if o != t && (o.phase != running || o.percent != fullPace) {
			missing++
		}
	}
	return missing < g.step.MaxUnavailable
}
