package journal

import (
	"persimmonpick/fault"
	"persimmonpick/table"
)

// Bounds on one amount, so that sums of amounts never overflow.
const (
	maxAmount       = 1 << 55
	maxAccelerators = 1 << 30
)

// sane says whether r is an amount that the fold may add up.
func sane(r table.Resources) bool {
	return !r.Negative() && r.CPU <= maxAmount && r.Memory <= maxAmount && r.Accelerators <= maxAccelerators
}

func (f *fold) workerSeen(r *WorkerSeen) fault.Kind {
	if r.ID == "" || !sane(r.Capacity) {
		return fault.Invalid
	}
	w := f.t.Workers[r.ID]
	if w == nil {
		w = &table.Worker{ID: r.ID}
		f.t.Workers[r.ID] = w
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
	w.Changed = f.off
	return fault.None
}

func (f *fold) workerGone(r *WorkerGone) fault.Kind {
	w := f.t.Workers[r.ID]
	if w == nil {
		return fault.NotFound
	}
	if !w.Gone {
		w.Gone = true
		w.Changed = f.off
	}
	f.dropGone(w)
	return fault.None
}

// dropGone deletes w if it is gone and holds nothing.
func (f *fold) dropGone(w *table.Worker) {
	if w.Gone && w.Holds == 0 {
		delete(f.t.Workers, w.ID)
	}
}

// take counts need against w.
func (f *fold) take(w *table.Worker, need table.Resources) {
	w.Used = w.Used.Plus(need)
	w.Holds++
}

// give frees need on the worker with the given id.
func (f *fold) give(id table.WorkerID, need table.Resources) {
	w := f.t.Workers[id]
	if w == nil {
		return
	}
	w.Used = w.Used.Minus(need)
	w.Holds--
	f.dropGone(w)
}

func (f *fold) workerQuarantined(r *WorkerQuarantined) fault.Kind {
	w := f.t.Workers[r.ID]
	if w == nil {
		return fault.NotFound
	}
	if w.Quarantined {
		return fault.None
	}
	w.Quarantined = true
	w.QuarantineReason = r.Reason
	w.QuarantinedAt = f.b.Time
	w.Changed = f.off
	return fault.None
}

func (f *fold) workerReleased(r *WorkerReleased) fault.Kind {
	w := f.t.Workers[r.ID]
	if w == nil {
		return fault.NotFound
	}
	if !w.Quarantined {
		return fault.None
	}
	w.Quarantined = false
	w.QuarantineReason = ""
	w.QuarantinedAt = 0
	w.Changed = f.off
	return fault.None
}

func (f *fold) instanceSeen(r *InstanceSeen) fault.Kind {
	next := r.Instance
	if next.ID == "" || !sane(next.Need) || next.Slots < 0 || next.Connections < 0 {
		return fault.Invalid
	}
	w := f.t.Workers[next.Worker]
	if w == nil {
		return fault.NotFound
	}
	old := f.t.Instances[next.ID]
	if !instanceFits(w, old, next.Need) {
		return fault.Capacity
	}
	if old != nil {
		next.Changed = old.Changed
		if next == *old {
			return fault.None
		}
	}
	f.take(w, next.Need)
	if old != nil {
		f.give(old.Worker, old.Need)
	}
	next.Changed = f.off
	f.t.Instances[next.ID] = &next
	return fault.None
}

// instanceFits says whether w can hold need in place of old. An instance that does not grow on its worker always
// fits, also when the capacity of the worker went down meanwhile.
func instanceFits(w *table.Worker, old *table.Instance, need table.Resources) bool {
	if old == nil || old.Worker != w.ID {
		return need.Fits(w.Free())
	}
	if need.Fits(old.Need) {
		return true
	}
	return need.Fits(w.Free().Plus(old.Need))
}

func (f *fold) instanceGone(r *InstanceGone) fault.Kind {
	in := f.t.Instances[r.ID]
	if in == nil {
		return fault.NotFound
	}
	delete(f.t.Instances, r.ID)
	f.give(in.Worker, in.Need)
	return fault.None
}
