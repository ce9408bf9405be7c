package dispatch

import (
	"slices"
	"time"

	"persimmonpick/table"
)

// An order names its worker by ID, which all incarnations of the worker share, so an order that is carried out late
// may reach a later incarnation than it is meant for. That one may grant a lease up to its limit, whatever the order
// says, as its clock may read anything. An order under a newer token keeps such orders off.

// longestLease returns how long a lease may last on this host's clock that an order for another incarnation extends.
func (sched *Scheduler) longestLease() time.Duration {
	return maxLeaseDuration(max(sched.cfg.LeaseTerm, sched.cfg.MaxLease))
}

// leaseOfOthersEnd returns when the lease of the present incarnation of w has ended as far as orders for earlier ones
// have extended it, of which it carries out no more from now on.
func (sched *Scheduler) leaseOfOthersEnd(w *worker, now time.Time) time.Time {
	last := now
	if end := w.knownSince.Add(supersededExtension + lateOrderLimit); !w.restarted && end.Before(now) {
		last = end
	}
	return last.Add(sched.longestLease())
}

// inheritedLeaseEnd returns when a lease has ended that an earlier leader may have extended until it noticed that a
// newer leader had superseded it.
func (sched *Scheduler) inheritedLeaseEnd(now time.Time) time.Time {
	return now.Add(supersededExtension + sched.longestLease())
}

// recordedLeaseEnd is inheritedLeaseEnd for an incarnation that earlier leaders have known since the given time. Orders
// for the ones before it are void since it was contacted, or once they are too late.
func (sched *Scheduler) recordedLeaseEnd(since time.Time, contacted bool, now time.Time) time.Time {
	own := now.Add(supersededExtension + maxLeaseDuration(sched.cfg.LeaseTerm))
	other := sched.inheritedLeaseEnd(since)
	if !contacted {
		other = other.Add(lateOrderLimit)
	}
	return latest(own, other)
}

// lateOrdersEnd returns when the lease of an incarnation of w has ended that this leader has not polled, but that may
// have carried out orders for earlier incarnations.
func (sched *Scheduler) lateOrdersEnd(w *worker) time.Time {
	sent := latest(sched.ledSince.Add(supersededExtension), w.leaseSentAt)
	return sent.Add(lateOrderLimit + sched.longestLease())
}

// latest returns the later one of two times.
func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// isAnother reports whether i is another incarnation of w than the one that is known. Births are times of day, which
// may be set back, so they do not tell which is the later one; the order of calls does.
func (w *worker) isAnother(i table.UnixMillis) bool {
	return i != 0 && i != w.info.Incarnation && (w.info.Incarnation != 0 || w.contacted)
}

// workerRestarted resets what is known of w, so that it is polled under a higher token as by a new leader. The new
// incarnation may have answered starts already, and unanswered starts may still reach it, so only a list of its
// runs under a higher token tells which of these were lost.
func (sched *Scheduler) workerRestarted(w *worker, incarnation table.UnixMillis, now time.Time) {
	sched.cfg.Log.Info("worker restarted", "Worker", w.info.ID, "Born", incarnation, "Before", w.info.Incarnation, "Tasks", len(w.tasks))
	if w.info.Incarnation != 0 {
		sched.workerCrashed(w, crashRestarted, now)
	}
	w.forgetAges()
	w.info.Incarnation = incarnation
	sched.contactAnew(w, now)
	sched.recordWorkerChange(w)
}

// contactAnew has w polled as by a new leader.
func (sched *Scheduler) contactAnew(w *worker, now time.Time) {
	w.acknowledged, w.ackDueSince, w.answeredToken, w.strayUse = 0, time.Time{}, 0, strayUse{}
	w.restarted = true
	w.contacted, w.clockAt, w.appliedResult, w.loggedResult, w.unlogged = false, time.Time{}, 0, 0, nil
	w.raiseToken()
	w.failStreak, w.stall = 0, workerStall{}
	w.pollAnew(now)
}

// pollAnew has a new incarnation of w polled at once, and again soon if it does not answer.
func (w *worker) pollAnew(now time.Time) {
	w.pollSentAt, w.retries = now, 0
	w.pollUrgently(now)
}

// forgetAges forgets the ages of the runs on w, which are times on the clock of an incarnation that has ended.
func (w *worker) forgetAges() {
	for _, t := range w.tasks {
		t.listed = false
	}
}

// restartUnresolved reports whether w has restarted and this leader has not polled its present incarnation.
func (w *worker) restartUnresolved() bool { return w.restarted && !w.contacted }

// heldForLateOrders reports whether a run of t may be at work though the lease that this leader knows of has ended: a
// later incarnation of its worker may carry out a start that was not answered, and may have answered one whose run no
// list holds.
func (sched *Scheduler) heldForLateOrders(t *task, now time.Time) bool {
	return (t.phase == starting || t.worker.restartUnresolved() && !t.seen) && !now.After(sched.lateOrdersEnd(t.worker))
}

// firstContact applies the first reply of an incarnation of w under a token of this leader.
func (sched *Scheduler) firstContact(w *worker, l PollReply, now time.Time) {
	later := w.isAnother(l.Incarnation)
	if later {
		sched.workerCrashed(w, crashRestarted, now) // before its clock is replaced
		w.forgetAges()
		w.restarted = true
	}
	own, before := now.Add(maxLeaseDuration(sched.cfg.LeaseTerm)), w.leaseUntil
	if own.Before(before) || later || w.info.Incarnation == 0 {
		w.leaseUntil = own
	}
	other := sched.leaseOfOthersEnd(w, now)
	if w.leaseBound.covers(l.Incarnation) && before.Before(other) {
		other = before // no leader extends it further
	}
	w.leaseUntil = latest(w.leaseUntil, other)
	w.contacted, w.contactedAt = true, now
	if l.Incarnation != 0 {
		w.info.Incarnation = l.Incarnation
	}
	sched.recordWorkerChange(w)
	sched.cfg.Log.Info("worker contacted", "Worker", w.info.ID, "Born", l.Incarnation, "Clock", l.Clock, "Token", w.token, "LeaseLeft", w.leaseUntil.Sub(now).Round(time.Millisecond))
}

// lostBefore reports whether the run of t that w holds has ended with an earlier incarnation, or has never started,
// while another run of t has ended as done, by a reply to a poll that was sent at the given time.
func (w *worker) lostBefore(t *task, e TaskResult, o PollOrder, l PollReply, sent time.Time) bool {
	if t == nil || t.worker != w || e.Cause != EndDone || e.Run == t.run {
		return false
	}
	known := t.phase == running && sent.After(t.startResolvedAt) || t.startSettledBy(o.Token)
	return known && !slices.ContainsFunc(l.Running, func(r RunningTask) bool { return r.Task == e.Task && r.Run == t.run })
}

// startedByAnother notes that o was answered by a later incarnation than the one that it is for.
func (sched *Scheduler) startedByAnother(w *worker, o StartOrder, now time.Time) {
	sched.cfg.Log.Info("start order answered by another incarnation", "Task", o.Task.String(), "Run", o.Run, "Worker", o.Worker)
	if w.contacted && w.info.Incarnation == o.incarnation {
		sched.contactAnew(w, now)
		return
	}
	w.pollUrgently(now)
}
