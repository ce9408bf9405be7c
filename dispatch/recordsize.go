package dispatch

import (
	"maps"
	"slices"
	"time"

	"persimmonpick/ledger"
	"persimmonpick/workload"
)

const (
	// startShare is the share of the size limit beyond which tasks of a job are started only as others of it end. The
	// rest is left for what runs.
	startShare       = 0.75
	recordRetryDelay = time.Second // before a record that was too large is written again
)

// progressRecord returns the progress record of j, within the size limit. If it does not fit, done tasks are folded,
// then starts are put off, then checkpoints are left out. It returns false if there is no record to write.
func (sched *Scheduler) progressRecord(j *job, now time.Time) (ledger.Record, bool) {
	if now.Before(j.recordRetryAt) {
		sched.putOff(j, now)
		j.dirty = true
		return ledger.Record{}, false
	}
	p := j.progress(now)
	r, err := ledger.ProgressRecord(j.id, p)
	if sched.tooLarge(r, 1) && !j.foldsRecord {
		j.foldsRecord = true
		p = j.progress(now)
		r, err = ledger.ProgressRecord(j.id, p)
	}
	for j.foldsRecord && sched.tooLarge(r, startShare) && sched.putOffHalf(j, now) {
		p = j.progress(now)
		r, err = ledger.ProgressRecord(j.id, p)
	}
	if sched.tooLarge(r, 1) {
		for i := range p.Tasks {
			p.Tasks[i].Checkpoint = ""
		}
		r, err = ledger.ProgressRecord(j.id, p)
		sched.cfg.Log.Warn("job progress written without checkpoints", "Job", j.id, "Size", r.Size(), "Limit", sched.cfg.MaxRecord)
	}
	if err != nil {
		sched.cfg.Log.Error("cannot encode job progress; record not written", "Job", j.id, "Error", err)
		sched.writeLater(j, now)
		return ledger.Record{}, false
	}
	if sched.tooLarge(r, 1) {
		sched.recordTooLarge(j, r, now)
		return ledger.Record{}, false
	}
	return r, true
}

// tooLarge reports whether r exceeds the given share of the size limit.
func (sched *Scheduler) tooLarge(r ledger.Record, share float64) bool {
	limit := sched.cfg.MaxRecord
	return limit > 0 && float64(r.Size()) > share*float64(limit)
}

// recordTooLarge puts off the starts that a record names which cannot be written, and has it written again later.
func (sched *Scheduler) recordTooLarge(j *job, r ledger.Record, now time.Time) {
	sched.cfg.Log.Error("job progress too large; record not written", "Job", j.id, "Size", r.Size(), "Limit", sched.cfg.MaxRecord)
	j.foldsRecord = true
	sched.writeLater(j, now)
}

// writeLater puts off the starts of j that are not in the log, and has its progress record written again later.
func (sched *Scheduler) writeLater(j *job, now time.Time) {
	sched.putOff(j, now)
	j.recordRetryAt, j.dirty = now.Add(recordRetryDelay), true
}

// RecordsRefused applies that the log refused records of a batch for their size. The caller must call it before
// Flushed.
func (sched *Scheduler) RecordsRefused(f *Batch, refused []ledger.Record, now time.Time) {
	for _, r := range refused {
		if j := f.progress[r.Key]; j != nil {
			delete(f.progress, r.Key)
			if !j.state.Final() {
				sched.recordTooLarge(j, r, now)
			}
		}
		if j := f.states[r.Key]; j != nil {
			delete(f.final, j)
			j.statusChanged, j.dirty = true, true
		}
		f.handovers = slices.DeleteFunc(f.handovers, func(h handover) bool { return h.record.Key == r.Key })
	}
}

// holdsRuns reports whether a run of j may be at work.
func (j *job) holdsRuns() bool {
	holds := false
	j.each(func(t *task) { holds = holds || t.phase.held() && t.phase != reserved })
	return holds
}

// putOff takes back all starts of j that are not in the log.
func (sched *Scheduler) putOff(j *job, now time.Time) {
	for _, ts := range j.reservedTasks() {
		putOff(ts, now)
	}
}

// putOffHalf takes back half of the starts of j that are not in the log. It returns false if there are none, or only
// one and nothing else of j is at work.
func (sched *Scheduler) putOffHalf(j *job, now time.Time) bool {
	starts := j.reservedTasks()
	if len(starts) == 0 || len(starts) == 1 && !j.holdsRuns() {
		return false
	}
	for _, ts := range starts[len(starts)/2:] {
		putOff(ts, now)
	}
	return true
}

func putOff(ts []*task, now time.Time) {
	for _, t := range ts {
		t.worker.release(t)
		if t.repeated {
			t.notBegun = true
		} else {
			t.run-- // no record and no worker knows the number
		}
		t.notBefore = now.Add(refusedBackoff)
	}
}

// reservedTasks returns the tasks of j that are reserved, the members of a gang together, in the order of their keys.
func (j *job) reservedTasks() [][]*task {
	var starts [][]*task
	for _, k := range slices.Sorted(maps.Keys(j.groups)) {
		for _, g := range j.groups[k] {
			var ts []*task
			for _, t := range g.tasks {
				if t.phase == reserved {
					ts = append(ts, t)
				}
			}
			switch {
			case len(ts) == 0:
			case g.step.Gang:
				starts = append(starts, ts)
			default:
				starts = slices.AppendSeq(starts, slices.Chunk(ts, 1))
			}
		}
	}
	return starts
}

// appendDone appends the done tasks of g to ds.
func (g *group) appendDone(ds []workload.DoneTasks) []workload.DoneTasks {
	var bits []byte
	for i, t := range g.tasks {
		if t.phase != done {
			continue
		}
		for len(bits) <= i/8 {
			bits = append(bits, 0)
		}
		bits[i/8] |= 1 << (i % 8)
	}
	if len(bits) == 0 {
		return ds
	}
	return append(ds, workload.DoneTasks{Occurrence: g.occurrence, Step: g.index, Bits: bits})
}

// restoreDone marks the tasks that d names as done.
func (g *group) restoreDone(d workload.DoneTasks) {
	g.createTasks()
	for i, t := range g.tasks {
		if i/8 < len(d.Bits) && d.Bits[i/8]&(1<<(i%8)) != 0 && t.phase == waiting {
			t.phase = done
			g.unfinished--
			g.waitingTasks--
		}
	}
}
