package dispatch

import (
	"time"

	"persimmonpick/ledger"
	"persimmonpick/table"
	"persimmonpick/workload"
)

// Batch is a set of records to write to the log, with the actions that follow once they are written.
type Batch struct {
	number    batchNumber
	records   []ledger.Record
	intents   []*task
	runs      []workload.RunNumber
	acks      map[*worker]ack
	handovers []handover
	progress  map[string]*job // whose progress is written, by the key of the record
	states    map[string]*job // whose state is written, by the key of the record
	final     map[*job]bool   // whose final state is written
}

// ack is the newest result of an incarnation of a worker that was applied before a batch.
type ack struct {
	number      ResultNumber
	incarnation table.UnixMillis
}

// batchNumber numbers the batches of a Scheduler from 1.
type batchNumber int

// Flush returns the records of all changes since the last call, or nil if there are none. The caller must call
// Flushed once they are in the log.
func (sched *Scheduler) Flush(now time.Time) *Batch {
	sched.batches++
	f := &Batch{number: sched.batches, acks: map[*worker]ack{}, progress: map[string]*job{}, states: map[string]*job{}, final: map[*job]bool{}}
	for _, w := range sched.workers {
		if w.appliedResult > w.loggedResult {
			f.acks[w] = ack{w.appliedResult, w.info.Incarnation}
		}
	}
	for _, j := range sched.jobs {
		if !j.dirty {
			continue
		}
		j.dirty = false
		f.records = append(f.records, sched.jobRecords(f, j, now)...)
		sched.dropFinished(j)
	}
	for _, t := range sched.reserved {
		if t.phase == reserved { // its record is in the batch
			f.intents, f.runs = append(f.intents, t), append(f.runs, t.run)
		}
	}
	sched.reserved = nil
	f.records = append(f.records, sched.corrections...)
	f.records = append(f.records, sched.droppedRecords...)
	if len(f.records) > 0 && now.Sub(sched.modelWrittenAt) > modelWriteInterval && len(sched.interference.sensitivities) > 0 {
		sched.modelWrittenAt = now
		f.records = append(f.records, sched.modelRecords()...)
	}
	f.records = append(f.records, sched.workerRecords()...)
	f.handovers = sched.handovers
	for _, h := range f.handovers {
		f.records = append(f.records, h.record)
	}
	sched.handovers, sched.corrections, sched.droppedRecords = nil, nil, nil
	if len(f.records) > 0 { // no append for these alone
		f.records = append(sched.finishedProgress, f.records...)
		sched.finishedProgress = nil
	}
	if len(f.records) == 0 && len(f.acks) == 0 {
		return nil
	}
	return f
}

// dropFinished drops j if its final state is in the log and no worker holds a task of it.
func (sched *Scheduler) dropFinished(j *job) {
	if j.finalLogged && !j.dirty && !j.hasHeldTasks() {
		delete(sched.jobs, j.id)
	}
}

// hasHeldTasks reports whether a worker holds a task of j.
func (j *job) hasHeldTasks() bool {
	held := false
	j.each(func(t *task) { held = held || t.phase.held() })
	return held
}

// jobRecords returns the records of j. Its progress is not deleted before its final state is in the log.
func (sched *Scheduler) jobRecords(f *Batch, j *job, now time.Time) []ledger.Record {
	var rs []ledger.Record
	if j.statusChanged {
		r, err := ledger.StatusRecord(j.id, workload.Status{State: j.state, At: table.UnixMillis(now.UnixMilli())})
		if err != nil {
			sched.cfg.Log.Error("cannot encode job status; record not written", "Job", j.id, "Error", err)
			sched.putOff(j, now)
			j.dirty = true
			return nil
		}
		j.statusChanged = false
		f.states[r.Key] = j
		rs = append(rs, r)
		if j.state.Final() {
			j.writtenIn, f.final[j] = f.number, true
		}
	}
	if j.state.Final() {
		return rs
	}
	if r, ok := sched.progressRecord(j, now); ok {
		j.writtenIn, f.progress[r.Key] = f.number, j
		rs = append(rs, r)
	}
	return rs
}

// Flushed applies a batch that is in the log, and returns the start orders of the tasks reserved in it.
func (sched *Scheduler) Flushed(f *Batch, now time.Time, extend bool) []StartOrder {
	for _, h := range f.handovers {
		h.done()
	}
	for _, j := range f.progress {
		j.loggedIn = max(j.loggedIn, f.number)
	}
	for j := range f.final {
		j.finalLogged, sched.finalJobs[j.id] = true, finalJob{since: now, spec: j.spec}
		delete(sched.unloggedFinal, j.id)
		sched.finishedProgress = append(sched.finishedProgress, ledger.DropProgress(j.id))
		sched.dropFinished(j)
	}
	for w, a := range f.acks {
		if a.incarnation == w.info.Incarnation {
			w.acknowledge(a.number)
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
		if !extend || sched.startsHeld || !w.accepts(t, now) || t.group.job.state.Final() || incomplete[t.group] {
			sched.requeueUnbegun(t, now)
			continue
		}
		if w.ackSent {
			w.raiseToken()
		}
		t.phase, t.token, t.orderedTo, t.orderedAt = starting, w.token, w.info.Incarnation, now
		sched.counts.Starts++
		orders = append(orders, StartOrder{
			Worker: w.info.ID, Address: w.info.Address, Task: t.key, Run: t.run, Payload: t.group.job.spec.Payload,
			Checkpoint: t.checkpoint, Ticket: t.group.ticket(w), LeaseUntil: w.leaseUntilFor(now, sched.cfg.LeaseTerm), Token: w.token,
			Clock: w.clockRange(now, orderTimeout), incarnation: w.info.Incarnation,
		})
	}
	return orders
}
