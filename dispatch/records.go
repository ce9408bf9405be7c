package dispatch

import (
	"time"

	"persimmonpick/ledger"
	"persimmonpick/table"
	"persimmonpick/workload"
)

// Batch is a set of records that is being written, and what follows once it is.
type Batch struct {
	records []ledger.Record
	intents []*task
	runs    []workload.RunNumber
	acks    map[*worker]ResultNumber
	done    []func()
}

// Flush returns the records of all changes since the last call, or nil if there are none; Flushed must be called once they are in the log.
func (b *Scheduler) Flush(now time.Time) *Batch {
	f := &Batch{intents: b.placed, acks: b.acks}
	for _, t := range f.intents {
		f.runs = append(f.runs, t.run)
	}
	b.placed = nil
	for id, j := range b.jobs {
		if !j.dirty {
			continue
		}
		f.records = append(f.records, b.jobRecords(j, now)...)
		j.dirty, j.stated = false, false
		if j.state.Final() && !j.holds() {
			delete(b.jobs, id)
		}
	}
	f.records = append(f.records, b.drops...)
	if len(f.records) > 0 && now.Sub(b.handedOn) > learnedEvery && len(b.images.serving) > 0 {
		b.handedOn = now
		f.records = append(f.records, b.learnedNote()...)
	}
	f.records = append(f.records, b.rosterNotes()...)
	for _, h := range b.handOn {
		f.records = append(f.records, h.record)
		f.done = append(f.done, h.done)
	}
	b.handOn, b.drops = nil, nil
	b.acks = map[*worker]ResultNumber{}
	if len(f.records) == 0 && len(f.acks) == 0 {
		return nil
	}
	return f
}

// holds says whether a worker still has a task of j.
func (j *job) holds() bool {
	held := false
	j.each(func(t *task) { held = held || t.phase.held() })
	return held
}

func (b *Scheduler) jobRecords(j *job, now time.Time) []ledger.Record {
	var rs []ledger.Record
	if j.state.Final() {
		if j.stated {
			rs = append(rs, ledger.DropProgress(j.id))
		}
	} else if r, err := ledger.ProgressRecord(j.id, j.progress()); err == nil {
		rs = append(rs, r)
	} else {
		b.cfg.Log.Error("progress not written", "Job", j.id, "Error", err)
	}
	if !j.stated {
		return rs
	}
	r, err := ledger.StatusRecord(j.id, workload.Status{State: j.state, At: table.UnixMillis(now.UnixMilli())})
	if err != nil {
		b.cfg.Log.Error("state not written", "Job", j.id, "Error", err)
		return rs
	}
	return append(rs, r)
}

// Flushed returns the start orders whose intents are in the log now.
func (b *Scheduler) Flushed(f *Batch, now time.Time, extend bool) []StartOrder {
	for _, done := range f.done {
		done()
	}
	for w, n := range f.acks {
		if n > w.acked && n <= w.seen {
			w.acked = n
		}
	}
	var orders []StartOrder
	for i, t := range f.intents {
		if t.phase != reserved || t.run != f.runs[i] {
			continue
		}
		w := t.worker
		if !extend || !w.usable(now) || t.group.job.state.Final() {
			b.unplace(t, now, refusedWait)
			b.breakGang(t, "member not started")
			continue
		}
		t.phase, t.token = starting, w.token
		b.counts.Starts++
		orders = append(orders, StartOrder{
			Worker: w.info.ID, Address: w.info.Address, Task: t.key, Run: t.run, Payload: t.group.job.spec.Payload,
			Checkpoint: t.checkpoint, Ticket: t.group.ticket(w), Until: w.until(now, b.cfg.Term), Token: w.token,
		})
	}
	return orders
}
