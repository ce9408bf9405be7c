package maintenance

import (
	"slices"
	"time"

	"persimmonpick/table"
)

// WaveID is the number of a wave, assigned by the operator.
type WaveID int64

// MachineID identifies a machine, independently of the worker that runs on it.
type MachineID string

// Wave is an operator's request for maintenance of a set of machines.
type Wave struct {
	ID       WaveID
	Machines []MachineID
	Period   time.Duration // for all machines of the wave
	MaxDown  int           // machines that may be down at once
}

// Machine is the state of a machine as reported by the platform.
type Machine struct {
	ID     MachineID
	Up     bool           // neither moving, in maintenance nor down
	Worker table.WorkerID // running on the machine; empty if there is none
}

// Remaining is what still runs on a worker that is being evacuated.
type Remaining struct {
	Tasks   int
	Blocked bool // a running task must not be stopped, to keep the disruption budget of its step
}

// Timing of the maintenance of one machine.
const (
	minEvacuationTime = 300 * time.Millisecond // for the tasks of a machine to end or move, even if the wave is late
	maxEvacuationTime = 8 * time.Second        // longer than nearly all tasks run
	// Beyond the usual duration of maintenance. After that a machine that is up again counts as done even if
	// its worker has the same ID.
	returnMargin = 4 * time.Second
	// After this time a machine that is still missing from the list needs no maintenance.
	absenceTime = 3 * time.Second
	// Before a machine that the platform does not know, or not as part of the wave, is ordered down again; doubled with
	// each refusal.
	refusalPause    = 2 * time.Second
	maxRefusalPause = time.Minute
)

// phase is the progress of the maintenance of one machine.
type phase uint8

const (
	pending    phase = iota
	evacuating       // no new tasks are placed on its worker
	ordered          // the order is in the log and may have been carried out
	down             // the platform has confirmed the order
	finished
)

// machineState is the state of the maintenance of one machine.
type machineState struct {
	phase       phase
	since       time.Time
	worker      table.WorkerID // running on the machine before the maintenance
	present     table.WorkerID // last listed on the machine while that was up
	unconfirmed bool           // an order got no reply and may be carried out at any time
	absentSince time.Time      // when the list was first read without the machine; zero if the last one had it
	gone        bool           // missing from the list for absenceTime, and longer if it may be down
	refusals    int            // orders refused in a row since the machine was unknown or not part of the wave
	notBefore   time.Time      // end of the pause after them
}

// waveState is a wave in progress.
type waveState struct {
	Wave
	deadline      time.Time // time by which the wave should be over
	usualDuration time.Duration
	machineStates map[MachineID]*machineState
	startReported bool // the start was reported to the operator
	endReported   bool // the end was reported to the operator
}

func newWaveState(w Wave, usualDuration time.Duration, now time.Time) *waveState {
	v := &waveState{Wave: w, deadline: now.Add(w.Period), usualDuration: usualDuration, machineStates: map[MachineID]*machineState{}}
	for _, id := range w.Machines {
		v.machineStates[id] = &machineState{}
	}
	return v
}

// count returns the number of machines in any of the given phases, without those that are gone.
func (v *waveState) count(ps ...phase) int {
	n := 0
	for _, s := range v.machineStates {
		if !s.gone && slices.Contains(ps, s.phase) {
			n++
		}
	}
	return n
}

// observe updates the states from the list of machines, which is complete: machines that came back are finished, and
// machines that stay missing need no maintenance unless they are listed again.
func (v *waveState) observe(machines map[MachineID]Machine, now time.Time) {
	for id, s := range v.machineStates {
		m, listed := machines[id]
		if !listed {
			v.observeAbsence(s, now)
			continue
		}
		s.absentSince, s.gone = time.Time{}, false
		if m.Up && m.Worker != "" {
			s.present = m.Worker
			if s.phase == evacuating {
				s.worker = m.Worker // another one if the former has ended in the meantime
			}
		}
		if s.phase == down && m.Up && (m.Worker != s.worker || now.Sub(s.since) > v.usualDuration+returnMargin) {
			s.phase, s.since = finished, now
		}
	}
}

// observeAbsence updates the state of a machine that is missing from the list.
func (v *waveState) observeAbsence(s *machineState, now time.Time) {
	if s.absentSince.IsZero() {
		s.absentSince = now
		return
	}
	wait := absenceTime
	if s.phase == ordered || s.phase == down {
		wait = max(wait, v.usualDuration+returnMargin)
	}
	s.gone = s.gone || now.Sub(s.absentSince) >= wait
	if s.gone && s.phase == evacuating {
		s.phase, s.since = pending, now
	}
}

// orderRefused takes note of an answer that the machine is unknown or not part of the wave. It may be wrong, so the
// machine has its turn again.
func (v *waveState) orderRefused(s *machineState, now time.Time) {
	s.notBefore = now.Add(min(maxRefusalPause, refusalPause<<min(s.refusals, 10)))
	s.refusals++
	if !s.unconfirmed || now.Sub(s.since) > v.usualDuration+returnMargin {
		s.phase, s.since, s.unconfirmed = pending, now, false
	}
}

// withdraw finishes the machines that the platform has refused as not part of the wave and that are not among those of
// the operator's newest request either.
func (v *waveState) withdraw(newest []MachineID) {
	for id, s := range v.machineStates {
		if s.phase == pending && s.refusals > 0 && !slices.Contains(newest, id) {
			s.phase = finished
		}
	}
}

// evacuationTimeout returns how long the evacuation of a machine may take if the wave is to be over in time.
func (v *waveState) evacuationTimeout(now time.Time) time.Duration {
	remaining := v.count(pending, evacuating)
	if remaining == 0 {
		return maxEvacuationTime
	}
	atOnce := max(1, min(v.MaxDown, remaining)) // the operator may write any maximum
	rounds := (remaining + atOnce - 1) / atOnce
	each := v.deadline.Sub(now)/time.Duration(rounds) - v.usualDuration
	return min(maxEvacuationTime, max(minEvacuationTime, each))
}

// startEvacuations starts to evacuate the next machines and returns the workers of all machines being evacuated
// or already ordered down. As many machines as may be down at once are evacuated ahead, so that some are ready
// when others come back.
func (v *waveState) startEvacuations(machines map[MachineID]Machine, now time.Time) []table.WorkerID {
	room := v.MaxDown - v.count(evacuating)
	for _, id := range v.evacuationOrder() {
		s, m := v.machineStates[id], machines[id]
		if room > 0 && s.phase == pending && m.Up && m.Worker != "" && !now.Before(s.notBefore) {
			s.phase, s.since, s.worker = evacuating, now, m.Worker
			room--
		}
	}
	var ws []table.WorkerID
	for _, s := range v.machineStates {
		if !s.gone && (s.phase == evacuating || s.phase == ordered) {
			ws = append(ws, s.present)
		}
	}
	return ws
}

// evacuationOrder returns the machines in the order in which to evacuate them, deferred ones last.
func (v *waveState) evacuationOrder() []MachineID {
	ids := slices.Clone(v.Machines)
	slices.SortStableFunc(ids, func(a, b MachineID) int { return v.machineStates[a].since.Compare(v.machineStates[b].since) })
	return ids
}

// due returns the machines to order down next: those whose order is not confirmed, since an order of an earlier
// leader may not have arrived, and empty ones while fewer than MaxDown machines are ordered down or down. A
// machine that is not empty after evacuationTimeout is ordered down anyway, unless it runs a task that must not
// be stopped; it is then deferred, so that others get their turn. An order is not repeated while such a task runs
// there, since starts may have preceded this leader's evacuation.
func (v *waveState) due(remaining map[table.WorkerID]Remaining, now time.Time) []MachineID {
	var ids []MachineID
	room := v.MaxDown - v.count(ordered, down)
	timeout := v.evacuationTimeout(now)
	for _, id := range v.Machines {
		s := v.machineStates[id]
		switch {
		case s.gone, now.Before(s.notBefore):
		case s.phase == ordered:
			if !remaining[s.present].Blocked {
				ids = append(ids, id)
			}
		case s.phase == evacuating:
			l, known := remaining[s.worker]
			late := now.Sub(s.since) >= timeout
			switch {
			case !known:
			case l.Blocked && late:
				s.phase, s.since = pending, now
			case room > 0 && (l.Tasks == 0 || late && !l.Blocked):
				room--
				ids = append(ids, id)
			}
		}
	}
	return ids
}

// complete reports whether every machine that is not gone has had its maintenance.
func (v *waveState) complete() bool { return v.count(pending, evacuating, ordered, down) == 0 }

// progress is the handover record of a wave.
type progress struct {
	Until   table.UnixMillis `cbor:"1,keyasint"`
	Ordered []orderedMachine `cbor:"2,keyasint,omitempty"`
	Done    []MachineID      `cbor:"3,keyasint,omitempty"`
	Ended   bool             `cbor:"4,keyasint,omitempty"`
}

// orderedMachine is a machine that was ordered down, and the worker that ran on it.
type orderedMachine struct {
	Machine MachineID      `cbor:"1,keyasint"`
	Worker  table.WorkerID `cbor:"2,keyasint,omitempty"`
}

func (v *waveState) progress() progress {
	p := progress{Until: table.UnixMillis(v.deadline.UnixMilli()), Ended: v.endReported}
	for _, id := range v.Machines {
		switch s := v.machineStates[id]; s.phase {
		case ordered, down:
			p.Ordered = append(p.Ordered, orderedMachine{id, s.worker})
		case finished:
			p.Done = append(p.Done, id)
		}
	}
	return p
}

// restore applies the handover record of the last leader. Its orders are repeated, which is safe because an
// order has an effect only once.
func (v *waveState) restore(p progress, now time.Time) {
	v.deadline, v.endReported, v.startReported = time.UnixMilli(int64(p.Until)), p.Ended, true
	for _, o := range p.Ordered {
		if s := v.machineStates[o.Machine]; s != nil {
			s.phase, s.worker, s.present, s.since, s.unconfirmed = ordered, o.Worker, o.Worker, now, true
		}
	}
	for _, id := range p.Done {
		if s := v.machineStates[id]; s != nil {
			s.phase = finished
		}
	}
}
