package journal

import (
	"persimmonpick/fault"
	"persimmonpick/table"
)

// fold is the state of one call of Apply.
type fold struct {
	t       *table.Tables
	off     table.Offset
	b       *Batch
	kinds   []fault.Kind
	decided map[int]bool // records that were decided together with an earlier one
}

// Apply folds one batch into t and returns one kind per record, fault.None where it took effect.
//
// Apply is a pure function of its arguments, so that every entry host reaches the same tables.
// A repeat of a batch, or an offset that does not grow, has no effect and yields fault.Conflict for each record.
func Apply(t *table.Tables, off table.Offset, b *Batch) []fault.Kind {
	f := &fold{t: t, off: off, b: b, kinds: make([]fault.Kind, len(b.Records))}
	if off <= t.Applied {
		return f.refuseAll()
	}
	t.Applied = off
	t.IndexUnfinished()
	if IsDuplicate(t, b) {
		return f.refuseAll()
	}
	t.Writers[b.Writer] = &table.WriterState{Seq: b.Seq, Changed: off}
	for i := range b.Records {
		if f.decided[i] {
			continue
		}
		f.kinds[i] = f.record(i, &b.Records[i])
	}
	return f.kinds
}

// IsDuplicate says whether t already holds b or a later batch of its writer.
func IsDuplicate(t *table.Tables, b *Batch) bool {
	w := t.Writers[b.Writer]
	if w == nil {
		return b.Seq == 0
	}
	return b.Seq <= w.Seq
}

func (f *fold) refuseAll() []fault.Kind {
	for i := range f.kinds {
		f.kinds[i] = fault.Conflict
	}
	return f.kinds
}

func (f *fold) record(i int, r *Record) fault.Kind {
	switch {
	case r.LeaseGranted != nil:
		return f.leaseGranted(i, r.LeaseGranted)
	case r.LeaseStarted != nil:
		return f.leaseStarted(r.LeaseStarted)
	case r.LeaseRevoked != nil:
		return f.leaseRevoked(r.LeaseRevoked)
	case r.LeaseEnded != nil:
		return f.leaseEnded(r.LeaseEnded)
	case r.ClaimMade != nil:
		return f.claimMade(r.ClaimMade)
	case r.ClaimEnded != nil:
		return f.claimEnded(r.ClaimEnded)
	case r.JobSubmitted != nil:
		return f.jobSubmitted(r.JobSubmitted)
	case r.JobCancelled != nil:
		return f.jobCancelled(r.JobCancelled)
	default:
		return f.rareRecord(r)
	}
}

func (f *fold) rareRecord(r *Record) fault.Kind {
	switch {
	case r.HostJoined != nil:
		return f.hostJoined(r.HostJoined)
	case r.HostLeft != nil:
		return f.hostLeft(r.HostLeft)
	case r.WorkerSeen != nil:
		return f.workerSeen(r.WorkerSeen)
	case r.WorkerGone != nil:
		return f.workerGone(r.WorkerGone)
	case r.WorkerQuarantined != nil:
		return f.workerQuarantined(r.WorkerQuarantined)
	case r.WorkerReleased != nil:
		return f.workerReleased(r.WorkerReleased)
	case r.InstanceSeen != nil:
		return f.instanceSeen(r.InstanceSeen)
	case r.InstanceGone != nil:
		return f.instanceGone(r.InstanceGone)
	case r.PlanConfirmed != nil:
		return f.planConfirmed(r.PlanConfirmed)
	case r.Expired != nil:
		return f.expired(r.Expired)
	default:
		return fault.Invalid
	}
}
