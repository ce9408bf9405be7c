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

const usualDuration = 2 * time.Second

// fakePlatform simulates machines, their platform and the tasks on them.
type fakePlatform struct {
	mu          sync.Mutex
	machines    map[MachineID]*fakeMachine
	tasks       map[table.WorkerID]Remaining
	draining    map[table.WorkerID]bool
	maxDown     int
	down        int
	tooMany     int // times that more machines were down than the wave allows
	endedTasks  int // running tasks that were stopped by taking machines down
	blocked     int // machines taken down although a task there could not be spared
	notified    []bool
	handover    map[string][]byte
	token       Token
	lostAnswers int           // number of orders whose replies are lost
	lostDelay   time.Duration // delay after which these are carried out
	calls       int
}

type fakeMachine struct {
	up, done    bool
	incarnation int
}

func newFakePlatform(n, maxDown int) *fakePlatform {
	y := &fakePlatform{machines: map[MachineID]*fakeMachine{}, tasks: map[table.WorkerID]Remaining{}, maxDown: maxDown, handover: map[string][]byte{}}
	for i := range n {
		id := MachineID(fmt.Sprint("m", i))
		y.machines[id] = &fakeMachine{up: true}
		y.tasks[y.worker(id)] = Remaining{Tasks: 3}
	}
	return y
}

func (y *fakePlatform) worker(id MachineID) table.WorkerID {
	return table.WorkerID(fmt.Sprint(id, "-", y.machines[id].incarnation))
}

func (y *fakePlatform) list(context.Context) ([]Machine, error) {
	y.mu.Lock()
	defer y.mu.Unlock()
	var ms []Machine
	for id, m := range y.machines {
		ms = append(ms, Machine{ID: id, Up: m.up, Worker: y.worker(id)})
	}
	return ms, nil
}

func (y *fakePlatform) order(_ context.Context, o Order) error {
	y.mu.Lock()
	defer y.mu.Unlock()
	y.calls++
	if y.lostAnswers > 0 {
		y.lostAnswers--
		time.AfterFunc(y.lostDelay, func() {
			y.mu.Lock()
			defer y.mu.Unlock()
			_ = y.carryOut(o) // the result reaches no one
		})
		return fault.New(fault.OutcomeUnknown, "no answer")
	}
	return y.carryOut(o)
}

func (y *fakePlatform) carryOut(o Order) error {
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
	y.endedTasks += l.Tasks
	if l.Held {
		y.blocked++
	}
	m.up, m.done = false, true
	y.down++
	if y.down > y.maxDown {
		y.tooMany++
	}
	time.AfterFunc(usualDuration, func() {
		y.mu.Lock()
		defer y.mu.Unlock()
		m.up = true
		m.incarnation++
		y.down--
	})
	return nil
}

// drain ends one task on each drained worker per call.
func (y *fakePlatform) drain(_ context.Context, ws []table.WorkerID) (map[table.WorkerID]Remaining, error) {
	y.mu.Lock()
	defer y.mu.Unlock()
	y.draining = map[table.WorkerID]bool{}
	left := map[table.WorkerID]Remaining{}
	for _, w := range ws {
		y.draining[w] = true
		l := y.tasks[w]
		if l.Tasks > 0 && !l.Held {
			l.Tasks--
		}
		y.tasks[w], left[w] = l, l
	}
	return left, nil
}

func (y *fakePlatform) saveHandover(_ context.Context, name string, data []byte) error {
	y.mu.Lock()
	defer y.mu.Unlock()
	y.handover[name] = data
	return nil
}

func (y *fakePlatform) notifyOperator(_ context.Context, _ WaveID, over bool) error {
	y.mu.Lock()
	defer y.mu.Unlock()
	y.notified = append(y.notified, over)
	return nil
}

func (y *fakePlatform) controller(token Token, period time.Duration) *Controller {
	w := Wave{ID: 7, Period: period, Most: y.maxDown}
	for i := range len(y.machines) {
		w.Machines = append(w.Machines, MachineID(fmt.Sprint("m", i)))
	}
	notes := map[string][]byte{}
	for k, v := range y.handover {
		notes[k] = v
	}
	return New(Config{
		Holder: fmt.Sprint("host", token), Token: token, Usual: usualDuration, Waves: func() []Wave { return []Wave{w} }, Notes: notes,
		Platform: Platform{Machines: y.list, Order: y.order, Tell: y.notifyOperator}, Tasks: Scheduler{Empty: y.drain, Note: y.saveHandover},
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
}

// done returns the number of machines that had their maintenance and are up again.
func (y *fakePlatform) done() int {
	n := 0
	for _, m := range y.machines {
		if m.done && m.up {
			n++
		}
	}
	return n
}

// run runs a controller for d.
func (y *fakePlatform) run(t *testing.T, k *Controller, d time.Duration) {
	ctx, cancel := context.WithTimeout(t.Context(), d)
	defer cancel()
	k.Run(ctx)
	synctest.Wait()
}

func TestWaveIsOverInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		y := newFakePlatform(6, 2)
		y.run(t, y.controller(1, 20*time.Second), 20*time.Second)
		is.Equal(y.done(), 6)
		is.Equal(y.tooMany, 0)
		is.Equal(y.endedTasks, 0) // all machines were drained
		is.Equal(y.notified, []bool{false, true})
		is.Equal(len(y.draining), 0)
		calls := y.calls
		y.run(t, y.controller(2, 20*time.Second), 5*time.Second) // the next leader knows that the wave is over
		is.Equal(y.calls, calls)
		is.Equal(y.notified, []bool{false, true})
	})
}

// A leader is lost after it has sent orders that arrive only after the next leader has started. The new leader
// must count them as machines that are down, or it would exceed the limit of the wave.
func TestWaveContinuesAcrossLeaderChange(t *testing.T) {
	for _, late := range []time.Duration{0, 700 * time.Millisecond, 3 * time.Second} {
		t.Run(late.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				y := newFakePlatform(8, 2)
				y.lostAnswers, y.lostDelay = 2, late
				y.run(t, y.controller(1, 40*time.Second), 2200*time.Millisecond)
				is.True(y.calls > 0)
				y.run(t, y.controller(2, 40*time.Second), 40*time.Second)
				is.Equal(y.done(), 8)
				is.Equal(y.tooMany, 0)
				is.Equal(y.notified[len(y.notified)-1], true)
			})
		})
	}
}

func TestSupersededLeaderStopsWave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		y := newFakePlatform(4, 1)
		y.token = 9 // a newer leader has given orders
		began := time.Now()
		y.run(t, y.controller(1, 20*time.Second), 20*time.Second)
		is.True(time.Since(began) < 5*time.Second)
		is.Equal(y.done(), 0)
		is.Equal(y.notified, []bool{false})
	})
}

// One machine runs a task that its step cannot spare, another never becomes empty for a different reason. The
// first must be deferred without stopping the task, the second must be taken down once the wave is late.
func TestBlockedTaskDefersItsMachine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		y := newFakePlatform(3, 1)
		y.tasks["m0-0"] = Remaining{Tasks: 1, Held: true}
		y.tasks["m1-0"] = Remaining{Tasks: 1000}
		k := y.controller(1, 12*time.Second)
		y.run(t, k, 30*time.Second)
		is.Equal(y.done(), 2) // the wave is late but takes down what it may
		is.Equal(y.blocked, 0)
		is.Equal(y.notified, []bool{false}) // and the wave is not reported as over
		y.tasks["m0-0"] = Remaining{}
		y.run(t, y.controller(2, 12*time.Second), 10*time.Second)
		is.Equal(y.done(), 3)
		is.Equal(y.notified[len(y.notified)-1], true)
	})
}

// One machine is removed during the wave and another one is down for a while. The removed one must not keep
// the wave from completing.
func TestMachinesThatLeaveNeedNoMaintenance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		y := newFakePlatform(3, 1)
		k := y.controller(1, 20*time.Second)
		delete(y.machines, "m1")
		y.machines["m2"].up = false
		time.AfterFunc(6*time.Second, func() {
			y.mu.Lock()
			defer y.mu.Unlock()
			y.machines["m2"].up = true
		})
		y.run(t, k, 5*time.Second)
		is.Equal(y.notified, []bool{false})
		y.run(t, k, 15*time.Second)
		is.Equal(y.done(), 2)
		is.Equal(y.notified, []bool{false, true})
	})
}
