package dispatch

import (
	"context"

	"persimmonpick/fault"
	"persimmonpick/ledger"
	"persimmonpick/maintenance"
	"persimmonpick/table"
)

// Evacuate keeps new work from the given workers, and from no others, has what lasts or keeps its progress move, and returns what is left on them.
func (b *Scheduler) Evacuate(ids []table.WorkerID) map[table.WorkerID]maintenance.Remaining {
	wanted := make(map[table.WorkerID]bool, len(ids))
	for _, id := range ids {
		wanted[id] = true
	}
	left := make(map[table.WorkerID]maintenance.Remaining, len(ids))
	for id, w := range b.workers {
		if w.empties != wanted[id] {
			b.cfg.Log.Info("worker emptied for maintenance", "Worker", id, "Begins", wanted[id], "Tasks", len(w.tasks))
		}
		w.empties = wanted[id]
		if !w.empties {
			continue
		}
		l := maintenance.Remaining{Tasks: len(w.tasks)}
		for _, t := range w.tasks {
			l.Held = l.Held || t.group.step.MaxUnavailable > 0 && t.percent == fullPace
		}
		left[id] = l
	}
	for _, id := range ids {
		if _, known := left[id]; !known {
			left[id] = maintenance.Remaining{} // nothing of ours runs on a worker that the board does not know
		}
	}
	return left
}

// handedOn is something that is handed on to the next leader, and what follows once it is in the log.
type handedOn struct {
	record ledger.Record
	done   func()
}

// HandOver has data handed on to the next leader, and done called once it is in the log.
func (b *Scheduler) HandOver(name string, data []byte, done func()) {
	b.handOn = append(b.handOn, handedOn{ledger.HandoverRecord(name, data), done})
}

// Evacuate empties workers for maintenance; see Board.Evacuate.
func (d *Dispatcher) Evacuate(ctx context.Context, ids []table.WorkerID) (map[table.WorkerID]maintenance.Remaining, error) {
	left := make(chan map[table.WorkerID]maintenance.Remaining, 1)
	d.do(ctx, func() { left <- d.board.Evacuate(ids) })
	select {
	case l := <-left:
		return l, nil
	case <-ctx.Done():
		return nil, fault.Wrap(ctx.Err(), fault.NotReady, "the board did not answer")
	}
}

// HandOver hands data on to the next leader; it returns once that is in the log.
func (d *Dispatcher) HandOver(ctx context.Context, name string, data []byte) error {
	written := make(chan struct{})
	d.do(ctx, func() { d.board.HandOver(name, data, func() { close(written) }) })
	select {
	case <-written:
		return nil
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), fault.OutcomeUnknown, "the note may not be in the log")
	}
}
