package dispatch

import (
	"time"

	"persimmonpick/fault"
	"persimmonpick/table"
)

// How tasks that fill are slowed down for the sake of tasks that serve beside them.
const (
	paceEvery    = 300 * time.Millisecond // between changes at one worker; tails are measured over half a second
	paceCalm     = 700 * time.Millisecond // without high tails before pace is given back; longer than tails are measured over
	paceDown     = 0.5                    // part of its pace that what disturbs keeps at most
	paceLeast    = 12                     // percent; below it the tasks stand still
	paceUp       = 30                     // percent that is given back at a time
	tailHigh     = 0.95                   // share of the target from which tasks that fill slow down
	tailLow      = 0.7                    // share of the target below which they may work faster
	tailPlan     = 0.9                    // share of the target up to which tasks are placed beside each other
	pressurePart = 0.4                    // of the largest pressure; images with at least this much slow down
	pressureNone = 0.02                   // load; less pressure than this explains nothing
	leewayKept   = 0.05                   // load that is kept free when tasks speed up, since readings are old
	usageAge     = 700 * time.Millisecond // usage and tails are reported for the last half second
	leaveAfter   = 500 * time.Millisecond // of slow work before a task moves, since a wave of users may be short
)

// level is the pace of the tasks of one image on one worker.
type level struct {
	percent int
	since   time.Time
}

// paceOf returns the pace of the tasks of image on w.
func (w *worker) paceOf(image string) int {
	if l, ok := w.levels[image]; ok {
		return l.percent
	}
	return fullPace
}

// shares returns what tasks that fill use of w, by image, as shares of its processors; use returns the processors of one task.
func (w *worker) shares(use func(*task) table.Millicores) map[string]float64 {
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

// measured returns the processors that t was last seen to use; a run that has not begun to work uses none.
func (t *task) measured() table.Millicores { return t.cpu }

// uses returns the processors that a task that fills uses; for a run too young to be measured it is what its pace allows.
func (t *task) uses(now time.Time) table.Millicores {
	if t.cpu == 0 || now.Sub(t.began) < usageAge {
		return t.group.step.Need.CPU * table.Millicores(t.pace) / fullPace
	}
	return t.cpu
}

// leeway is the load that the tasks that serve on a worker can still bear.
type leeway struct {
	current float64 // at the newest load by their own users
	lasting float64 // at the highest recent one
}

// steer learns from the tails of the tasks that serve on w, and changes the pace of those that fill beside them.
func (b *Scheduler) steer(w *worker, now time.Time) {
	w.leeways, w.tolerance = nil, b.images.tolerance(w.byImage)
	if w.serves == 0 {
		w.levels, w.highest = nil, 0
		return
	}
	measured := w.shares((*task).measured)
	highest, missed := 0.0, map[string]*load{}
	w.leeways = make(map[string]leeway, len(w.byImage))
	for _, t := range w.tasks {
		if t.phase != running || !t.group.step.LatencyCritical() || t.tail <= 0 || t.percent != fullPace {
			continue
		}
		image, l := t.group.step.Image, &t.group.load
		tail := float64(t.tail) / float64(time.Duration(t.group.step.LatencyTarget)*time.Millisecond)
		highest = max(highest, tail)
		b.images.learn(l, measured, image, tail, now)
		w.noteLeeway(image, b.images.of(image).loadAt(tailPlan), l)
		if tail > tailHigh && (missed[image] == nil || missed[image].mean < l.mean) {
			missed[image] = l
		}
	}
	w.highest = highest
	if highest > tailLow {
		w.calmSince = now
	}
	if w.fills == 0 {
		w.levels = nil
		return
	}
	switch {
	case len(missed) > 0 && now.Sub(w.leveled) >= paceEvery:
		b.slowDown(w, missed, highest, now)
	case now.Sub(w.calmSince) > paceCalm && now.Sub(w.leveled) > paceCalm:
		b.speedUp(w, now)
	}
	b.sendAway(w, now)
}

// noteLeeway takes the leeway of tasks of one image under a load by their users; the least of the worker counts.
func (w *worker) noteLeeway(image string, most float64, l *load) {
	y := leeway{current: most - l.mean, lasting: most - l.peak}
	if before, ok := w.leeways[image]; ok {
		y.current, y.lasting = min(y.current, before.current), min(y.lasting, before.lasting)
	}
	w.leeways[image] = y
}

// leewayOf returns the leeway of the tasks of image on w, or the usual one where they have not been seen.
func (b *Scheduler) leewayOf(w *worker, image string) leeway {
	if y, ok := w.leeways[image]; ok {
		return y
	}
	most := b.images.of(image).loadAt(tailPlan)
	return leeway{current: most - usualPeak, lasting: most - usualPeak}
}

// pressure is the load that images that fill add to tasks that miss their targets.
type pressure struct {
	byImage map[string]float64
	most    float64 // of one image
	over    float64 // load that must go
}

// pressureOn returns the pressure of the given shares of a worker on tasks that miss their targets.
func (b *Scheduler) pressureOn(missed map[string]*load, shares map[string]float64) pressure {
	p := pressure{byImage: make(map[string]float64, len(shares))}
	for serve, l := range missed {
		for fill, x := range shares {
			p.byImage[fill] = max(p.byImage[fill], b.images.factor(fill, serve)*x)
			p.most = max(p.most, p.byImage[fill])
		}
		p.over = max(p.over, l.mean+b.images.added(shares, serve)-b.images.of(serve).loadAt(tailLow))
	}
	return p
}

// blameShares blames the images by their shares where none is known to disturb: the largest is the best guess.
func (p *pressure) blameShares(shares map[string]float64) {
	for fill, x := range shares {
		p.byImage[fill] = x
		p.most = max(p.most, x)
	}
}

// guilty says whether an image adds so much that it must give way.
func (p *pressure) guilty(fill string) bool {
	x := p.byImage[fill]
	return x > 0 && x >= pressurePart*p.most
}

// keep returns the part of their pace that the guilty images may keep.
func (p *pressure) keep() float64 {
	sum := 0.0
	for fill, x := range p.byImage {
		if p.guilty(fill) {
			sum += x
		}
	}
	return min(paceDown, max(0, 1-p.over/max(sum, pressureNone)))
}

// slowDown slows the images that add most to the load of the tasks that miss their targets, to what these can bear.
func (b *Scheduler) slowDown(w *worker, missed map[string]*load, highest float64, now time.Time) {
	shares := w.shares(func(t *task) table.Millicores { return t.uses(now) })
	p := b.pressureOn(missed, shares)
	if p.most < pressureNone {
		if explained(b.images, missed) {
			return
		}
		p.blameShares(shares)
	}
	keep := p.keep()
	for fill, x := range p.byImage {
		if !p.guilty(fill) || w.paceOf(fill) == 0 {
			continue
		}
		l := int(keep * float64(w.paceOf(fill)))
		if l < paceLeast {
			l = 0
		}
		w.setPace(fill, l, now)
		b.cfg.Log.Info("tasks that fill slow down", "Worker", w.info.ID, "Image", fill, "Percent", l, "Pressure", x, "TailByTarget", highest)
	}
}

// setPace sets the pace of the tasks of one image on w.
func (w *worker) setPace(fill string, percent int, now time.Time) {
	if w.levels == nil {
		w.levels = map[string]level{}
	}
	w.levels[fill] = level{percent, now}
	w.leveled = now
}

// explained says whether the load by their own users is known to be enough for tasks to miss their targets.
func explained(images *impact, missed map[string]*load) bool {
	for serve, l := range missed {
		if l.mean < images.of(serve).loadAt(tailHigh) || l.variance > loadKnown {
			return false
		}
	}
	return true
}

// speedUp gives back pace: all of it where the tasks that serve bear that at their highest load, else in steps up to what they bear now.
func (b *Scheduler) speedUp(w *worker, now time.Time) {
	if b.bearable(w, nil) {
		w.levels = nil
		return
	}
	most := int(fullPace * b.bornePart(w))
	for fill, l := range w.levels {
		l.percent = max(l.percent, min(l.percent+paceUp, most))
		if l.percent >= fullPace {
			delete(w.levels, fill)
			continue
		}
		w.levels[fill] = level{l.percent, l.since}
	}
	if len(w.levels) > 0 {
		w.leveled = now
	}
}

// bornePart returns the share of the full pace of the tasks that fill which those that serve on w bear now.
func (b *Scheduler) bornePart(w *worker) float64 {
	part := 1.0
	for serve := range w.byImage {
		if added := b.plannedLoad(w, serve, nil); added > 0 {
			part = min(part, max(0, b.leewayOf(w, serve).current-leewayKept)/added)
		}
	}
	return part
}

// sendAway moves tasks that would stay slow where they are, if they keep their progress.
func (b *Scheduler) sendAway(w *worker, now time.Time) {
	if len(w.levels) == 0 || b.bearable(w, nil) {
		return
	}
	for _, t := range w.tasks {
		s := t.group.step
		l, slow := w.levels[s.Image]
		if !slow || !s.BestEffort || !s.Checkpoints || t.phase != running || t.stopWhy != "" || now.Sub(l.since) < leaveAfter {
			continue
		}
		t.stopWhy = whyDisturbs
		b.counts.Moved++
	}
}

// plannedLoad returns the load that the tasks that fill on w add at full pace to tasks of image serve, with t besides unless it is nil.
func (b *Scheduler) plannedLoad(w *worker, serve string, t *task) float64 {
	sum := 0.0
	for fill, cpu := range w.planned {
		sum += b.images.factor(fill, serve) * float64(cpu) / w.processors()
	}
	if t != nil {
		sum += b.images.factor(t.group.step.Image, serve) * float64(t.group.step.Need.CPU) / w.processors()
	}
	return sum
}

// bearable says whether the tasks that serve on w bear the tasks that fill there at full pace and at their own highest load, with t besides unless it is nil.
func (b *Scheduler) bearable(w *worker, t *task) bool {
	for serve := range w.byImage {
		if b.plannedLoad(w, serve, t) > max(pressureNone, b.leewayOf(w, serve).lasting) {
			return false
		}
	}
	return true
}

// ThrottleOrders returns the orders that bring the pace of tasks to the level of their image on their worker.
func (b *Scheduler) ThrottleOrders(_ time.Time) []ThrottleOrder {
	var orders []ThrottleOrder
	for _, w := range b.workers {
		if !w.contacted || w.fills == 0 {
			continue
		}
		for _, t := range w.tasks {
			want := w.paceOf(t.group.step.Image)
			if t.phase != running || !t.group.step.BestEffort || t.pacing || t.pace == want {
				continue
			}
			t.pacing = true
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
	t.pacing = false
	if err != nil {
		b.fenced(t.worker, o.Token, fault.Of(err) == fault.Stale)
		b.cfg.Log.Info("pace not confirmed", "Task", o.Task.String(), "Run", o.Run, "Worker", o.Worker, "Error", err)
		return
	}
	if t.pace == 0 {
		t.moved = now
	}
	t.pace = o.Percent
}
