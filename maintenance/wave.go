package maintenance

import (
	"slices"
	"time"

	"persimmonpick/table"
)

// WaveID numbers the waves of an operator.
type WaveID int64

// MachineID names a machine, whatever worker runs on it.
type MachineID string

// Wave is an operator's wish that machines have their maintenance.
type Wave struct {
	ID       WaveID
	Machines []MachineID
	Period   time.Duration // for all of them
	Most     int           // machines that may be down at once
}

// Machine is what the platform says of a machine.
type Machine struct {
	ID     MachineID
	Up     bool           // and not moving, in maintenance or down
	Worker table.WorkerID // that runs on it; empty if none does
}

// Remaining is what still runs on a worker that is being emptied.
type Remaining struct {
	Tasks int
	Held  bool // a task at work that its step cannot spare
}

// The timing of the maintenance of one machine.
const (
	emptyLeast = 300 * time.Millisecond // for the tasks of a machine to end or move, however late the wave is
	emptyMost  = 8 * time.Second        // longer than nearly all tasks take
	backMargin = 4 * time.Second        // beyond the usual time of maintenance, after which a machine that is up again counts as done though its worker has the same id
)

// phase says where the maintenance of a machine stands.
type phase uint8

const (
	pending  phase = iota
	emptying       // nothing new is placed there
	ordered        // the order was written to the log, and may have been carried out
	down           // the platform has confirmed the order
	finished
)

// step is the maintenance of one machine.
type step struct {
	phase  phase
	since  time.Time
	worker table.WorkerID // before the maintenance
	unsure bool           // an order has no answer, and may be carried out at any time
}

// wave is a wave in progress.
type wave struct {
	Wave
	until   time.Time // when it should be over
	usual   time.Duration
	steps   map[MachineID]*step
	running bool // the operator was told that it runs
	ended   bool // the operator was told that it is over
}

func newWave(w Wave, usual time.Duration, now time.Time) *wave {
	v := &wave{Wave: w, until: now.Add(w.Period), usual: usual, steps: map[MachineID]*step{}}
	for _, id := range w.Machines {
		v.steps[id] = &step{}
	}
	return v
}

// count returns how many machines are in one of the given phases.
func (v *wave) count(ps ...phase) int {
	n := 0
	for _, s := range v.steps {
		if slices.Contains(ps, s.phase) {
			n++
		}
	}
	return n
}

// observe takes in the list of machines: those that came back are done, and those that are gone need no maintenance.
func (v *wave) observe(machines map[MachineID]Machine, now time.Time) {
	for id, s := range v.steps {
		m, listed := machines[id]
		if !listed {
			if s.phase != finished {
				s.phase, s.since = finished, now
			}
			continue
		}
		if s.phase == down && m.Up && (m.Worker != s.worker || now.Sub(s.since) > v.usual+backMargin) {
			s.phase, s.since = finished, now
		}
	}
}

// patience returns how long a machine may take to become empty, so that the wave is over in time.
func (v *wave) patience(now time.Time) time.Duration {
	left := v.count(pending, emptying)
	if left == 0 {
		return emptyMost
	}
	rounds := (left + v.Most - 1) / max(1, v.Most)
	each := v.until.Sub(now)/time.Duration(rounds) - v.usual
	return min(emptyMost, max(emptyLeast, each))
}

// begin starts to empty the next machines and returns all that are being emptied; as many as may be down at once are, so that some are ready when others are back.
func (v *wave) begin(machines map[MachineID]Machine, now time.Time) []table.WorkerID {
	room := v.Most - v.count(emptying)
	for _, id := range v.inTurn() {
		s, m := v.steps[id], machines[id]
		if room > 0 && s.phase == pending && m.Up && m.Worker != "" {
			s.phase, s.since, s.worker = emptying, now, m.Worker
			room--
		}
	}
	var ws []table.WorkerID
	for _, s := range v.steps {
		if s.phase == emptying || s.phase == ordered {
			ws = append(ws, s.worker)
		}
	}
	return ws
}

// inTurn returns the machines, those behind that were put off.
func (v *wave) inTurn() []MachineID {
	ids := slices.Clone(v.Machines)
	slices.SortStableFunc(ids, func(a, b MachineID) int { return v.steps[a].since.Compare(v.steps[b].since) })
	return ids
}

// due returns the machines whose maintenance is ordered next: those of an earlier leader whose orders may not have arrived, and empty ones while few enough are down. A machine that does not become empty is taken down all the same once the wave would be late, but never while a task runs there that its step cannot spare; then it is put off, so that others have their turn.
func (v *wave) due(left map[table.WorkerID]Remaining, now time.Time) []MachineID {
	var ids []MachineID
	room := v.Most - v.count(ordered, down)
	patience := v.patience(now)
	for _, id := range v.Machines {
		s := v.steps[id]
		switch s.phase {
		case ordered:
			ids = append(ids, id)
		case emptying:
			l, known := left[s.worker]
			late := now.Sub(s.since) >= patience
			switch {
			case !known:
			case l.Held && late:
				s.phase, s.since = pending, now
			case room > 0 && (l.Tasks == 0 || late && !l.Held):
				room--
				ids = append(ids, id)
			}
		}
	}
	return ids
}

// over says whether every machine that stays has had its maintenance.
func (v *wave) over() bool { return v.count(finished) == len(v.steps) }

// progress is what the next leader needs to know of a wave.
type progress struct {
	Until   table.UnixMillis `cbor:"1,keyasint"`
	Ordered []orderedMachine `cbor:"2,keyasint,omitempty"`
	Done    []MachineID      `cbor:"3,keyasint,omitempty"`
	Ended   bool             `cbor:"4,keyasint,omitempty"`
}

// orderedMachine is a machine that was ordered down, and the worker that ran there.
type orderedMachine struct {
	Machine MachineID      `cbor:"1,keyasint"`
	Worker  table.WorkerID `cbor:"2,keyasint,omitempty"`
}

func (v *wave) progress() progress {
	k := progress{Until: table.UnixMillis(v.until.UnixMilli()), Ended: v.ended}
	for _, id := range v.Machines {
		switch s := v.steps[id]; s.phase {
		case ordered, down:
			k.Ordered = append(k.Ordered, orderedMachine{id, s.worker})
		case finished:
			k.Done = append(k.Done, id)
		}
	}
	return k
}

// restore takes what the last leader has handed on; its orders are given again, since they have an effect only once.
func (v *wave) restore(k progress, now time.Time) {
	v.until, v.ended, v.running = time.UnixMilli(int64(k.Until)), k.Ended, true
	for _, o := range k.Ordered {
		if s := v.steps[o.Machine]; s != nil {
			s.phase, s.worker, s.since, s.unsure = ordered, o.Worker, now, true
		}
	}
	for _, id := range k.Done {
		if s := v.steps[id]; s != nil {
			s.phase = finished
		}
	}
}
