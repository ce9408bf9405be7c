package maintenance

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"persimmonpick/fault"
	"persimmonpick/table"
)

const usual = 2 * time.Second

// yard is machines, their platform and what runs on them.
type yard struct {
	mu       sync.Mutex
	machines map[MachineID]*fakeMachine
	tasks    map[table.WorkerID]Remaining
	emptying map[table.WorkerID]bool
	most     int
	down     int
	tooMany  int // times that more were down than the wave allows
	ended    int // tasks that the platform ended
	held     int // of these, tasks that their step could not spare
	told     []bool
	notes    map[string][]byte
	token    Token
	lose     int           // orders whose answers are lost
	late     time.Duration // after which these are carried out
	calls    int
}

type fakeMachine struct {
	up, done bool
	life     int
}

func newYard(n, most int) *yard {
	y := &yard{machines: map[MachineID]*fakeMachine{}, tasks: map[table.WorkerID]Remaining{}, most: most, notes: map[string][]byte{}}
	for i := range n {
		id := MachineID(fmt.Sprint("m", i))
		y.machines[id] = &fakeMachine{up: true}
		y.tasks[y.worker(id)] = Remaining{Tasks: 3}
	}
	return y
}

func (y *yard) worker(id MachineID) table.WorkerID {
	return table.WorkerID(fmt.Sprint(id, "-", y.machines[id].life))
}

func (y *yard) list(context.Context) ([]Machine, error) {
	y.mu.Lock()
	defer y.mu.Unlock()
	var ms []Machine
	for id, m := range y.machines {
		ms = append(ms, Machine{ID: id, Up: m.up, Worker: y.worker(id)})
	}
	return ms, nil
}

func (y *yard) order(_ context.Context, o Order) error {
	y.mu.Lock()
	defer y.mu.Unlock()
	y.calls++
	if y.lose > 0 {
		y.lose--
		time.AfterFunc(y.late, func() {
			y.mu.Lock()
			defer y.mu.Unlock()
			_ = y.carryOut(o) // nobody hears of it
		})
		return fault.New(fault.OutcomeUnknown, "no answer")
	}
	return y.carryOut(o)
}

func (y *yard) carryOut(o Order) error {
	m := y.machines[o.Machine]
	switch {
	case m == nil:
		return fault.New(fault.NotFound, "gone")
	case o.Token < y.token:
		return fault.New(fault.Stale, "fence")
	case m.done:
		return nil
	case !m.up:
		return fault.New(fault.Conflict, "busy")
	}
	y.token = o.Token
	l := y.tasks[y.worker(o.Machine)]
	y.ended += l.Tasks
	if l.Held {
		y.held++
	}
	m.up, m.done = false, true
	y.down++
	if y.down > y.most {
		y.tooMany++
	}
	time.AfterFunc(usual, func() {
		y.mu.Lock()
		defer y.mu.Unlock()
		m.up = true
		m.life++
		y.down--
	})
	return nil
}

// empty has one task end on each worker that is emptied, with each call.
func (y *yard) empty(_ context.Context, ws []table.WorkerID) (map[table.WorkerID]Remaining, error) {
	y.mu.Lock()
	defer y.mu.Unlock()
	y.emptying = map[table.WorkerID]bool{}
	left := map[table.WorkerID]Remaining{}
	for _, w := range ws {
		y.emptying[w] = true
		l := y.tasks[w]
		if l.Tasks > 0 && !l.Held {
			l.Tasks--
		}
		y.tasks[w], left[w] = l, l
	}
	return left, nil
}

func (y *yard) note(_ context.Context, name string, data []byte) error {
	y.mu.Lock()
	defer y.mu.Unlock()
	y.notes[name] = data
	return nil
}

func (y *yard) tell(_ context.Context, _ WaveID, over bool) error {
	y.mu.Lock()
	defer y.mu.Unlock()
	y.told = append(y.told, over)
	return nil
}

func (y *yard) controller(token Token, period time.Duration) *Controller {
	w := Wave{ID: 7, Period: period, Most: y.most}
	for i := range len(y.machines) {
		w.Machines = append(w.Machines, MachineID(fmt.Sprint("m", i)))
	}
	notes := map[string][]byte{}
	for k, v := range y.notes {
		notes[k] = v
	}
	return New(Config{
		Holder: fmt.Sprint("host", token), Token: token, Usual: usual, Waves: func() []Wave { return []Wave{w} }, Notes: notes,
		Platform: Platform{Machines: y.list, Order: y.order, Tell: y.tell}, Tasks: Scheduler{Empty: y.empty, Note: y.note},
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
}

// done counts the machines that had their maintenance.
func (y *yard) done() int {
	n := 0
	for _, m := range y.machines {
		if m.done && m.up {
			n++
		}
	}
	return n
}

// play runs a controller for a while.
func (y *yard) play(t *testing.T, k *Controller, d time.Duration) {
	ctx, cancel := context.WithTimeout(t.Context(), d)
	defer cancel()
	k.Run(ctx)
	synctest.Wait()
}

func TestWaveIsOverInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		y := newYard(6, 2)
		y.play(t, y.controller(1, 20*time.Second), 20*time.Second)
		is.Equal(y.done(), 6)
		is.Equal(y.tooMany, 0)
		is.Equal(y.ended, 0) // all were empty
		is.Equal(y.told, []bool{false, true})
		is.Equal(len(y.emptying), 0)
		calls := y.calls
		y.play(t, y.controller(2, 20*time.Second), 5*time.Second) // the next leader knows that it is over
		is.Equal(y.calls, calls)
		is.Equal(y.told, []bool{false, true})
	})
}

// TestLeadersTakeTurnsInAWave plays a leader that is lost between its orders, whose last orders arrive after the next leader began.
func TestLeadersTakeTurnsInAWave(t *testing.T) {
	for _, late := range []time.Duration{0, 700 * time.Millisecond, 3 * time.Second} {
		t.Run(late.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				y := newYard(8, 2)
				y.lose, y.late = 2, late
				y.play(t, y.controller(1, 40*time.Second), 2200*time.Millisecond)
				is.True(y.calls > 0)
				y.play(t, y.controller(2, 40*time.Second), 40*time.Second)
				is.Equal(y.done(), 8)
				is.Equal(y.tooMany, 0)
				is.Equal(y.told[len(y.told)-1], true)
			})
		})
	}
}

func TestDisplacedLeaderEndsItsWave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		y := newYard(4, 1)
		y.token = 9 // another leader has given orders
		began := time.Now()
		y.play(t, y.controller(1, 20*time.Second), 20*time.Second)
		is.True(time.Since(began) < 5*time.Second)
		is.Equal(y.done(), 0)
		is.Equal(y.told, []bool{false})
	})
}

// TestTaskThatCannotBeSparedHoldsUpItsMachine plays a machine with a task at work that its step cannot spare, and one that is never empty for another reason.
func TestTaskThatCannotBeSparedHoldsUpItsMachine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		y := newYard(3, 1)
		y.tasks["m0-0"] = Remaining{Tasks: 1, Held: true}
		y.tasks["m1-0"] = Remaining{Tasks: 1000}
		k := y.controller(1, 12*time.Second)
		y.play(t, k, 30*time.Second)
		is.Equal(y.done(), 2) // the wave is late, but takes down what it may
		is.Equal(y.held, 0)
		is.Equal(y.told, []bool{false}) // and is not said to be over
		y.tasks["m0-0"] = Remaining{}
		y.play(t, y.controller(2, 12*time.Second), 10*time.Second)
		is.Equal(y.done(), 3)
		is.Equal(y.told[len(y.told)-1], true)
	})
}

// TestMachinesThatLeaveNeedNoMaintenance plays a machine that is taken away, and one that crashes for a while.
func TestMachinesThatLeaveNeedNoMaintenance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		y := newYard(3, 1)
		k := y.controller(1, 20*time.Second)
		delete(y.machines, "m1")
		y.machines["m2"].up = false
		time.AfterFunc(6*time.Second, func() {
			y.mu.Lock()
			defer y.mu.Unlock()
			y.machines["m2"].up = true
		})
		y.play(t, k, 5*time.Second)
		is.Equal(y.told, []bool{false})
		y.play(t, k, 15*time.Second)
		is.Equal(y.done(), 2)
		is.Equal(y.told, []bool{false, true})
	})
}
