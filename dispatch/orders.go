package dispatch

import (
	"time"

	"persimmonpick/fault"
)

// StartDone takes the outcome of a start order.
func (b *Scheduler) StartDone(o StartOrder, res StartResult, now time.Time) {
	t := b.task(o.Task)
	if t == nil || t.run != o.Run || t.phase != starting || t.worker.info.ID != o.Worker {
		return
	}
	w := t.worker
	switch res {
	case Started:
		b.began(t, now)
		return
	case StartUnknown, RefusedStaleRun:
		// Once a look under a higher token is answered, the order can no longer take effect.
		b.counts.Unknown++
		b.cfg.Log.Info("start has no answer", "Task", o.Task.String(), "Run", o.Run, "Worker", o.Worker, "Result", res)
		t.uncertain = true
		if w.token == o.Token {
			w.token++
		}
		w.hurry(now)
		return
	case RefusedFence:
		b.fenced(w, o.Token, true)
	case RefusedCapacity:
		w.fullUntil = now.Add(refusedWait)
	case RefusedTicket:
		delete(t.group.verdicts, o.Worker)
	case RefusedUnhealthy, NotSent:
		w.bad(now, res.String())
	}
	b.counts.Refused++
	b.cfg.Log.Info("start refused", "Task", o.Task.String(), "Run", o.Run, "Worker", o.Worker, "Result", res)
	w.hurry(now)
	b.unplace(t, now, refusedWait)
	b.breakGang(t, "member refused")
}

// fenced notes that w refused an order because it has seen a higher token, which only another leader can have used if ours is the newest of this one.
func (b *Scheduler) fenced(w *worker, token FenceToken, refused bool) {
	if !refused || token < w.token || b.displaced {
		return
	}
	b.displaced = true
	b.cfg.Log.Warn("another leader gives orders", "Worker", w.info.ID, "Token", token, "Epoch", b.cfg.Epoch)
}

// Superseded says whether a worker has refused this leader for another one.
func (b *Scheduler) Superseded() bool { return b.displaced }

// breakGang stops the members of a gang that cannot be whole.
func (b *Scheduler) breakGang(t *task, why string) {
	if !t.group.step.Gang {
		return
	}
	for _, o := range t.group.tasks {
		if o.phase == starting || o.phase == running {
			o.stopWhy = why
		}
	}
}

// StopDone takes the outcome of a stop order; the end of the run shows in a look.
func (b *Scheduler) StopDone(o StopOrder, err error, now time.Time) {
	w := b.workers[o.Worker]
	if w == nil {
		return
	}
	if err != nil {
		b.fenced(w, o.Token, fault.Of(err) == fault.Stale)
		b.cfg.Log.Info("stop not confirmed", "Task", o.Task.String(), "Run", o.Run, "Worker", o.Worker, "Error", err)
		return
	}
	w.hurry(now.Add(lookPause))
}
