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
	minDrainTime = 300 * time.Millisecond // for the tasks of a machine to end or move, however late the wave is
	maxDrainTime = 8 * time.Second        // longer than nearly all tasks take
	returnMargin = 4 * time.Second        // beyond the usual time of maintenance, after which a machine that is up again counts as done though its worker has the same id
)

// phase says where the maintenance of a machine stands.
type phase uint8

const (
	pending  phase = iota
	draining       // nothing new is placed there
	ordered        // the order was written to the log, and may have been carried out
	down           // the platform has confirmed the order
	finished
)

// machineState is the maintenance of one machine.
type machineState struct {
	phase       phase
	since       time.Time
	worker      table.WorkerID // before the maintenance
	unconfirmed bool           // an order has no answer, and may be carried out at any time
}

// waveState is a waveState in progress.
type waveState struct {
	Wave
	deadline      time.Time // when it should be over
	usualDuration time.Duration
	machineStates map[MachineID]*machineState
	startReported bool // the operator was told that it runs
	endReported   bool // the operator was told that it is over
}

func newWaveState(w Wave, usualDuration time.Duration, now time.Time) *waveState {
	v := &waveState{Wave: w, deadline: now.Add(w.Period), usualDuration: usualDuration, machineStates: map[MachineID]*machineState{}}
	for _, id := range w.Machines {
		v.machineStates[id] = &machineState{}
	}
	return v
}

// count returns how many machines are in one of the given phases.
func (v *waveState) count(ps ...phase) int {
	n := 0
	for _, s := range v.machineStates {
		if slices.Contains(ps, s.phase) {
			n++
		}
	}
	return n
}

// observe takes in the list of machines: those that came back are done, and those that are gone need no maintenance.
func (v *waveState) observe(machines map[MachineID]Machine, now time.Time) {
	for id, s := range v.machineStates {
		m, listed := machines[id]
		if !listed {
			if s.phase != finished {
				s.phase, s.since = finished, now
			}
			continue
		}
		if s.phase == down && m.Up && (m.Worker != s.worker || now.Sub(s.since) > v.usualDuration+returnMargin) {
			s.phase, s.since = finished, now
		}
	}
}

// drainTimeout returns how long a machine may take to become empty, so that the wave is over in time.
func (v *waveState) drainTimeout(now time.Time) time.Duration {
	left := v.count(pending, draining)
	if left == 0 {
		return maxDrainTime
	}
	rounds := (left + v.Most - 1) / max(1, v.Most)
	each := v.deadline.Sub(now)/time.Duration(rounds) - v.usualDuration
	return min(maxDrainTime, max(minDrainTime, each))
}

// startDraining starts to empty the next machines and returns all that are being emptied; as many as may be down at once are, so that some are ready when others are back.
func (v *waveState) startDraining(machines map[MachineID]Machine, now time.Time) []table.WorkerID {
	room := v.Most - v.count(draining)
	for _, id := range v.drainOrder() {
		s, m := v.machineStates[id], machines[id]
		if room > 0 && s.phase == pending && m.Up && m.Worker != "" {
			s.phase, s.since, s.worker = draining, now, m.Worker
			room--
		}
	}
	var ws []table.WorkerID
	for _, s := range v.machineStates {
		if s.phase == draining || s.phase == ordered {
			ws = append(ws, s.worker)
		}
	}
	return ws
}

// drainOrder returns the machines, those behind that were put off.
func (v *waveState) drainOrder() []MachineID {
	ids := slices.Clone(v.Machines)
	slices.SortStableFunc(ids, func(a, b MachineID) int { return v.machineStates[a].since.Compare(v.machineStates[b].since) })
	return ids
}

// due returns the machines whose maintenance is ordered next: those of an earlier leader whose orders may not have arrived, and empty ones while few enough are down. A machine that does not become empty is taken down all the same once the wave would be late, but never while a task runs there that its step cannot spare; then it is put off, so that others have their turn.
func (v *waveState) due(left map[table.WorkerID]Remaining, now time.Time) []MachineID {
	var ids []MachineID
	room := v.Most - v.count(ordered, down)
	patience := v.drainTimeout(now)
	for _, id := range v.Machines {
		s := v.machineStates[id]
		switch s.phase {
		case ordered:
			ids = append(ids, id)
		case draining:
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

// complete says whether every machine that stays has had its maintenance.
func (v *waveState) complete() bool { return v.count(finished) == len(v.machineStates) }

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

func (v *waveState) progress() progress {
	k := progress{Until: table.UnixMillis(v.deadline.UnixMilli()), Ended: v.endReported}
	for _, id := range v.Machines {
		switch s := v.machineStates[id]; s.phase {
		case ordered, down:
			k.Ordered = append(k.Ordered, orderedMachine{id, s.worker})
		case finished:
			k.Done = append(k.Done, id)
		}
	}
	return k
}

// restore takes what the last leader has handed on; its orders are given again, since they have an effect only once.
func (v *waveState) restore(k progress, now time.Time) {
	v.deadline, v.endReported, v.startReported = time.UnixMilli(int64(k.Until)), k.Ended, true
	for _, o := range k.Ordered {
		if s := v.machineStates[o.Machine]; s != nil {
			s.phase, s.worker, s.since, s.unconfirmed = ordered, o.Worker, now, true
		}
	}
	for _, id := range k.Done {
		if s := v.machineStates[id]; s != nil {
			s.phase = finished
		}
	}
}
