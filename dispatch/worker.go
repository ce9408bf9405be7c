package dispatch

import (
	"time"

	"persimmonpick/table"
	"persimmonpick/workload"
)

// worker is the leader's view of a worker.
type worker struct {
	info              WorkerInfo
	listed            bool             // in the worker list
	missingSince      time.Time        // 0 unless this leader has seen that it is not in the list, or was replaced
	listedIncarnation table.UnixMillis // in its newest entry of the list
	handedOver        bool             // its handover record is written or scheduled
	recorded          WorkerInfo       // in its handover record
	addressUncertain  bool             // its address is from an entry with an earlier birth; another worker may be there
	contactRecorded   bool             // its handover record tells that the incarnation was polled
	leavesAt          time.Time        // when a draining worker leaves at the earliest
	leaveSeen         bool             // this leader listed it before it drained, so that leavesAt is not too late
	evacuating        bool             // being evacuated for the maintenance of its machine
	evacuated         table.UnixMillis // incarnation whose evacuation has ended, at evacuatedAt
	evacuatedAt       time.Time
	zoneEvacuated     bool      // its availability zone is evacuated
	clearedUntil      time.Time // cleared of latency-critical tasks, see consolidate
	crash             *crash    // the last one that was counted

	watched     int       // suspects here whose runs may still crash it
	isolated    int       // of these, those that must run beside proven runs only
	risk        float64   // likelihoods of other runs here that may still crash it
	settleDueAt time.Time // of the next poll for the sake of suspects
	keptFor     *task     // gets no other task until keptUntil, see keepWorkerFor
	keptUntil   time.Time

	token       FenceToken
	contacted   bool // this leader has polled this incarnation, first at contactedAt
	contactedAt time.Time
	restarted   bool      // an earlier incarnation may have got orders of this leader
	knownSince  time.Time // from when only superseded leaders have sent orders for earlier incarnations
	heardAt     time.Time
	aliveAt     time.Time // when the newest start that it confirmed was sent
	silentAt    time.Time // when it first missed a call, while missedPolls is not 0
	missedPolls int       // calls in a row without an answer
	retries     int       // of these, those since the present incarnation was known

	clock           WorkerClock // at clockAt
	clockAt         time.Time
	leaseBound      leaseBound
	leaseUntil      time.Time // bound on the lease; no run there outlasts it unless the lease is extended
	leaseSentAt     time.Time // when this leader sent the newest order with a lease
	pollSentAt      time.Time // of the newest poll that was applied, or when its incarnation was first known
	pollsInFlight   int
	firstPollAt     time.Time // of this leader
	nextPollAt      time.Time
	urgent          bool                                    // the next poll must resolve an unknown outcome
	strays          map[workload.TaskKey]workload.RunNumber // runs to stop that no task holds
	straysStoppedAt time.Time
	strayUse        strayUse         // by the newest list of its runs
	fullUntil       time.Time        // after it refused a start for lack of room
	appliedResult   ResultNumber     // newest result that was applied
	loggedResult    ResultNumber     // up to which the effects of all results are in the log
	ackSent         bool             // a poll under the token acknowledges results and was not answered yet
	acknowledged    ResultNumber     // newest one that an answered poll has acknowledged
	ackDueSince     time.Time        // since when results wait to be acknowledged; 0 if none do
	answeredToken   FenceToken       // newest one under which the present incarnation has answered a poll
	unlogged        []unloggedResult // applied results whose effects are not known to be in the log, by their numbers

	tasks         map[workload.TaskKey]*task
	used          table.Resources  // counted against the capacity
	criticalCPU   table.Millicores // of latency-critical tasks, part of used
	criticalTasks int
	longRunning   int
	bestEffortCPU table.Millicores

	failStreak       int
	stall            workerStall
	quarantines      int
	quarantinedAt    time.Time
	quarantinedUntil time.Time
	probedAt         time.Time // when a task was last placed in spite of a quarantine, or failed
	imposedAt        time.Time // when a starved task was last placed beside latency-critical tasks
	quarantineReason string
	lastSuccessAt    time.Time
	// Of best-effort tasks, by image; images without an entry are not throttled.
	throttles         map[string]throttle
	criticalByImage   map[string]int              // number of latency-critical tasks, by image
	bestEffortByImage map[string]table.Millicores // of best-effort tasks, by image
	throttledAt       time.Time
	headrooms         map[string]headroom // by latency-critical image
	tolerance         float64             // share of the best-effort images that hardly interfere here
	tailLowSince      time.Time
	worstTail         float64 // newest tail latency of the latency-critical tasks, as a share of their target
}

func newWorker(info WorkerInfo, token FenceToken) *worker {
	return &worker{
		info: info, token: token, tasks: map[workload.TaskKey]*task{}, criticalByImage: map[string]int{},
		bestEffortByImage: map[string]table.Millicores{},
	}
}

// assign assigns t to w.
func (w *worker) assign(t *task, p phase) {
	t.group.waitingTasks--
	t.worker, t.phase, t.notBegun = w, p, false
	w.tasks[t.key] = t
	w.charge(t, 1)
	w.watch(t)
	t.group.perWorker[w.info.ID]++
	if t.group.rack == "" {
		t.group.rack = w.info.Rack
	}
}

// release takes t off its worker and makes it wait.
func (w *worker) release(t *task) {
	delete(w.tasks, t.key)
	w.charge(t, -1)
	w.unwatch(t)
	t.group.perWorker[w.info.ID]--
	t.worker, t.phase, t.startUnknown = nil, waiting, false
	t.group.waitingTasks++
	t.cpuPercent, t.percent, t.stopSentAt, t.stopReason = fullPercent, 0, time.Time{}, ""
	t.observed = runProgress{}
	t.tailLatency, t.cpuUsage, t.throttlePending, t.throttled = 0, 0, false, false
	t.crashCounted, t.listed, t.proven, t.confirmedAt, t.started = false, false, false, time.Time{}, startNotKnown
	t.shareUnknown, t.seen = false, false
}

// charge adds what t uses to the totals of w, or subtracts it if sign is -1.
func (w *worker) charge(t *task, sign int) {
	s := t.group.step
	n := t.group.need()
	n.CPU *= table.Millicores(sign)
	n.Memory *= table.Bytes(sign)
	n.Accelerators *= sign
	w.used = w.used.Plus(n)
	if s.BestEffort {
		w.bestEffortCPU += s.Need.CPU * table.Millicores(sign)
		w.bestEffortByImage[s.Image] += s.Need.CPU * table.Millicores(sign)
		if w.bestEffortByImage[s.Image] == 0 {
			delete(w.bestEffortByImage, s.Image)
		}
	}
	if s.LongRunning {
		w.longRunning += sign
	}
	if s.LatencyCritical() {
		w.criticalCPU += s.Need.CPU * table.Millicores(sign)
		w.criticalTasks += sign
		w.criticalByImage[s.Image] += sign
		if w.criticalByImage[s.Image] == 0 {
			delete(w.criticalByImage, s.Image)
		}
	}
}

// raiseToken makes all orders that are on their way to w void once it has seen a newer one.
func (w *worker) raiseToken() {
	w.token++
	w.ackSent = false
}

// acknowledgeIn lets o, the next poll of w, acknowledge results. Each incarnation numbers its results anew. If the next
// one carried out such a poll after a start under the same token, it would drop the result of that run unread. So no
// start is on its way when the poll is sent, and later ones get a newer token until it is answered.
func (w *worker) acknowledgeIn(o *PollOrder, now time.Time) {
	switch {
	case w.missedPolls > 0 || w.ackSent || w.loggedResult == 0:
	case !w.startOnItsWay():
		o.Acked, w.ackSent, w.ackDueSince = w.loggedResult, true, time.Time{}
	case w.ackDueSince.IsZero() && w.loggedResult > w.acknowledged:
		w.ackDueSince = now
	}
}

// startOnItsWay reports whether w may yet carry out a start, in this incarnation or the next one.
func (w *worker) startOnItsWay() bool {
	for _, t := range w.tasks {
		if t.phase == reserved || t.phase == starting && !t.startSettledBy(w.answeredToken) {
			return true
		}
	}
	return false
}

// awaitsAcknowledgement reports whether results have waited so long that w gets no starts before a poll acknowledges
// them.
func (w *worker) awaitsAcknowledgement(now time.Time) bool {
	return !w.ackDueSince.IsZero() && now.Sub(w.ackDueSince) >= longestAckWait
}

// leaseUntilFor returns the lease to request and updates leaseUntil; it returns 0 while the worker's clock is
// unknown, and once its lease may not be extended any more.
func (w *worker) leaseUntilFor(now time.Time, term time.Duration) WorkerClock {
	if w.clockAt.IsZero() {
		return 0
	}
	ahead := now.Sub(w.clockAt) + term
	if w.leaseBound.covers(w.info.Incarnation) {
		ahead = min(ahead, time.Duration(w.leaseBound.end-w.clock)*time.Millisecond)
	}
	if ahead <= 0 {
		return 0
	}
	// The worker's clock may run slow, so its lease may outlast the term on this host's clock.
	w.leaseUntil = latest(w.leaseUntil, w.clockAt.Add(maxLeaseDuration(ahead)))
	w.leaseSentAt = now
	return w.clock + WorkerClock(ahead/time.Millisecond)
}

// clockRange returns what the clock of the present incarnation of w may read in a reply that comes within the given
// time.
func (w *worker) clockRange(now time.Time, within time.Duration) ClockRange {
	if w.clockAt.IsZero() {
		return ClockRange{}
	}
	return ClockRange{
		Least: w.clock + WorkerClock(float64(now.Sub(w.clockAt)/time.Millisecond)*(1-clockDrift)),
		Most:  w.clock + WorkerClock((now.Sub(w.pollSentAt)+within+leaseSlack)/time.Millisecond),
	}
}

// maxLeaseDuration returns how long a lease of the given term may last on this host's clock.
func maxLeaseDuration(term time.Duration) time.Duration {
	return time.Duration(float64(term)*(1+clockDrift)) + leaseSlack
}

// usable reports whether w may get any new task that fits.
func (w *worker) usable(now time.Time) bool { return w.reachable(now) && !w.quarantined(now) }

// reachable reports whether w stays and answers, in quarantine or not.
func (w *worker) reachable(now time.Time) bool {
	return w.listed && !w.info.Draining && !w.evacuating && !w.zoneEvacuated && w.contacted && w.missedPolls == 0 && now.Sub(w.heardAt) < maxPollAge
}

func (w *worker) quarantined(now time.Time) bool { return now.Before(w.quarantinedUntil) }

// quarantinedFor reports whether a quarantine keeps t off w. If a start could not be sent, an answer since then shows
// that w can be reached, which is enough for a task that is bound to it.
func (w *worker) quarantinedFor(t *task, now time.Time) bool {
	return w.quarantined(now) && !(t.bound && w.quarantineReason == NotSent.String())
}

// accepts reports whether w may get t; in quarantine only starved tasks are accepted.
func (w *worker) accepts(t *task, now time.Time) bool {
	return w.reachable(now) && (t.starved || !w.quarantinedFor(t, now))
}

// offered reports whether t may be placed on w now; in quarantine one task is placed in probeInterval.
func (w *worker) offered(t *task, now time.Time) bool {
	return w.accepts(t, now) && !w.awaitsAcknowledgement(now) && (!w.quarantinedFor(t, now) || now.Sub(w.probedAt) >= probeInterval)
}

// estimatedUse returns the estimated processor use, best-effort tasks included, as a share of the capacity.
func (w *worker) estimatedUse() float64 {
	return (w.committedCPU() + float64(w.bestEffortCPU)) / w.processors()
}

// processors returns the processors of w in millicores, the base of all shares of it; it is never 0.
func (w *worker) processors() float64 { return float64(max(1, w.info.Capacity.CPU)) }

// committedCPU estimates the processors that all but best-effort tasks use; latency-critical tasks leave part of
// their reservation unused.
func (w *worker) committedCPU() float64 {
	return float64(w.used.CPU-w.criticalCPU) + criticalCPUUse*float64(w.criticalCPU)
}

// bestEffortRoom returns the millicores left for best-effort tasks.
func (w *worker) bestEffortRoom() float64 {
	return bestEffortLimit*w.processors() - w.committedCPU() - float64(w.bestEffortCPU)
}

func (w *worker) free() table.Resources {
	return w.info.Capacity.Minus(w.used).Minus(w.strayUse.used)
}

// quarantine keeps new tasks off w for a time that doubles with each quarantine; it returns false if w is in
// quarantine already.
func (w *worker) quarantine(now time.Time, why string) bool {
	if w.quarantined(now) {
		return false
	}
	w.quarantines++
	w.quarantinedAt, w.probedAt = now, now
	w.quarantinedUntil = now.Add(min(longestQuarantine, firstQuarantine<<min(w.quarantines-1, quarantineDoublings)))
	w.quarantineReason = why
	w.failStreak = 0
	return true
}
