package dispatch

import (
	"log/slog"
	"time"

	"persimmonpick/ledger"
	"persimmonpick/table"
	"persimmonpick/workload"
)

// Config configures a Board.
type Config struct {
	Epoch      ledger.Epoch
	Term       time.Duration // of leases
	StatusKept time.Duration // how long the state of a final job is kept
	Far        float64       // how many times longer a task takes away from its data
	Log        *slog.Logger
}

// coreSecond is a second of a core in thousandths of a core times milliseconds.
const coreSecond = 1e6

// tokensPerEpoch leaves room for the tokens of one leader.
const tokensPerEpoch = 1 << 24

// Scheduler holds all jobs that are not final and all workers, and decides what runs where; one goroutine owns it.
//
// It makes no calls: Looks and Decide return orders, and the functions whose names end in Done take their outcomes.
type Scheduler struct {
	cfg     Config
	jobs    map[table.JobID]*job
	final   map[table.JobID]time.Time // when jobs became final
	workers map[table.WorkerID]*worker
	queues  map[workload.QueueID]workload.Queue
	images  *impact
	sizes   sizes

	placed []*task // reserved, and not yet in the records
	intent []*task // reserved, in the records that are being written
	acks   map[*worker]ResultNumber
	drops  []ledger.Record
	fresh  []*worker        // to be handed on to the next leader
	gone   []table.WorkerID // not to be handed on any more
	handOn []handedOn       // to the next leader
	counts Counts

	unadvised []*group // that the last decision left waiting for tickets
	advising  int      // questions to the service that approves workers

	crowd float64 // how much of the capacity is taken, see crowded

	displaced bool // a worker has seen the token of another leader

	surveyed time.Time
	handedOn time.Time // when what was learned was last written
}

// Counts counts what a board has decided, for metrics.
type Counts struct {
	Starts, Refused, Unknown, Ended, Failed, Stalled, Moved, Lost, Completed, Cancelled int
}

// NewScheduler returns a board that knows nothing yet.
func NewScheduler(cfg Config) *Scheduler {
	return &Scheduler{
		cfg: cfg, jobs: map[table.JobID]*job{}, final: map[table.JobID]time.Time{},
		workers: map[table.WorkerID]*worker{}, queues: map[workload.QueueID]workload.Queue{},
		images: newImpact(), sizes: sizes{}, acks: map[*worker]ResultNumber{},
	}
}

// Counts returns the counts so far.
func (b *Scheduler) Counts() Counts { return b.counts }

// SetQueues takes the queues of the newest configuration; a queue that it drops keeps its policy for the jobs that it has.
func (b *Scheduler) SetQueues(qs []workload.Queue) {
	for _, q := range qs {
		b.queues[q.ID] = q
	}
	for _, j := range b.jobs {
		if q, ok := b.queues[j.queue.ID]; ok {
			j.queue = q
		}
	}
}

// SetEntry takes what the log says about a job.
func (b *Scheduler) SetEntry(e ledger.Entry, now time.Time) {
	j := b.jobs[e.ID]
	if j == nil {
		if _, ended := b.final[e.ID]; ended || e.Submission == nil {
			return
		}
		if e.Status.State.Final() {
			b.final[e.ID] = now
			return
		}
		if err := e.Submission.Spec.Check(); err != nil {
			b.cfg.Log.Error("job cannot be run; its record holds what no host would have taken", "Job", e.ID, "Error", err)
			return
		}
		j = b.accept(e, now)
	}
	if e.Cancelled && !j.state.Final() {
		b.counts.Cancelled++
		b.finish(j, workload.Cancelled, now)
	}
}

func (b *Scheduler) accept(e ledger.Entry, now time.Time) *job {
	j := newJob(e.ID, e.Submission)
	if q, ok := b.queues[j.queue.ID]; ok {
		j.queue = q
	}
	j.state = e.Status.State
	b.jobs[e.ID] = j
	b.sizes.learn(j)
	if e.Progress != nil {
		p, err := ledger.DecodeProgress(e.Progress)
		if err != nil {
			b.cfg.Log.Error("progress of a job cannot be read; its tasks start anew", "Job", e.ID, "Error", err)
		}
		j.restore(p, func(id table.WorkerID) *worker { return b.ghost(id, now) })
	}
	if j.spec.Repeat == 0 {
		j.open(0)
	}
	return j
}

// ghost returns a worker that the log names, whether it is listed or not.
func (b *Scheduler) ghost(id table.WorkerID, now time.Time) *worker {
	w := b.workers[id]
	if w == nil {
		w = newWorker(WorkerInfo{ID: id}, b.firstToken())
		// An earlier leader may have extended the lease until it noticed that it was displaced.
		w.leaseUntil = now.Add(orphanLease + longestLease(b.cfg.Term))
		w.missing = now
		b.workers[id] = w
	}
	return w
}

func (b *Scheduler) firstToken() FenceToken { return FenceToken(b.cfg.Epoch) * tokensPerEpoch }

// SetWorker takes an entry of the list of workers.
func (b *Scheduler) SetWorker(info WorkerInfo, now time.Time) {
	w := b.ghost(info.ID, now)
	if w.info.Born != 0 && info.Born < w.info.Born {
		return // an entry of an earlier life
	}
	if info.Born > w.info.Born && w.contacted {
		b.reborn(w, info.Born, now)
	}
	if info.Draining && !w.info.Draining {
		w.drained = now.Add(info.LeavesIn)
		b.cfg.Log.Info("worker drains", "Worker", info.ID, "LeavesIn", info.LeavesIn, "Tasks", len(w.tasks))
	}
	if !w.listed {
		b.cfg.Log.Info("worker listed", "Worker", info.ID, "Labels", info.Labels, "CPU", info.Capacity.CPU, "Memory", info.Capacity.Memory, "Rack", info.Rack, "Zone", info.Zone)
	}
	before := w.info
	w.info, w.listed, w.missing = info, true, time.Time{}
	b.noteWorkerChange(w, before)
}

// RemoveWorker takes a worker off the list.
func (b *Scheduler) RemoveWorker(id table.WorkerID, now time.Time) {
	w := b.workers[id]
	if w == nil || !w.missing.IsZero() {
		return
	}
	w.missing = now
	b.cfg.Log.Info("worker left the list", "Worker", id, "Tasks", len(w.tasks))
}

// reborn has w looked at as if by a new leader. Starts may have been answered by the new life already, and unanswered ones may still reach it, so only a list under a higher token says what was lost.
func (b *Scheduler) reborn(w *worker, born table.UnixMillis, now time.Time) {
	b.cfg.Log.Info("worker restarted", "Worker", w.info.ID, "Born", born, "Before", w.info.Born, "Tasks", len(w.tasks))
	w.info.Born = born
	w.contacted, w.clockAt, w.seen, w.acked = false, time.Time{}, 0, 0
	w.token++
	w.lookSent = now
	w.failStreak = 0
	delete(b.acks, w)
	w.hurry(now)
}

func (w *worker) hurry(now time.Time) {
	w.urgent = true
	w.nextLook = now
}

// lost returns a task whose run cannot be running any more to the queue.
func (b *Scheduler) lost(t *task, now time.Time, why string) {
	b.counts.Lost++
	b.cfg.Log.Info("run lost", "Task", t.key.String(), "Run", t.run, "Worker", t.worker.info.ID, "Why", why)
	b.unplace(t, now, 0)
}

// unplace returns t to the queue.
func (b *Scheduler) unplace(t *task, now time.Time, wait time.Duration) {
	t.worker.release(t)
	t.notBefore = now.Add(wait)
	t.group.job.dirty = true
}

// finish makes a job final and stops what runs of it.
func (b *Scheduler) finish(j *job, s workload.State, now time.Time) {
	j.state, j.stated, j.dirty = s, true, true
	b.final[j.id] = now
	c := j.course(now)
	b.cfg.Log.Info("job final", "Job", j.id, "Queue", j.queue.ID, "State", s, "After", now.Sub(j.submitted).Round(time.Millisecond),
		"Objective", j.deadline.Sub(j.submitted).Round(time.Millisecond), "Waited", c.waited.Round(time.Millisecond),
		"Tasks", c.tasks, "Work", int(j.work/coreSecond), "Failures", c.failures, "Moves", c.moves, "Reruns", c.reruns)
	j.each(func(t *task) {
		switch t.phase {
		case reserved:
			t.worker.release(t)
		case starting, running:
			t.stopWhy = "job final"
		}
	})
}

// Tick lets go of what time has ended.
func (b *Scheduler) Tick(now time.Time) {
	for id, w := range b.workers {
		if w.listed && !w.missing.IsZero() && now.Sub(w.missing) > missingGrace {
			w.listed = false
		}
		if w.missing.IsZero() || now.Before(w.leaseUntil) || now.Sub(w.missing) < missingGrace {
			continue
		}
		for _, t := range w.tasks {
			b.lost(t, now, "worker gone, lease ended")
		}
		if len(w.tasks) == 0 && w.looks == 0 && now.Sub(w.heard) > freshLook {
			delete(b.workers, id)
			delete(b.acks, w)
			b.gone = append(b.gone, id)
		}
	}
	for _, w := range b.workers {
		// A silent worker whose lease has ended runs nothing, listed or not.
		if w.silentBy > 0 && now.After(w.leaseUntil) {
			for _, t := range w.tasks {
				if t.phase != starting {
					b.lost(t, now, "worker silent, lease ended")
				}
			}
		}
	}
	for id, at := range b.final {
		if now.Sub(at) > b.cfg.StatusKept {
			delete(b.final, id)
			b.drops = append(b.drops, ledger.DropJob(id)...)
		}
	}
	for _, j := range b.jobs {
		b.openDue(j, now)
	}
	b.survey(now)
}

// openDue makes the tasks of the occurrences that are due.
func (b *Scheduler) openDue(j *job, now time.Time) {
	for j.spec.Repeat > 0 && !j.state.Final() && j.nextDue < j.spec.Repeat && !now.Before(j.spec.Due(j.nextDue)) {
		b.cfg.Log.Info("occurrence due", "Job", j.id, "Occurrence", j.nextDue)
		j.open(j.nextDue)
	}
}
