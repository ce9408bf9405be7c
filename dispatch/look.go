package dispatch

import (
	"time"

	"persimmonpick/fault"
	"persimmonpick/workload"
)

// PollOrders returns the looks that are due; extend says whether this host may extend leases.
func (b *Scheduler) PollOrders(now time.Time, extend bool) []PollOrder {
	var orders []PollOrder
	for _, w := range b.workers {
		if !w.listed && len(w.tasks) == 0 || w.info.Address == "" || now.Before(w.nextLook) {
			continue
		}
		// A look that waits for an ending must not hold up one that resolves something.
		if w.looks > 1 || w.looks == 1 && !w.urgent {
			continue
		}
		orders = append(orders, b.look(w, now, extend))
	}
	return orders
}

func (b *Scheduler) look(w *worker, now time.Time, extend bool) PollOrder {
	o := PollOrder{Worker: w.info.ID, Address: w.info.Address, Token: w.token, Acked: w.acked}
	// Whether a silent worker got an extension is unknown, so asking for more would put off the time when its tasks are safe to start elsewhere.
	if extend && w.silentBy == 0 {
		o.Until = w.until(now, b.cfg.Term)
	}
	switch {
	case !w.contacted || w.urgent || w.silentBy > 0:
	case len(w.tasks) == 0:
		o.Wait = lookIdle
	case w.serves > 0 && w.fills > 0:
		o.Wait = lookBusy
	default:
		o.Wait = lookRunning
	}
	w.urgent = false
	w.looks++
	w.nextLook = now.Add(lookPause)
	return o
}

// PollDone takes the outcome of a look that was sent at the given time.
func (b *Scheduler) PollDone(o PollOrder, sent time.Time, l PollReply, err error, now time.Time) {
	w := b.workers[o.Worker]
	if w == nil {
		return
	}
	w.looks--
	if err != nil {
		b.fenced(w, o.Token, fault.Of(err) == fault.Stale)
		b.lookFailed(w, err, now)
		return
	}
	if w.silentBy > 0 {
		b.cfg.Log.Info("worker answers again", "Worker", w.info.ID, "Calls", w.silentBy)
	}
	if l.Born != 0 && l.Born < w.info.Born || sent.Before(w.lookSent) {
		return // overtaken by a newer answer or life
	}
	if l.Born > w.info.Born && w.contacted {
		b.reborn(w, l.Born, now)
		return
	}
	if o.Token < w.token {
		w.silentBy = 0
		return // the look that settles the unanswered orders is on its way
	}
	w.silentBy, w.heard, w.lookSent = 0, now, sent
	w.clock, w.clockAt = l.Clock, now
	if !w.contacted {
		// Earlier leaders cannot extend the lease any more.
		if bound := now.Add(longestLease(b.cfg.Term)); bound.Before(w.leaseUntil) {
			w.leaseUntil = bound
		}
		w.contacted = true
		w.info.Born = max(w.info.Born, l.Born)
	}
	w.nextLook = now.Add(max(lookPause, lookSpread*time.Duration(len(b.workers))))
	for _, e := range l.Ended {
		if e.Number > w.seen {
			w.seen = e.Number
			b.ended(w, e, now)
		}
	}
	if w.seen > w.acked {
		b.acks[w] = w.seen
	}
	b.reconcile(w, o, sent, l, now)
	b.steer(w, now)
}

func (b *Scheduler) lookFailed(w *worker, err error, now time.Time) {
	if w.silentBy == 0 {
		b.cfg.Log.Info("worker does not answer", "Worker", w.info.ID, "Kind", fault.Of(err), "Error", err, "Tasks", len(w.tasks))
	}
	if fault.Of(err) == fault.NotCurrent {
		b.replaced(w, now)
	}
	w.silentBy++
	w.nextLook = now.Add(min(lookRetryMax, lookRetry<<min(w.silentBy-1, 4)))
	w.urgent = true
}

// replaced drops all that ran on w, since another life answers at its address.
func (b *Scheduler) replaced(w *worker, now time.Time) {
	b.cfg.Log.Info("another worker answers at the address", "Worker", w.info.ID, "Tasks", len(w.tasks))
	if w.missing.IsZero() {
		w.missing = now
	}
	w.listed, w.leaseUntil = false, now
	for _, t := range w.tasks {
		if t.phase != reserved {
			b.lost(t, now, "worker replaced")
		}
	}
}

// endedPage is the length at which workers cut the list of ended runs.
const endedPage = 500

// reconcile compares what the board believes to run on w with what w listed.
func (b *Scheduler) reconcile(w *worker, o PollOrder, sent time.Time, l PollReply, now time.Time) {
	running := make(map[workload.TaskKey]RunningTask, len(l.Running))
	for _, r := range l.Running {
		running[r.Task] = r
		b.observe(w, r, sent, now)
	}
	if len(l.Ended) >= endedPage {
		return // more endings are to come before anything counts as lost
	}
	for key, t := range w.tasks {
		r, ok := running[key]
		if ok && r.Run == t.run || t.phase == reserved {
			continue
		}
		if t.phase == starting && (t.uncertain && o.Token > t.token) {
			b.cfg.Log.Info("unanswered start did not take effect", "Task", key.String(), "Run", t.run, "Worker", w.info.ID)
			b.unplace(t, now, 0)
			b.breakGang(t, "member not started")
			continue
		}
		if t.phase == starting || t.answered.After(sent) {
			continue
		}
		b.lost(t, now, "not listed by its worker")
	}
}

// observe takes in a run that w lists as running.
func (b *Scheduler) observe(w *worker, r RunningTask, sent, now time.Time) {
	t := b.task(r.Task)
	if t == nil {
		b.stray(w, r, "job unknown or final")
		return
	}
	if t.worker == w && t.run == r.Run && t.phase != reserved {
		b.measure(t, r, now)
		return
	}
	// A list that was made before the order was answered says nothing about it.
	if t.phase == done || t.run > r.Run || t.worker != nil {
		if sent.After(t.answered) {
			b.stray(w, r, "not assigned to this worker")
		}
		return
	}
	b.cfg.Log.Info("run adopted", "Task", r.Task.String(), "Run", r.Run, "Worker", w.info.ID)
	t.run = r.Run
	w.hold(t, running)
	t.answered, t.wasRunning = now, true
	t.group.job.dirty = true
	b.measure(t, r, now)
}

// stray notes a run that must not go on.
func (b *Scheduler) stray(w *worker, r RunningTask, why string) {
	if w.strays == nil {
		w.strays = map[workload.TaskKey]workload.RunNumber{}
	}
	if _, known := w.strays[r.Task]; !known {
		b.cfg.Log.Info("stray run", "Task", r.Task.String(), "Run", r.Run, "Worker", w.info.ID, "Why", why)
	}
	w.strays[r.Task] = r.Run
}

// measure takes in the progress of a run.
func (b *Scheduler) measure(t *task, r RunningTask, now time.Time) {
	if t.phase == starting {
		b.began(t, now)
	}
	if t.began.IsZero() {
		t.began, t.moved = now, now
	}
	if r.Percent != t.percent || t.moved.IsZero() {
		t.percent, t.moved = r.Percent, now
	}
	if r.Checkpoint != "" && r.Checkpoint != t.checkpoint {
		t.checkpoint = r.Checkpoint // written with the next record of the job
	}
	t.tail, t.cpu = r.Tail, r.CPU
}

// began notes that the run of t is known to have started.
func (b *Scheduler) began(t *task, now time.Time) {
	t.phase, t.uncertain, t.answered = running, false, now
	t.began, t.moved, t.percent = now, now, 0
	t.wasRunning = true
	j := t.group.job
	if j.state == workload.Queued {
		j.state, j.stated, j.dirty = workload.Running, true, true
		b.cfg.Log.Info("job begins", "Job", j.id, "Worker", t.worker.info.ID, "After", now.Sub(j.submitted).Round(time.Millisecond))
	}
	if j.state.Final() {
		t.stopWhy = "job final"
	}
}

// task returns the task of a key if its job is not final.
func (b *Scheduler) task(k workload.TaskKey) *task {
	j := b.jobs[k.Job]
	if j == nil {
		return nil
	}
	gs := j.groups[k.Occurrence]
	if k.Step < 0 || k.Step >= len(gs) || k.Index < 0 || k.Index >= len(gs[k.Step].tasks) {
		return nil
	}
	return gs[k.Step].tasks[k.Index]
}
