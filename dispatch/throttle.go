package dispatch

import (
	"time"

	"persimmonpick/fault"
	"persimmonpick/table"
)

// Parameters of the throttling of best-effort tasks that share a worker with latency-critical tasks.
const (
	// Minimum time between changes at one worker; tail latencies are measured over half a second.
	throttleInterval = 300 * time.Millisecond
	// Time without high tail latencies before throttling is relaxed; longer than the window of the measurement.
	throttleRelaxDelay = 700 * time.Millisecond
	throttleMaxKept    = 0.75 // maximum part of its CPU share that a throttled image keeps
	minCPUPercent      = 12   // percent; tasks with less are paused
	throttleUpPercent  = 30   // percentage points by which a share is raised at a time
	tailHigh           = 1.0  // share of the target above which best-effort tasks are throttled
	tailLow            = 0.7  // share of the target below which throttling is relaxed
	tailPlan           = 0.9  // share of the target up to which tasks are placed on the same worker
	// Share of the largest pressure; images with at least this much are throttled.
	pressureShare   = 0.4
	minPressure     = 0.02                   // load; less pressure than this does not explain a miss
	headroomReserve = 0.05                   // load kept free when throttling is relaxed, since readings may be out of date
	usageWindow     = 700 * time.Millisecond // usage and tail latencies are reported for the last half second
	// Time under throttling before a task is moved, since a peak of user load may be short.
	throttledMoveDelay = 500 * time.Millisecond
	// Usual time from the stop of a run until it goes on from its checkpoint elsewhere.
	moveTime = 1100 * time.Millisecond
)

// throttle is the CPU share of the tasks of one image on one worker.
type throttle struct {
	percent int
	since   time.Time
}

// cpuPercentOf returns the CPU share, in percent, of the tasks of image on w.
func (w *worker) cpuPercentOf(image string) int {
	if l, ok := w.throttles[image]; ok {
		return l.percent
	}
	return fullPercent
}

// bestEffortShares returns the processors that best-effort tasks use on w, by image, as shares of its processors;
// use returns the processors of one task.
func (w *worker) bestEffortShares(use func(*task) table.Millicores) map[string]float64 {
	s := map[string]float64{}
	for _, t := range w.tasks {
		if !t.group.step.BestEffort {
			continue
		}
		if cpu := use(t); cpu > 0 {
			s[t.group.step.Image] += float64(cpu) / w.processors()
		}
	}
	return s
}

// measured returns the processors that t was last measured to use, 0 before the first measurement.
func (t *task) measured() table.Millicores { return t.cpuUsage }

// uses returns the processors that a best-effort task uses. A run too young to be measured counts with what its
// CPU share allows.
func (t *task) uses(now time.Time) table.Millicores {
	if t.cpuUsage == 0 || now.Sub(t.startedAt) < usageWindow {
		return t.group.step.Need.CPU * table.Millicores(t.cpuPercent) / fullPercent
	}
	return t.cpuUsage
}

// updateThrottles feeds the interference model with the tail latencies of the latency-critical tasks on w, and
// adjusts the CPU shares of the best-effort tasks there.
func (sched *Scheduler) updateThrottles(w *worker, now time.Time) {
	w.headrooms, w.tolerance = nil, sched.interference.tolerance(w.criticalByImage)
	if w.criticalTasks == 0 {
		w.throttles, w.worstTail = nil, 0
		return
	}
	measured := w.bestEffortShares((*task).measured)
	highest, missed := 0.0, map[string]*load{}
	w.headrooms = make(map[string]headroom, len(w.criticalByImage))
	for _, t := range w.tasks {
		if t.phase != running || !t.group.step.LatencyCritical() || t.tailLatency <= 0 || t.percent != fullPercent {
			continue
		}
		image, l := t.group.step.Image, &t.group.load
		tail := float64(t.tailLatency) / float64(time.Duration(t.group.step.LatencyTarget)*time.Millisecond)
		highest = max(highest, tail)
		sched.interference.update(l, measured, image, tail, now)
		w.recordHeadroom(image, sched.interference.sensitivityOf(image).loadAt(tailPlan), l)
		if tail > tailHigh && (missed[image] == nil || missed[image].mean < l.mean) {
			missed[image] = l
		}
	}
	w.worstTail = highest
	if highest > tailLow {
		w.tailLowSince = now
	}
	if w.bestEffortCPU == 0 {
		w.throttles = nil
		return
	}
	switch {
	case len(missed) > 0 && now.Sub(w.throttledAt) >= throttleInterval:
		sched.throttleDown(w, missed, highest, now)
	case now.Sub(w.tailLowSince) > throttleRelaxDelay && now.Sub(w.throttledAt) > throttleRelaxDelay:
		sched.throttleUp(w, now)
	}
	sched.moveThrottled(w, now)
}

// throttleDown throttles the images that add most to the load of the tasks that miss their targets, down to the load
// that these tasks tolerate.
func (sched *Scheduler) throttleDown(w *worker, missed map[string]*load, highest float64, now time.Time) {
	shares := w.bestEffortShares(func(t *task) table.Millicores { return t.uses(now) })
	p := sched.pressureOn(missed, shares)
	if p.most < minPressure {
		if loadExplainsMisses(sched.interference, missed) {
			return
		}
		p.attributeByShare(shares)
	}
	keep := p.keptPart()
	for bestEffort, x := range p.byImage {
		if !p.mustYield(bestEffort) || w.cpuPercentOf(bestEffort) == 0 {
			continue
		}
		l := int(keep * float64(w.cpuPercentOf(bestEffort)))
		if l < minCPUPercent {
			l = 0
		}
		w.setThrottle(bestEffort, l, now)
		sched.cfg.Log.Info("throttling best-effort tasks", "Worker", w.info.ID, "Image", bestEffort, "Percent", l, "Pressure", x, "TailByTarget", highest)
	}
}

// setThrottle sets the CPU share of the tasks of one image on w.
func (w *worker) setThrottle(bestEffort string, percent int, now time.Time) {
	if w.throttles == nil {
		w.throttles = map[string]throttle{}
	}
	w.throttles[bestEffort] = throttle{percent, now}
	w.throttledAt = now
}

// throttleUp relaxes throttling: completely if the latency-critical tasks tolerate the best-effort tasks at full speed
// even at their peak load, else in steps up to what they tolerate now.
func (sched *Scheduler) throttleUp(w *worker, now time.Time) {
	if sched.tolerable(w, nil) {
		w.throttles = nil
		return
	}
	most := int(fullPercent * sched.tolerablePart(w))
	for bestEffort, l := range w.throttles {
		l.percent = max(l.percent, min(l.percent+throttleUpPercent, most))
		if l.percent >= fullPercent {
			delete(w.throttles, bestEffort)
			continue
		}
		w.throttles[bestEffort] = throttle{l.percent, l.since}
	}
	if len(w.throttles) > 0 {
		w.throttledAt = now
	}
}

// moveThrottled moves tasks that would stay throttled on w, if they have checkpoints and end earlier elsewhere.
func (sched *Scheduler) moveThrottled(w *worker, now time.Time) {
	if len(w.throttles) == 0 || sched.tolerable(w, nil) {
		return
	}
	for _, t := range w.tasks {
		s := t.group.step
		l, throttled := w.throttles[s.Image]
		if !throttled || !s.BestEffort || !s.Checkpoints || t.phase != running || t.stopReason != "" || t.late.mayComeAt(now) || now.Sub(l.since) < throttledMoveDelay {
			continue
		}
		if !sched.endsEarlierElsewhere(t, now) {
			continue
		}
		t.stopReason = whyInterference
		t.moves++
		sched.counts.Moved++
		sched.cfg.Log.Info("moving run", "Task", t.key.String(), "Run", t.run, "Worker", w.info.ID, "Why", whyInterference,
			"Percent", t.percent, "Share", t.cpuPercent, "Ran", now.Sub(t.startedAt).Round(time.Millisecond))
	}
}

// endsEarlierElsewhere reports whether a throttled run would end earlier in a place that is free now, in spite of the
// time that a move takes.
func (sched *Scheduler) endsEarlierElsewhere(t *task, now time.Time) bool {
	left := t.group.step.Estimate * table.Millis(fullPercent-t.percent) / fullPercent
	moved := left + table.Millis(moveTime.Milliseconds())
	if t.cpuPercent > 0 && left*fullPercent/table.Millis(t.cpuPercent) <= moved {
		return false
	}
	return sched.choose(t, now) != nil
}

// ThrottleOrders returns the orders that set the CPU shares of tasks to those of their image on their worker.
func (sched *Scheduler) ThrottleOrders(_ time.Time) []ThrottleOrder {
	var orders []ThrottleOrder
	for _, w := range sched.workers {
		if !w.contacted || w.bestEffortCPU == 0 {
			continue
		}
		for _, t := range w.tasks {
			want := w.cpuPercentOf(t.group.step.Image)
			if t.phase != running || !t.group.step.BestEffort || t.throttlePending || t.cpuPercent == want && !t.shareUnknown {
				continue
			}
			t.throttlePending = true
			orders = append(orders, ThrottleOrder{
				Worker: w.info.ID, Address: w.info.Address, Task: t.key, Run: t.run, Percent: want, Token: w.token,
			})
		}
	}
	return orders
}

// ThrottleDone applies the outcome of a throttle order; a failed one is repeated.
func (sched *Scheduler) ThrottleDone(o ThrottleOrder, err error, now time.Time) {
	t := sched.task(o.Task)
	if t == nil || t.worker == nil || t.run != o.Run || t.worker.info.ID != o.Worker {
		return
	}
	t.throttlePending = false
	if err != nil {
		sched.checkFence(t.worker, o.Token, fault.Of(err) == fault.Stale)
		sched.cfg.Log.Info("throttle order not confirmed", "Task", o.Task.String(), "Run", o.Run, "Worker", o.Worker, "Error", err)
		if !mayBeCarriedOut(err) {
			return
		}
		t.shareUnknown = true
		if t.worker.token == o.Token {
			t.worker.raiseToken()
		}
		return
	}
	if t.cpuPercent == 0 || t.shareUnknown {
		t.progressedAt, t.observed.standing = now, 0 // it may have been paused
	}
	t.cpuPercent, t.shareUnknown = o.Percent, false
	t.throttled = t.throttled || o.Percent < fullPercent
}

// mayBeCarriedOut reports whether an order that failed with err may have been carried out, or may be later.
func mayBeCarriedOut(err error) bool {
	switch fault.Of(err) {
	case fault.Stale, fault.NotCurrent, fault.Overloaded, fault.NotReady:
		return false
	}
	return true
}
