package dispatch

import (
	"slices"
	"time"

	"persimmonpick/fault"
	"persimmonpick/workload"
)

// Looks returns the looks that are due; extend says whether this host may extend leases.
func (b *Board) Looks(now time.Time, extend bool) []LookOrder {
	var orders []LookOrder
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

func (b *Board) look(w *worker, now time.Time, extend bool) LookOrder {
	o := LookOrder{Worker: w.info.ID, Address: w.info.Address, Token: w.token, Acked: w.acked}
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

// LookDone takes the outcome of a look that was sent at the given time.
func (b *Board) LookDone(o LookOrder, sent time.Time, l Look, err error, now time.Time) {
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

func (b *Board) lookFailed(w *worker, err error, now time.Time) {
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
func (b *Board) replaced(w *worker, now time.Time) {
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
func (b *Board) reconcile(w *worker, o LookOrder, sent time.Time, l Look, now time.Time) {
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
func (b *Board) observe(w *worker, r RunningTask, sent, now time.Time) {
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
func (b *Board) stray(w *worker, r RunningTask, why string) {
	if w.strays == nil {
		w.strays = map[workload.TaskKey]workload.RunNumber{}
	}
	if _, known := w.strays[r.Task]; !known {
		b.cfg.Log.Info("stray run", "Task", r.Task.String(), "Run", r.Run, "Worker", w.info.ID, "Why", why)
	}
	w.strays[r.Task] = r.Run
}

// measure takes in the progress of a run.
func (b *Board) measure(t *task, r RunningTask, now time.Time) {
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
func (b *Board) began(t *task, now time.Time) {
	t.phase, t.uncertain, t.answered = running, false, now
	t.began, t.moved, t.percent = now, now, 0
	t.wasRunning, t.downSince = true, time.Time{}
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
func (b *Board) task(k workload.TaskKey) *task {
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

// StartDone takes the outcome of a start order.
func (b *Board) StartDone(o StartOrder, res StartResult, now time.Time) {
	t := b.task(o.Task)
	if t == nil || t.run != o.Run || t.phase != starting || t.worker.info.ID != o.Worker {
		return
	}
	w := t.worker
	switch res {
	case Started:
		b.began(t, now)
		return
	case StartUnknown, RefusedOld:
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
	case RefusedRoom:
		w.fullUntil = now.Add(refusedWait)
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
func (b *Board) fenced(w *worker, token FenceToken, refused bool) {
	if !refused || token < w.token || b.displaced {
		return
	}
	b.displaced = true
	b.cfg.Log.Warn("another leader gives orders", "Worker", w.info.ID, "Token", token, "Epoch", b.cfg.Epoch)
}

// Displaced says whether a worker has refused this leader for another one.
func (b *Board) Displaced() bool { return b.displaced }

// breakGang stops the members of a gang that cannot be whole.
func (b *Board) breakGang(t *task, why string) {
	if !t.group.step.Gang {
		return
	}
	for _, o := range t.group.tasks {
		if o.phase == starting || o.phase == running {
			o.stopWhy = why
		}
	}
}

// ended applies an ending that w lists.
func (b *Board) ended(w *worker, e Ending, now time.Time) {
	t := b.task(e.Task)
	delete(w.strays, e.Task)
	if t == nil || t.phase == done {
		return
	}
	if t.worker != w || t.run != e.Run {
		b.endedElsewhere(t, e, now)
		return
	}
	b.counts.Ended++
	if e.Checkpoint != "" {
		t.checkpoint = e.Checkpoint
	}
	ran := now.Sub(t.began)
	switch e.Cause {
	case EndDone:
		b.workDone(w, t, ran, now)
	case EndFailed:
		b.workFailed(w, t, now)
	default:
		b.cfg.Log.Debug("run ended", "Task", e.Task.String(), "Run", e.Run, "Worker", w.info.ID, "Cause", e.Cause)
		b.unplace(t, now, 0)
	}
}

// endedElsewhere applies an ending of a run that the board does not hold; only the end of work still counts.
func (b *Board) endedElsewhere(t *task, e Ending, now time.Time) {
	if e.Cause != EndDone {
		return
	}
	b.cfg.Log.Info("run ended that was given up", "Task", e.Task.String(), "Run", e.Run, "Phase", t.phase)
	if t.worker == nil {
		b.taskDone(t, now)
	}
}

func (b *Board) workDone(w *worker, t *task, ran time.Duration, now time.Time) {
	w.failStreak, w.badRounds, w.lastDone = 0, 0, now
	if !t.began.IsZero() && t.checkpoint == "" {
		t.group.durations = append(t.group.durations, ran)
	}
	if t.group.step.Gang {
		for _, o := range t.group.tasks {
			if o.phase.held() {
				o.worker.release(o)
			}
			b.taskDone(o, now)
		}
		return
	}
	w.release(t)
	b.taskDone(t, now)
}

// taskDone marks a task that no worker holds as done.
func (b *Board) taskDone(t *task, now time.Time) {
	if t.phase == done {
		return
	}
	t.phase = done
	g := t.group
	j := g.job
	g.left--
	g.idle--
	j.dirty = true
	if j.state.Final() || g.left > 0 {
		return
	}
	for _, o := range j.groups[g.occurrence] {
		if o.left > 0 {
			return
		}
	}
	j.finished++
	if j.finished >= j.spec.Occurrences() {
		b.counts.Completed++
		b.finish(j, workload.Completed, now)
	}
}

func (b *Board) workFailed(w *worker, t *task, now time.Time) {
	b.counts.Failed++
	j := t.group.job
	t.failures++
	t.failedOn = w.info.ID
	w.failStreak++
	b.cfg.Log.Info("run failed", "Task", t.key.String(), "Run", t.run, "Worker", w.info.ID, "Failures", t.failures, "WorkerStreak", w.failStreak)
	if w.failStreak >= badStreak && w.bad(now, "failures in a row") {
		b.cfg.Log.Warn("worker gets no work", "Worker", w.info.ID, "Why", w.badWhy, "Until", w.badUntil)
	}
	b.unplace(t, now, failedWait)
	if t.group.step.Endless || j.state.Final() || j.queue.MaxAttempts <= 0 {
		return
	}
	failures := t.failures
	if t.group.step.Gang {
		failures = 0
		for _, o := range t.group.tasks {
			failures += o.failures
		}
	}
	if failures >= j.queue.MaxAttempts {
		b.finish(j, workload.Failed, now)
	}
}

// StopDone takes the outcome of a stop order; the end of the run shows in a look.
func (b *Board) StopDone(o StopOrder, err error, now time.Time) {
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

// median returns the median of ds, which must not be empty.
func median(ds []time.Duration) time.Duration {
	s := slices.Clone(ds)
	slices.Sort(s)
	return s[len(s)/2]
}
