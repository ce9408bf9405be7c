package journal

import (
	"persimmonpick/fault"
	"persimmonpick/table"
)

// Limits on a single amount of a resource, so that sums of amounts never overflow.
const (
	maxAmount       = 1 << 55
	maxAccelerators = 1 << 30
)

// validAmounts reports whether the amounts of r are within limits and not negative.
func validAmounts(r table.Resources) bool {
	return !r.Negative() && r.CPU <= maxAmount && r.Memory <= maxAmount && r.Accelerators <= maxAccelerators
}

func (a *applier) workerSeen(r *WorkerSeen) fault.Kind {
	if r.ID == "" || !validAmounts(r.Capacity) {
		return fault.Invalid
	}
	w := a.t.Workers[r.ID]
	if w == nil {
		w = &table.Worker{ID: r.ID}
		a.t.Workers[r.ID] = w
	}
	next := *w
	next.Rack = r.Rack
	next.Zone = r.Zone
	next.Capacity = r.Capacity
	next.Leaving = r.Leaving
	next.Gone = false
	if next == *w && w.Changed != 0 {
		return fault.None
	}
	*w = next
	w.Changed = a.off
	return fault.None
}

func (a *applier) workerGone(r *WorkerGone) fault.Kind {
	w := a.t.Workers[r.ID]
	if w == nil {
		return fault.NotFound
	}
	if !w.Gone {
		w.Gone = true
		w.Changed = a.off
	}
	a.deleteIfUnused(w)
	return fault.None
}

// deleteIfUnused deletes w if it is gone and holds no lease or instance.
func (a *applier) deleteIfUnused(w *table.Worker) {
	if w.Gone && w.Holds == 0 {
		delete(a.t.Workers, w.ID)
	}
}

// allocate reserves need on w.
func (a *applier) allocate(w *table.Worker, need table.Resources) {
	w.Used = w.Used.Plus(need)
	w.Holds++
}

// deallocate frees need on the worker with the given id, if it exists.
func (a *applier) deallocate(id table.WorkerID, need table.Resources) {
	w := a.t.Workers[id]
	if w == nil {
		return
	}
	w.Used = w.Used.Minus(need)
	w.Holds--
	a.deleteIfUnused(w)
}

func (a *applier) workerQuarantined(r *WorkerQuarantined) fault.Kind {
	w := a.t.Workers[r.ID]
	if w == nil {
		return fault.NotFound
	}
	if w.Quarantined {
		return fault.None
	}
	w.Quarantined = true
	w.QuarantineReason = r.Reason
	w.QuarantinedAt = a.b.Time
	w.Changed = a.off
	return fault.None
}

func (a *applier) workerReleased(r *WorkerReleased) fault.Kind {
	w := a.t.Workers[r.ID]
	if w == nil {
		return fault.NotFound
	}
	if !w.Quarantined {
		return fault.None
	}
	w.Quarantined = false
	w.QuarantineReason = ""
	w.QuarantinedAt = 0
	w.Changed = a.off
	return fault.None
}

func (a *applier) instanceSeen(r *InstanceSeen) fault.Kind {
	next := r.Instance
	if next.ID == "" || !validAmounts(next.Need) || next.Slots < 0 || next.Connections < 0 {
		return fault.Invalid
	}
	w := a.t.Workers[next.Worker]
	if w == nil {
		return fault.NotFound
	}
	old := a.t.Instances[next.ID]
	if !instanceFits(w, old, next.Need) {
		return fault.Capacity
	}
	if old != nil {
		next.Changed = old.Changed
		if next == *old {
			return fault.None
		}
	}
	a.allocate(w, next.Need)
	if old != nil {
		a.deallocate(old.Worker, old.Need)
	}
	next.Changed = a.off
	a.t.Instances[next.ID] = &next
	return fault.None
}

// instanceFits reports whether w can hold need in place of old. An instance that does not grow on its worker always
// fits, even if the capacity of the worker has shrunk.
func instanceFits(w *table.Worker, old *table.Instance, need table.Resources) bool {
	if old == nil || old.Worker != w.ID {
		return need.Fits(w.Free())
	}
	if need.Fits(old.Need) {
		return true
	}
	return need.Fits(w.Free().Plus(old.Need))
}

func (a *applier) instanceGone(r *InstanceGone) fault.Kind {
	in := a.t.Instances[r.ID]
	if in == nil {
		return fault.NotFound
	}
	delete(a.t.Instances, r.ID)
	a.deallocate(in.Worker, in.Need)
	return fault.None
}
