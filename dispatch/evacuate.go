package dispatch

import (
	"context"
	"time"

	"persimmonpick/fault"
	"persimmonpick/ledger"
	"persimmonpick/maintenance"
	"persimmonpick/table"
)

// Evacuate puts the given workers under evacuation and ends the evacuation of all others. Workers under evacuation get
// no new tasks, and their long-running and checkpointing tasks are moved. It returns what is left on them.
func (sched *Scheduler) Evacuate(ids []table.WorkerID, now time.Time) map[table.WorkerID]maintenance.Remaining {
	wanted := make(map[table.WorkerID]bool, len(ids))
	for _, id := range ids {
		wanted[id] = true
	}
	left := make(map[table.WorkerID]maintenance.Remaining, len(ids))
	for id, w := range sched.workers {
		if w.evacuating != wanted[id] {
			sched.cfg.Log.Info("worker evacuation began or ended", "Worker", id, "Begins", wanted[id], "Tasks", len(w.tasks))
		}
		if w.evacuating && !wanted[id] {
			w.evacuated, w.evacuatedAt = w.info.Incarnation, now
		}
		w.evacuating = wanted[id]
		if !w.evacuating {
			continue
		}
		l := maintenance.Remaining{Tasks: len(w.tasks)}
		for _, t := range w.tasks {
			l.Blocked = l.Blocked || t.group.step.MaxUnavailable > 0 && t.phase != reserved && t.mayBeReady()
		}
		left[id] = l
	}
	for _, id := range ids {
		if _, known := left[id]; !known {
			left[id] = maintenance.Remaining{} // a worker that is unknown to the scheduler runs none of its tasks
		}
	}
	return left
}

// leavesByPlan reports whether the present incarnation of w leaves by plan. An incarnation whose evacuation has ended
// does unless it answers for longer after that: the wave names a machine no more once the platform takes it down.
func (w *worker) leavesByPlan() bool {
	i := w.info.Incarnation
	evacuated := i != 0 && w.evacuated == i && w.heardAt.Sub(w.evacuatedAt) <= evacuatedGrace
	return w.info.Draining || w.evacuating || evacuated || w.leaseBound.covers(i)
}

// handover is a handover record of another component, and the function to call once it is in the log.
type handover struct {
	record ledger.Record
	done   func()
}

// HandOver writes data for the next leader under the given name, and calls done once it is in the log.
func (sched *Scheduler) HandOver(name string, data []byte, done func()) {
	sched.handovers = append(sched.handovers, handover{ledger.HandoverRecord(name, data), done})
}

// Evacuate evacuates workers for maintenance; see Scheduler.Evacuate.
func (d *Dispatcher) Evacuate(ctx context.Context, ids []table.WorkerID) (map[table.WorkerID]maintenance.Remaining, error) {
	left := make(chan map[table.WorkerID]maintenance.Remaining, 1)
	d.call(ctx, func() { left <- d.scheduler.Evacuate(ids, time.Now()) })
	select {
	case l := <-left:
		return l, nil
	case <-ctx.Done():
		return nil, fault.Wrap(ctx.Err(), fault.NotReady, "the scheduler did not answer")
	}
}

// HandOver writes data for the next leader; it returns once the record is in the log.
func (d *Dispatcher) HandOver(ctx context.Context, name string, data []byte) error {
	written := make(chan struct{})
	d.call(ctx, func() { d.scheduler.HandOver(name, data, func() { close(written) }) })
	select {
	case <-written:
		return nil
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), fault.OutcomeUnknown, "the handover record may not be in the log")
	}
}
