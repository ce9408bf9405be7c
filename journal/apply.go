package journal

import (
	"persimmonpick/fault"
	"persimmonpick/table"
)

// applier is the state of one call of Apply.
type applier struct {
	t       *table.Tables
	off     table.Offset
	b       *Batch
	kinds   []fault.Kind
	decided map[int]bool // indexes of records decided together with an earlier one
}

// Apply applies one batch to t and returns one kind per record, which is fault.None if the record took effect.
//
// The result depends on the arguments alone, so that every entry host reaches the same tables. The records of a
// duplicate batch, or of one whose offset is not above that of the last, have no effect and yield fault.Conflict.
func Apply(t *table.Tables, off table.Offset, b *Batch) []fault.Kind {
	a := &applier{t: t, off: off, b: b, kinds: make([]fault.Kind, len(b.Records))}
	if off <= t.Applied {
		return a.rejectAll()
	}
	t.Applied = off
	t.IndexUnfinished()
	if IsDuplicate(t, b) {
		return a.rejectAll()
	}
	t.Writers[b.Writer] = &table.WriterState{Seq: b.Seq, Changed: off}
	for i := range b.Records {
		if a.decided[i] {
			continue
		}
		a.kinds[i] = a.applyRecord(i, &b.Records[i])
	}
	return a.kinds
}

// IsDuplicate reports whether b, or a later batch of its writer, has already been applied to t.
func IsDuplicate(t *table.Tables, b *Batch) bool {
	w := t.Writers[b.Writer]
	if w == nil {
		return b.Seq == 0
	}
	return b.Seq <= w.Seq
}

func (a *applier) rejectAll() []fault.Kind {
	for i := range a.kinds {
		a.kinds[i] = fault.Conflict
	}
	return a.kinds
}

func (a *applier) applyRecord(i int, r *Record) fault.Kind {
	switch {
	case r.LeaseGranted != nil:
		return a.leaseGranted(i, r.LeaseGranted)
	case r.LeaseStarted != nil:
		return a.leaseStarted(r.LeaseStarted)
	case r.LeaseRevoked != nil:
		return a.leaseRevoked(r.LeaseRevoked)
	case r.LeaseEnded != nil:
		return a.leaseEnded(r.LeaseEnded)
	case r.ClaimMade != nil:
		return a.claimMade(r.ClaimMade)
	case r.ClaimEnded != nil:
		return a.claimEnded(r.ClaimEnded)
	case r.JobSubmitted != nil:
		return a.jobSubmitted(r.JobSubmitted)
	case r.JobCancelled != nil:
		return a.jobCancelled(r.JobCancelled)
	default:
		return a.applyRareRecord(r)
	}
}

func (a *applier) applyRareRecord(r *Record) fault.Kind {
	switch {
	case r.HostJoined != nil:
		return a.hostJoined(r.HostJoined)
	case r.HostLeft != nil:
		return a.hostLeft(r.HostLeft)
	case r.WorkerSeen != nil:
		return a.workerSeen(r.WorkerSeen)
	case r.WorkerGone != nil:
		return a.workerGone(r.WorkerGone)
	case r.WorkerQuarantined != nil:
		return a.workerQuarantined(r.WorkerQuarantined)
	case r.WorkerReleased != nil:
		return a.workerReleased(r.WorkerReleased)
	case r.InstanceSeen != nil:
		return a.instanceSeen(r.InstanceSeen)
	case r.InstanceGone != nil:
		return a.instanceGone(r.InstanceGone)
	case r.PlanConfirmed != nil:
		return a.planConfirmed(r.PlanConfirmed)
	case r.Expired != nil:
		return a.expired(r.Expired)
	default:
		return fault.Invalid
	}
}
