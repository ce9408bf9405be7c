package dispatch

import (
	"time"

	"persimmonpick/fault"
)

// StartDone applies the outcome of a start order.
func (sched *Scheduler) StartDone(o StartOrder, res StartResult, now time.Time) {
	t := sched.task(o.Task)
	if t != nil && res == StartUnknown && t.phase != done {
		sched.noteLateStart(t, o.Worker, now.Add(lateOrderLimit), now)
	}
	if t == nil || t.run != o.Run || t.phase != starting || t.worker.info.ID != o.Worker {
		return
	}
	w := t.worker
	if res == AnsweredByAnother {
		t.startUnknown = true
		sched.startedByAnother(w, o, now)
		return
	}
	if res != NotSent && res != StartUnknown {
		sched.startOutcomes.of(w.info.Service).observe(true, now)
	}
	switch res {
	case Started:
		sched.runStarted(t, now)
		w.startAnswered(t, now)
		return
	case StartUnknown, RefusedStaleRun:
		// Once the worker has answered a poll under a higher token, the order can no longer take effect.
		sched.counts.Unknown++
		sched.cfg.Log.Info("start order not answered", "Task", o.Task.String(), "Run", o.Run, "Worker", o.Worker, "Result", res)
		t.startUnknown, t.outdated = true, res == RefusedStaleRun
		if w.token == o.Token {
			w.raiseToken()
		}
		w.pollUrgently(now)
		return
	case RefusedFence:
		sched.checkFence(w, o.Token, true)
	case RefusedCapacity:
		w.fullUntil = now.Add(refusedBackoff)
	case RefusedTicket:
		delete(t.group.approvals, o.Worker)
	case RefusedUnhealthy, NotSent:
		w.quarantine(now, res.String())
	}
	sched.counts.Refused++
	sched.cfg.Log.Info("start refused", "Task", o.Task.String(), "Run", o.Run, "Worker", o.Worker, "Result", res)
	w.pollUrgently(now)
	sched.crashRefuted(t)
	t.refusedBy = o.Worker
	sched.requeueUnbegun(t, now)
	sched.breakGang(t, "member refused")
}

// checkFence records that w refused an order because it has seen a higher token. If token is the newest of this
// leader for w, only another leader can have used a higher one.
func (sched *Scheduler) checkFence(w *worker, token FenceToken, refused bool) {
	if !refused || token < w.token || sched.superseded {
		return
	}
	sched.superseded = true
	sched.cfg.Log.Warn("superseded by another leader", "Worker", w.info.ID, "Token", token, "Epoch", sched.cfg.Epoch)
}

// Superseded reports whether a worker has refused this leader in favor of another one.
func (sched *Scheduler) Superseded() bool { return sched.superseded }

// breakGang stops the members of a gang that cannot be complete.
func (sched *Scheduler) breakGang(t *task, why string) {
	if !t.group.step.Gang {
		return
	}
	for _, o := range t.group.tasks {
		if o.phase == starting || o.phase == running {
			o.stopReason = why
		}
	}
}

// StopDone applies the outcome of a stop order; the end of the run is reported by a poll.
func (sched *Scheduler) StopDone(o StopOrder, err error, now time.Time) {
	w := sched.workers[o.Worker]
	if w == nil {
		return
	}
	if err != nil {
		sched.checkFence(w, o.Token, fault.Of(err) == fault.Stale)
		sched.cfg.Log.Info("stop order not confirmed", "Task", o.Task.String(), "Run", o.Run, "Worker", o.Worker, "Error", err)
		if t := sched.task(o.Task); fault.Of(err) == fault.Stale && o.Token < w.token && t != nil && t.worker == w && t.run == o.Run {
			t.stopSentAt = time.Time{} // a newer order has overtaken it
		}
		return
	}
	w.pollUrgently(now.Add(pollPause))
}
