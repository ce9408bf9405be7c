package dispatch

import (
	"time"

	"persimmonpick/fault"
	"persimmonpick/table"
)

// How tasks that fill are slowed down for the sake of tasks that serve beside them.
const (
	paceEvery    = 300 * time.Millisecond // between changes at one worker; tails are measured over half a second
	paceCalm     = 1200 * time.Millisecond
	paceDown     = 3                      // the pace of what disturbs is divided by this
	paceLeast    = 12                     // percent; below it the tasks stand still
	paceUp       = 30                     // percent that is given back at a time
	tailHigh     = 0.95                   // share of the target from which tasks that fill slow down
	tailLow      = 0.7                    // share of the target below which they may work faster
	pressurePart = 0.4                    // of the largest pressure; images with at least this much slow down
	pressurePlan = 0.3                    // up to which tasks are placed beside each other
	usageAge     = 700 * time.Millisecond // usage is reported for the last half second
	leaveAfter   = 500 * time.Millisecond
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

// shares returns the processors that tasks that fill use on w, by image, as shares of its capacity.
func (w *worker) shares(now time.Time) map[string]float64 {
	s := map[string]float64{}
	for _, t := range w.tasks {
		if t.group.step.Fills {
			s[t.group.step.Image] += float64(t.uses(now)) / float64(max(1, w.info.Capacity.CPU))
		}
	}
	return s
}

// uses returns the processors that a task that fills uses; for a run too young to be measured it is what its pace allows.
func (t *task) uses(now time.Time) table.Millicores {
	if t.cpu == 0 || now.Sub(t.began) < usageAge {
		return t.group.step.Need.CPU * table.Millicores(t.pace) / fullPace
	}
	return t.cpu
}

// steer changes the pace of the tasks that fill on w by the tails of the tasks that serve there.
func (b *Board) steer(w *worker, now time.Time) {
	if w.serves == 0 {
		w.levels, w.highest = nil, 0
		return
	}
	shares := w.shares(now)
	highest, missed := 0.0, map[string]bool{}
	for _, t := range w.tasks {
		if t.phase != running || !t.group.step.Serves() || t.tail <= 0 {
			continue
		}
		tail := float64(t.tail) / float64(time.Duration(t.group.step.LatencyTarget)*time.Millisecond)
		highest = max(highest, tail)
		b.images.learn(shares, t.group.step.Image, tail, now)
		if tail > tailHigh {
			missed[t.group.step.Image] = true
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
		b.slowDown(w, shares, missed, highest, now)
	case now.Sub(w.calmSince) > paceCalm && now.Sub(w.leveled) > paceCalm:
		w.speedUp(now)
	}
	b.sendAway(w, now)
}

// slowDown slows the images that press most on the tasks that miss their targets.
func (b *Board) slowDown(w *worker, shares map[string]float64, missed map[string]bool, highest float64, now time.Time) {
	most := 0.0
	pressures := map[string]float64{}
	for fill, x := range shares {
		for serve := range missed {
			pressures[fill] = max(pressures[fill], b.images.factor(fill, serve)*x)
		}
		most = max(most, pressures[fill])
	}
	if most == 0 {
		// None is known to disturb, and yet a target is missed: the largest share is the best guess.
		for fill, x := range shares {
			pressures[fill] = x
			most = max(most, x)
		}
	}
	for fill, p := range pressures {
		if p < pressurePart*most || p == 0 || w.paceOf(fill) == 0 {
			continue
		}
		l := w.paceOf(fill) / paceDown
		if l < paceLeast {
			l = 0
		}
		if w.levels == nil {
			w.levels = map[string]level{}
		}
		w.levels[fill] = level{l, now}
		w.leveled = now
		b.cfg.Log.Info("tasks that fill slow down", "Worker", w.info.ID, "Image", fill, "Percent", l, "Pressure", p, "TailByTarget", highest)
	}
}

func (w *worker) speedUp(now time.Time) {
	for fill, l := range w.levels {
		l.percent += paceUp
		if l.percent >= fullPace {
			delete(w.levels, fill)
			continue
		}
		w.levels[fill] = level{l.percent, now}
	}
	if len(w.levels) > 0 {
		w.leveled = now
	}
}

// sendAway moves tasks that would stay slow where they are, if they keep their progress.
func (b *Board) sendAway(w *worker, now time.Time) {
	if len(w.levels) == 0 || b.bearable(w, nil) {
		return
	}
	for _, t := range w.tasks {
		s := t.group.step
		l, slow := w.levels[s.Image]
		if !slow || !s.Fills || !s.Checkpoints || t.phase != running || t.stopWhy != "" || now.Sub(l.since) < leaveAfter {
			continue
		}
		t.stopWhy = whyDisturbs
		b.counts.Moved++
	}
}

// bearable says whether the tasks that serve on w bear the tasks that fill there at full pace, with t besides.
func (b *Board) bearable(w *worker, t *task) bool {
	capacity := float64(max(1, w.info.Capacity.CPU))
	for serve := range w.byImage {
		p := 0.0
		for fill, cpu := range w.planned {
			p += b.images.factor(fill, serve) * float64(cpu) / capacity
		}
		if t != nil {
			p += b.images.factor(t.group.step.Image, serve) * float64(t.group.step.Need.CPU) / capacity
		}
		if p > pressurePlan {
			return false
		}
	}
	return true
}

// Paces returns the orders that bring the pace of tasks to the level of their image on their worker.
func (b *Board) Paces(_ time.Time) []PaceOrder {
	var orders []PaceOrder
	for _, w := range b.workers {
		if !w.contacted || w.fills == 0 {
			continue
		}
		for _, t := range w.tasks {
			want := w.paceOf(t.group.step.Image)
			if t.phase != running || !t.group.step.Fills || t.pacing || t.pace == want {
				continue
			}
			t.pacing = true
			orders = append(orders, PaceOrder{
				Worker: w.info.ID, Address: w.info.Address, Task: t.key, Run: t.run, Percent: want, Token: w.token,
			})
		}
	}
	return orders
}

// PaceDone takes the outcome of a pace order; one that failed is repeated.
func (b *Board) PaceDone(o PaceOrder, err error, now time.Time) {
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
