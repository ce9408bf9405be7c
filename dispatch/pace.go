package dispatch

import (
	"time"
)

// How tasks that fill are slowed down for the sake of tasks that serve beside them.
const (
	paceEvery   = 350 * time.Millisecond // between changes at one worker; tails are measured over half a second
	paceCalm    = 1500 * time.Millisecond
	paceStep    = 25  // percent that is given back at a time
	paceDown    = 2   // the pace is divided by this
	paceLeast   = 15  // percent; below it the tasks stand still
	tailHigh    = 0.9 // share of the target from which tasks that fill slow down
	tailLow     = 0.7 // share of the target below which they may work faster
	impactGain  = 0.3 // weight of a new observation of an image
	impactDecay = 0.02
)

// impact is how much tasks that fill disturb those that serve, by image; 0 for none to 1.
type impact struct {
	byImage map[string]float64
}

func newImpact() *impact { return &impact{byImage: map[string]float64{}} }

func (i *impact) weight(image string) float64 { return i.byImage[image] }

func (i *impact) blame(image string) {
	i.byImage[image] += impactGain * (1 - i.byImage[image])
}

func (i *impact) acquit(image string) {
	i.byImage[image] -= impactDecay * i.byImage[image]
}

// steer changes the pace of the tasks that fill on w by the tails of the tasks that serve there.
func (b *Board) steer(w *worker, now time.Time) {
	worst := 0.0
	for _, t := range w.tasks {
		if t.phase == running && t.group.step.Serves() {
			target := time.Duration(t.group.step.LatencyTarget) * time.Millisecond
			worst = max(worst, float64(t.tail)/float64(target))
		}
	}
	if worst > tailLow {
		w.calmSince = now
	}
	switch {
	case w.fills == 0 && worst <= tailHigh:
		w.level = fullPace
	case worst > tailHigh && now.Sub(w.leveled) >= paceEvery && w.level > 0 && w.fills > 0:
		b.slowDown(w, worst, now)
	case worst <= tailLow && w.level < fullPace && now.Sub(w.calmSince) > paceCalm && now.Sub(w.leveled) > paceCalm:
		w.level = min(fullPace, w.level+paceStep)
		w.leveled = now
	}
	if worst <= tailLow && w.serves > 0 && w.level == fullPace {
		for _, t := range w.tasks {
			if t.group.step.Fills && t.phase == running {
				b.images.acquit(t.group.step.Image)
			}
		}
	}
}

func (b *Board) slowDown(w *worker, worst float64, now time.Time) {
	if w.level == fullPace {
		for _, t := range w.tasks {
			if t.group.step.Fills && t.phase == running {
				b.images.blame(t.group.step.Image)
			}
		}
	}
	w.level /= paceDown
	if w.level < paceLeast {
		w.level = 0
	}
	w.leveled = now
	b.cfg.Log.Info("tasks that fill slow down", "Worker", w.info.ID, "Percent", w.level, "TailByTarget", worst)
}

// Paces returns the orders that bring the pace of tasks to the level of their worker.
func (b *Board) Paces(_ time.Time) []PaceOrder {
	var orders []PaceOrder
	for _, w := range b.workers {
		if !w.contacted || w.fills == 0 {
			continue
		}
		for _, t := range w.tasks {
			if t.phase != running || !t.group.step.Fills || t.pacing || t.pace == w.level {
				continue
			}
			t.pacing = true
			orders = append(orders, PaceOrder{
				Worker: w.info.ID, Address: w.info.Address, Task: t.key, Run: t.run, Percent: w.level, Token: w.token,
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
		b.cfg.Log.Info("pace not confirmed", "Task", o.Task.String(), "Run", o.Run, "Worker", o.Worker, "Error", err)
		return
	}
	if t.pace == 0 {
		t.moved = now
	}
	t.pace = o.Percent
}
