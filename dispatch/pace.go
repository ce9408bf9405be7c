package dispatch

import (
	"time"

	"persimmonpick/fault"
	"persimmonpick/table"
)

// How tasks that fill are slowed down for the sake of tasks that serve beside them.
const (
	throttleInterval    = 300 * time.Millisecond // between changes at one worker; tails are measured over half a second
	throttleCalmTime     = 700 * time.Millisecond // without high tails before pace is given back; longer than tails are measured over
	throttleMaxKept     = 0.5                    // part of its pace that what disturbs keeps at most
	minCPUPercent    = 12                     // percent; below it the tasks stand still
	throttleUpPercent       = 30                     // percent that is given back at a time
	tailHigh     = 0.95                   // share of the target from which tasks that fill slow down
	tailLow      = 0.7                    // share of the target below which they may work faster
	tailPlan     = 0.9                    // share of the target up to which tasks are placed beside each other
	pressureShare = 0.4                    // of the largest pressure; images with at least this much slow down
	minPressure = 0.02                   // load; less pressure than this explains nothing
	headroomReserve   = 0.05                   // load that is kept free when tasks speed up, since readings are old
	usageAge     = 700 * time.Millisecond // usage and tails are reported for the last half second
	leaveAfter   = 500 * time.Millisecond // of slow work before a task moves, since a wave of users may be short
)

// throttle is the pace of the tasks of one image on one worker.
type throttle struct {
	percent int
	since   time.Time
}

// cpuPercentOf returns the pace of the tasks of image on w.
func (w *worker) cpuPercentOf(image string) int {
	if l, ok := w.throttles[image]; ok {
		return l.percent
	}
	return fullPercent
}

// bestEffortShares returns what tasks that fill use of w, by image, as bestEffortShares of its processors; use returns the processors of one task.
func (w *worker) bestEffortShares(use func(*task) table.Millicores) map[string]float64 {
	s := map[string]float64{}
	for _, t := range w.tasks {
		if !t.group.step.Fills {
			continue
		}
		if cpu := use(t); cpu > 0 {
			s[t.group.step.Image] += float64(cpu) / w.processors()
		}
	}
	return s
}

// measured returns the processors that t was last seen to use; a run that has not begun to work uses none.
func (t *task) measured() table.Millicores { return t.cpuUsage }

// uses returns the processors that a task that fills uses; for a run too young to be measured it is what its pace allows.
func (t *task) uses(now time.Time) table.Millicores {
	if t.cpuUsage == 0 || now.Sub(t.startedAt) < usageAge {
		return t.group.step.Need.CPU * table.Millicores(t.cpuPercent) / fullPercent
	}
	return t.cpuUsage
}

// headroom is the load that the tasks that serve on a worker can still bear.
type headroom struct {
	current float64 // at the newest load by their own users
	lasting float64 // at the highest recent one
}

// updateThrottles learns from the tails of the tasks that serve on w, and changes the pace of those that fill beside them.
func (b *Scheduler) updateThrottles(w *worker, now time.Time) {
	w.headrooms, w.tolerance = nil, b.interference.tolerance(w.criticalByImage)
	if w.criticalTasks == 0 {
		w.throttles, w.worstTail = nil, 0
		return
	}
	measured := w.bestEffortShares((*task).measured)
	highest, missed := 0.0, map[string]*load{}
	w.headrooms = make(map[string]headroom, len(w.criticalByImage))
	for _, t := range w.tasks {
		if t.phase != running || !t.group.step.Serves() || t.tailLatency <= 0 || t.percent != fullPercent {
			continue
		}
		image, l := t.group.step.Image, &t.group.load
		tail := float64(t.tailLatency) / float64(time.Duration(t.group.step.LatencyTarget)*time.Millisecond)
		highest = max(highest, tail)
		b.interference.update(l, measured, image, tail, now)
		w.recordHeadroom(image, b.interference.sensitivityOf(image).loadAt(tailPlan), l)
		if tail > tailHigh && (missed[image] == nil || missed[image].mean < l.mean) {
			missed[image] = l
		}
	}
	w.worstTail = highest
	if highest > tailLow {
		w.calmSince = now
	}
	if w.bestEffortCPU == 0 {
		w.throttles = nil
		return
	}
	switch {
	case len(missed) > 0 && now.Sub(w.throttledAt) >= throttleInterval:
		b.throttleDown(w, missed, highest, now)
	case now.Sub(w.calmSince) > throttleCalmTime && now.Sub(w.throttledAt) > throttleCalmTime:
		b.throttleUp(w, now)
	}
	b.moveThrottled(w, now)
}

// recordHeadroom takes the leeway of tasks of one image under a load by their users; the least of the worker counts.
func (w *worker) recordHeadroom(image string, most float64, l *load) {
	y := headroom{current: most - l.mean, lasting: most - l.peak}
	if before, ok := w.headrooms[image]; ok {
		y.current, y.lasting = min(y.current, before.current), min(y.lasting, before.lasting)
	}
	w.headrooms[image] = y
}

// headroomOf returns the leeway of the tasks of image on w, or the usual one where they have not been seen.
func (b *Scheduler) headroomOf(w *worker, image string) headroom {
	if y, ok := w.headrooms[image]; ok {
		return y
	}
	most := b.interference.sensitivityOf(image).loadAt(tailPlan)
	return headroom{current: most - typicalPeakLoad, lasting: most - typicalPeakLoad}
}

// pressure is the load that images that fill add to tasks that miss their targets.
type pressure struct {
	byImage map[string]float64
	most    float64 // of one image
	excess    float64 // load that must go
}

// pressureOn returns the pressure of the given shares of a worker on tasks that miss their targets.
func (b *Scheduler) pressureOn(missed map[string]*load, shares map[string]float64) pressure {
	p := pressure{byImage: make(map[string]float64, len(shares))}
	for serve, l := range missed {
		for fill, x := range shares {
			p.byImage[fill] = max(p.byImage[fill], b.interference.coefficient(fill, serve)*x)
			p.most = max(p.most, p.byImage[fill])
		}
		p.excess = max(p.excess, l.mean+b.interference.addedLoad(shares, serve)-b.interference.sensitivityOf(serve).loadAt(tailLow))
	}
	return p
}

// attributeByShare blames the images by their shares where none is known to disturb: the largest is the best guess.
func (p *pressure) attributeByShare(shares map[string]float64) {
	for fill, x := range shares {
		p.byImage[fill] = x
		p.most = max(p.most, x)
	}
}

// mustYield says whether an image adds so much that it must give way.
func (p *pressure) mustYield(fill string) bool {
	x := p.byImage[fill]
	return x > 0 && x >= pressureShare*p.most
}

// keptPart returns the part of their pace that the guilty images may keptPart.
func (p *pressure) keptPart() float64 {
	sum := 0.0
	for fill, x := range p.byImage {
		if p.mustYield(fill) {
			sum += x
		}
	}
	return min(throttleMaxKept, max(0, 1-p.excess/max(sum, minPressure)))
}

// throttleDown slows the images that add most to the load of the tasks that miss their targets, to what these can bear.
func (b *Scheduler) throttleDown(w *worker, missed map[string]*load, highest float64, now time.Time) {
	shares := w.bestEffortShares(func(t *task) table.Millicores { return t.uses(now) })
	p := b.pressureOn(missed, shares)
	if p.most < minPressure {
		if loadExplainsMisses(b.interference, missed) {
			return
		}
		p.attributeByShare(shares)
	}
	keep := p.keptPart()
	for fill, x := range p.byImage {
		if !p.mustYield(fill) || w.cpuPercentOf(fill) == 0 {
			continue
		}
		l := int(keep * float64(w.cpuPercentOf(fill)))
		if l < minCPUPercent {
			l = 0
		}
		w.setThrottle(fill, l, now)
		b.cfg.Log.Info("tasks that fill slow down", "Worker", w.info.ID, "Image", fill, "Percent", l, "Pressure", x, "TailByTarget", highest)
	}
}

// setThrottle sets the pace of the tasks of one image on w.
func (w *worker) setThrottle(fill string, percent int, now time.Time) {
	if w.throttles == nil {
		w.throttles = map[string]throttle{}
	}
	w.throttles[fill] = throttle{percent, now}
	w.throttledAt = now
}

// loadExplainsMisses says whether the load by their own users is known to be enough for tasks to miss their targets.
func loadExplainsMisses(images *interferenceModel, missed map[string]*load) bool {
	for serve, l := range missed {
		if l.mean < images.sensitivityOf(serve).loadAt(tailHigh) || l.variance > knownLoadVariance {
			return false
		}
	}
	return true
}

// throttleUp gives back pace: all of it where the tasks that serve bear that at their highest load, else in steps up to what they bear now.
func (b *Scheduler) throttleUp(w *worker, now time.Time) {
	if b.tolerable(w, nil) {
		w.throttles = nil
		return
	}
	most := int(fullPercent * b.tolerablePart(w))
	for fill, l := range w.throttles {
		l.percent = max(l.percent, min(l.percent+throttleUpPercent, most))
		if l.percent >= fullPercent {
			delete(w.throttles, fill)
			continue
		}
		w.throttles[fill] = throttle{l.percent, l.since}
	}
	if len(w.throttles) > 0 {
		w.throttledAt = now
	}
}

// tolerablePart returns the share of the full pace of the tasks that fill which those that serve on w bear now.
func (b *Scheduler) tolerablePart(w *worker) float64 {
	part := 1.0
	for serve := range w.criticalByImage {
		if added := b.plannedLoad(w, serve, nil); added > 0 {
			part = min(part, max(0, b.headroomOf(w, serve).current-headroomReserve)/added)
		}
	}
	return part
}

// moveThrottled moves tasks that would stay slow where they are, if they keep their progress.
func (b *Scheduler) moveThrottled(w *worker, now time.Time) {
	if len(w.throttles) == 0 || b.tolerable(w, nil) {
		return
	}
	for _, t := range w.tasks {
		s := t.group.step
		l, slow := w.throttles[s.Image]
		if !slow || !s.Fills || !s.Checkpoints || t.phase != running || t.stopReason != "" || now.Sub(l.since) < leaveAfter {
			continue
		}
		t.stopReason = whyDisturbs
		b.counts.Moved++
	}
}

// plannedLoad returns the load that the tasks that fill on w add at full pace to tasks of image serve, with t besides unless it is nil.
func (b *Scheduler) plannedLoad(w *worker, serve string, t *task) float64 {
	sum := 0.0
	for fill, cpu := range w.bestEffortByImage {
		sum += b.interference.coefficient(fill, serve) * float64(cpu) / w.processors()
	}
	if t != nil {
		sum += b.interference.coefficient(t.group.step.Image, serve) * float64(t.group.step.Need.CPU) / w.processors()
	}
	return sum
}

// tolerable says whether the tasks that serve on w bear the tasks that fill there at full pace and at their own highest load, with t besides unless it is nil.
func (b *Scheduler) tolerable(w *worker, t *task) bool {
	for serve := range w.criticalByImage {
		if b.plannedLoad(w, serve, t) > max(minPressure, b.headroomOf(w, serve).lasting) {
			return false
		}
	}
	return true
}

// ThrottleOrders returns the orders that bring the pace of tasks to the level of their image on their worker.
func (b *Scheduler) ThrottleOrders(_ time.Time) []ThrottleOrder {
	var orders []ThrottleOrder
	for _, w := range b.workers {
		if !w.contacted || w.bestEffortCPU == 0 {
			continue
		}
		for _, t := range w.tasks {
			want := w.cpuPercentOf(t.group.step.Image)
			if t.phase != running || !t.group.step.Fills || t.throttlePending || t.cpuPercent == want {
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

// ThrottleDone takes the outcome of a pace order; one that failed is repeated.
func (b *Scheduler) ThrottleDone(o ThrottleOrder, err error, now time.Time) {
	t := b.task(o.Task)
	if t == nil || t.worker == nil || t.run != o.Run || t.worker.info.ID != o.Worker {
		return
	}
	t.throttlePending = false
	if err != nil {
		b.checkFence(t.worker, o.Token, fault.Of(err) == fault.Stale)
		b.cfg.Log.Info("pace not confirmed", "Task", o.Task.String(), "Run", o.Run, "Worker", o.Worker, "Error", err)
		return
	}
	if t.cpuPercent == 0 {
		t.progressedAt = now
	}
	t.cpuPercent = o.Percent
}
