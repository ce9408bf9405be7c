package dispatch

import (
	"time"

	"persimmonpick/ledger"
	"persimmonpick/table"
	"persimmonpick/workload"
)

// Batch is a set of records to write to the log, with the actions that follow once they are written.
type Batch struct {
	records []ledger.Record
	intents []*task
	runs    []workload.RunNumber
	acks    map[*worker]ack
	done    []func()
	jobs    map[string]*job // whose progress is written, by the key of the record
	final   []table.JobID   // whose final state is written
}

// ack is the newest result of an incarnation of a worker whose effect is in a batch or before it.
type ack struct {
	number      ResultNumber
	incarnation table.UnixMillis
}

// Flush returns the records of all changes since the last call, or nil if there are none. The caller must call
// Flushed once they are in the log.
func (sched *Scheduler) Flush(now time.Time) *Batch {
	f := &Batch{acks: make(map[*worker]ack, len(sched.acks)), jobs: map[string]*job{}}
	for w, n := range sched.acks {
		f.acks[w] = ack{n, w.info.Incarnation}
	}
	for id, j := range sched.jobs {
		if !j.dirty {
			continue
		}
		j.dirty = false
		f.records = append(f.records, sched.jobRecords(f, j, now)...)
		j.statusChanged = false
		if j.state.Final() && !j.hasHeldTasks() {
			delete(sched.jobs, id)
		}
	}
	for _, t := range sched.reserved {
		if t.phase == reserved { // its record is in the batch
			f.intents, f.runs = append(f.intents, t), append(f.runs, t.run)
		}
	}
	sched.reserved = nil
	f.records = append(f.records, sched.droppedRecords...)
	if len(f.records) > 0 && now.Sub(sched.modelWrittenAt) > modelWriteInterval && len(sched.interference.sensitivities) > 0 {
		sched.modelWrittenAt = now
		f.records = append(f.records, sched.modelRecords()...)
	}
	f.records = append(f.records, sched.workerRecords()...)
	for _, h := range sched.handovers {
		f.records = append(f.records, h.record)
		f.done = append(f.done, h.done)
	}
	sched.handovers, sched.droppedRecords = nil, nil
	sched.acks = map[*worker]ResultNumber{}
	if len(f.records) == 0 && len(f.acks) == 0 {
		return nil
	}
	return f
}

// hasHeldTasks reports whether a worker holds a task of j.
func (j *job) hasHeldTasks() bool {
	held := false
	j.each(func(t *task) { held = held || t.phase.held() })
	return held
}

// jobRecords returns the records of j. The state comes first, since they may be written by several appends.
func (sched *Scheduler) jobRecords(f *Batch, j *job, now time.Time) []ledger.Record {
	var rs []ledger.Record
	if j.statusChanged {
		r, err := ledger.StatusRecord(j.id, workload.Status{State: j.state, At: table.UnixMillis(now.UnixMilli())})
		if err != nil {
			sched.cfg.Log.Error("cannot encode job status; record not written", "Job", j.id, "Error", err)
			return nil
		}
		rs = append(rs, r)
	}
	if j.state.Final() {
		if j.statusChanged {
			f.final = append(f.final, j.id)
			rs = append(rs, ledger.DropProgress(j.id))
		}
		return rs
	}
	if r, ok := sched.progressRecord(j, now); ok {
		f.jobs[r.Key] = j
		rs = append(rs, r)
	}
	return rs
}

// Flushed applies a batch that is in the log, and returns the start orders of the tasks reserved in it.
func (sched *Scheduler) Flushed(f *Batch, now time.Time, extend bool) []StartOrder {
	for _, done := range f.done {
		done()
	}
	for _, id := range f.final {
		sched.finalSince[id] = now
		delete(sched.unloggedFinal, id)
	}
	for w, a := range f.acks {
		if a.incarnation == w.info.Incarnation && a.number > w.loggedResult && a.number <= w.appliedResult {
			w.loggedResult = a.number
		}
	}
	incomplete := map[*group]bool{} // gangs, of which no member is started
	for _, t := range f.intents {
		if t.group.step.Gang && !incomplete[t.group] && !t.gangStartable(now) {
			incomplete[t.group] = true
		}
	}
	var orders []StartOrder
	for i, t := range f.intents {
		if t.phase != reserved || t.run != f.runs[i] {
			continue
		}
		w := t.worker
		if !extend || !w.accepts(t, now) || t.group.job.state.Final() || incomplete[t.group] {
			sched.requeue(t, now, refusedBackoff)
			continue
		}
		t.phase, t.token, t.orderedAt = starting, w.token, now
		sched.counts.Starts++
		orders = append(orders, StartOrder{
			Worker: w.info.ID, Address: w.info.Address, Task: t.key, Run: t.run, Payload: t.group.job.spec.Payload,
			Checkpoint: t.checkpoint, Ticket: t.group.ticket(w), LeaseUntil: w.leaseUntilFor(now, sched.cfg.LeaseTerm), Token: w.token,
		})
	}
	return orders
}
