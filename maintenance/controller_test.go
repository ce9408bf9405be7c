package maintenance

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math"
	"slices"
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
	evacuating  map[table.WorkerID]bool
	maxDown     int
	down        int
	tooMany     int // times that more machines were down than the wave allows
	endedTasks  int // running tasks that were stopped by taking machines down
	blocked     int // machines taken down although a task there was blocked
	notified    []bool
	handover    map[string][]byte
	token       Token
	lostReplies int           // number of orders whose replies are lost
	lostDelay   time.Duration // delay after which these are carried out
	calls       int
	unfenced    bool // orders under lower tokens are carried out
	lowered     int  // number of these
}

type fakeMachine struct {
	up, done    bool
	incarnation int
}

func newFakePlatform(n, maxDown int) *fakePlatform {
	p := &fakePlatform{machines: map[MachineID]*fakeMachine{}, tasks: map[table.WorkerID]Remaining{}, maxDown: maxDown, handover: map[string][]byte{}}
	for i := range n {
		id := MachineID(fmt.Sprint("m", i))
		p.machines[id] = &fakeMachine{up: true}
		p.tasks[p.worker(id)] = Remaining{Tasks: 3}
	}
	return p
}

func (p *fakePlatform) worker(id MachineID) table.WorkerID {
	return table.WorkerID(fmt.Sprint(id, "-", p.machines[id].incarnation))
}

func (p *fakePlatform) list(context.Context) ([]Machine, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var ms []Machine
	for id, m := range p.machines {
		ms = append(ms, Machine{ID: id, Up: m.up, Worker: p.worker(id)})
	}
	return ms, nil
}

func (p *fakePlatform) order(_ context.Context, o Order) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	if o.Token < p.token {
		p.lowered++
	}
	if p.lostReplies > 0 {
		p.lostReplies--
		time.AfterFunc(p.lostDelay, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			_ = p.carryOut(o) // the result reaches no one
		})
		return fault.New(fault.OutcomeUnknown, "no answer")
	}
	return p.carryOut(o)
}

func (p *fakePlatform) carryOut(o Order) error {
	m := p.machines[o.Machine]
	switch {
	case m == nil:
		return fault.New(fault.NotFound, "gone")
	case o.Token < p.token && !p.unfenced:
		return fault.New(fault.Stale, "fence")
	case m.done:
		return nil
	case !m.up:
		return fault.New(fault.Conflict, "busy")
	}
	p.token = max(p.token, o.Token)
	l := p.tasks[p.worker(o.Machine)]
	p.endedTasks += l.Tasks
	if l.Blocked {
		p.blocked++
	}
	m.up, m.done = false, true
	p.down++
	if p.down > p.maxDown {
		p.tooMany++
	}
	time.AfterFunc(usualDuration, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		m.up = true
		m.incarnation++
		p.down--
	})
	return nil
}

// evacuate ends one task on each evacuated worker per call.
func (p *fakePlatform) evacuate(_ context.Context, ws []table.WorkerID) (map[table.WorkerID]Remaining, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.evacuating = map[table.WorkerID]bool{}
	left := map[table.WorkerID]Remaining{}
	for _, w := range ws {
		p.evacuating[w] = true
		l := p.tasks[w]
		if l.Tasks > 0 && !l.Blocked {
			l.Tasks--
		}
		p.tasks[w], left[w] = l, l
	}
	return left, nil
}

func (p *fakePlatform) saveHandover(_ context.Context, name string, data []byte) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.handover[name] = data
	return nil
}

func (p *fakePlatform) notifyOperator(_ context.Context, n Notice) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.notified = append(p.notified, n.Over)
	return nil
}

func (p *fakePlatform) controller(token Token, period time.Duration) *Controller {
	w := Wave{ID: 7, Period: period, MaxDown: p.maxDown}
	for i := range len(p.machines) {
		w.Machines = append(w.Machines, MachineID(fmt.Sprint("m", i)))
	}
	records := map[string][]byte{}
	for k, v := range p.handover {
		records[k] = v
	}
	return New(Config{
		Holder: fmt.Sprint("host", token), Token: token, UsualDuration: usualDuration, Waves: func() []Wave { return []Wave{w} }, HandoverRecords: records,
		Platform: Platform{Machines: p.list, Order: p.order, NotifyOperator: p.notifyOperator}, Scheduler: Scheduler{Evacuate: p.evacuate, SaveHandover: p.saveHandover},
		Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
}

// done returns the number of machines that had their maintenance and are up again.
func (p *fakePlatform) done() int {
	n := 0
	for _, m := range p.machines {
		if m.done && m.up {
			n++
		}
	}
	return n
}

// run runs a controller for d.
func (p *fakePlatform) run(t *testing.T, c *Controller, d time.Duration) {
	ctx, cancel := context.WithTimeout(t.Context(), d)
	defer cancel()
	c.Run(ctx)
	synctest.Wait()
}

func TestWaveIsOverInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newFakePlatform(6, 2)
		p.run(t, p.controller(1, 20*time.Second), 20*time.Second)
		is.Equal(p.done(), 6)
		is.Equal(p.tooMany, 0)
		is.Equal(p.endedTasks, 0) // all machines were empty
		is.Equal(p.notified, []bool{false, true})
		is.Equal(len(p.evacuating), 0)
		calls := p.calls
		p.run(t, p.controller(2, 20*time.Second), 5*time.Second) // the next leader knows that the wave is over
		is.Equal(p.calls, calls)
		is.Equal(p.notified, []bool{false, true})
	})
}

// A leader is lost after it has sent orders that arrive only after the next leader has started. The new leader
// must count them as machines that are down, or it would exceed the limit of the wave.
func TestWaveContinuesAcrossLeaderChange(t *testing.T) {
	for _, late := range []time.Duration{0, 700 * time.Millisecond, 3 * time.Second} {
		t.Run(late.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p := newFakePlatform(8, 2)
				p.lostReplies, p.lostDelay = 2, late
				p.run(t, p.controller(1, 40*time.Second), 2200*time.Millisecond)
				is.True(p.calls > 0)
				p.run(t, p.controller(2, 40*time.Second), 40*time.Second)
				is.Equal(p.done(), 8)
				is.Equal(p.tooMany, 0)
				is.Equal(p.notified[len(p.notified)-1], true)
			})
		})
	}
}

func TestSupersededLeaderStopsWave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newFakePlatform(4, 1)
		p.token = 9 // a newer leader has given orders
		began := time.Now()
		p.run(t, p.controller(1, 20*time.Second), 20*time.Second)
		is.True(time.Since(began) < 5*time.Second)
		is.Equal(p.done(), 0)
		is.Equal(p.notified, []bool{false})
	})
}

// One machine runs a task that must not be stopped, another never becomes empty for a different reason. The
// first must be deferred without stopping the task, the second must be taken down once the wave is late.
func TestBlockedTaskDefersItsMachine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newFakePlatform(3, 1)
		p.tasks["m0-0"] = Remaining{Tasks: 1, Blocked: true}
		p.tasks["m1-0"] = Remaining{Tasks: 1000}
		c := p.controller(1, 12*time.Second)
		p.run(t, c, 30*time.Second)
		is.Equal(p.done(), 2) // the wave is late but takes down what it may
		is.Equal(p.blocked, 0)
		is.Equal(p.notified, []bool{false}) // and the wave is not reported as over
		p.tasks["m0-0"] = Remaining{}
		p.run(t, p.controller(2, 12*time.Second), 10*time.Second)
		is.Equal(p.done(), 3)
		is.Equal(p.notified[len(p.notified)-1], true)
	})
}

// One machine is removed during the wave and another one is down for a while. The removed one must not keep
// the wave from completing.
func TestMachinesThatLeaveNeedNoMaintenance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newFakePlatform(3, 1)
		c := p.controller(1, 20*time.Second)
		delete(p.machines, "m1")
		p.machines["m2"].up = false
		time.AfterFunc(6*time.Second, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.machines["m2"].up = true
		})
		p.run(t, c, 5*time.Second)
		is.Equal(p.notified, []bool{false})
		p.run(t, c, 15*time.Second)
		is.Equal(p.done(), 2)
		is.Equal(p.notified, []bool{false, true})
	})
}

// Guards against a division by zero on each leader in turn, where the maximum of a wave is the largest integer.
func TestWaveWithTheLargestMaximum(t *testing.T) {
	for n := range 8 {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			w := Wave{ID: 1, MaxDown: math.MaxInt, Period: time.Minute}
			for i := range n {
				w.Machines = append(w.Machines, MachineID(fmt.Sprint("m", i)))
			}
			now := time.Now()
			is.Equal(newWaveState(w, usualDuration, now).evacuationTimeout(now), maxEvacuationTime)
		})
	}
}

// Guards against a wave that is told to be over since one reading of the list lacked a machine.
func TestMachineMissingFromOneListHasItsMaintenance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newFakePlatform(4, 1)
		c := p.controller(1, 20*time.Second)
		list := c.cfg.Platform.Machines
		calls := 0
		c.cfg.Platform.Machines = func(ctx context.Context) ([]Machine, error) {
			ms, err := list(ctx)
			if calls++; calls == 2 {
				ms = slices.DeleteFunc(ms, func(m Machine) bool { return m.ID == "m3" })
			}
			return ms, err
		}
		p.run(t, c, 40*time.Second)
		is.Equal(p.done(), 4)
		is.Equal(p.tooMany, 0)
		is.Equal(p.notified, []bool{false, true})
	})
}

// Guards against a machine that is left out for good since the list lacked it for too long.
func TestMachineThatIsListedAgainHasItsMaintenance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newFakePlatform(4, 1)
		c := p.controller(1, 20*time.Second)
		list := c.cfg.Platform.Machines
		missing := true
		c.cfg.Platform.Machines = func(ctx context.Context) ([]Machine, error) {
			ms, err := list(ctx)
			if missing {
				ms = slices.DeleteFunc(ms, func(m Machine) bool { return m.ID == "m3" })
			}
			return ms, err
		}
		p.run(t, c, 2*absenceTime)
		is.True(c.waves[7].machineStates["m3"].gone)
		missing = false
		p.run(t, c, 40*time.Second)
		is.Equal(p.done(), 4)
		is.Equal(p.notified, []bool{false, true})
	})
}

// refuse lets the platform answer orders for a machine, from the given one on, as if it were not part of the wave. The
// result counts the orders for the machine.
func refuse(c *Controller, id MachineID, from, to int) *int {
	order, n := c.cfg.Platform.Order, 0
	c.cfg.Platform.Order = func(ctx context.Context, o Order) error {
		if o.Machine != id {
			return order(ctx, o)
		}
		if n++; n >= from && n <= to {
			return fault.New(fault.NotFound, "the machine is not part of the wave")
		}
		return order(ctx, o)
	}
	return &n
}

// Guards against a wave that is told to be over since one order was refused, or that then takes down too many machines
// while an earlier order without a reply is late.
func TestMachineRefusedOnceHasItsMaintenance(t *testing.T) {
	for refused := 1; refused <= 3; refused++ {
		for lost := range 3 {
			t.Run(fmt.Sprint(refused, " ", lost), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					p := newFakePlatform(4, 1)
					p.lostReplies, p.lostDelay = lost, 3*time.Second
					c := p.controller(1, 20*time.Second)
					refuse(c, "m0", refused, refused)
					p.run(t, c, 60*time.Second)
					is.Equal(p.done(), 4)
					is.Equal(p.tooMany, 0)
					is.Equal(p.notified, []bool{false, true})
				})
			})
		}
	}
}

// Guards against a wave that is told to be over though a listed machine of it is refused, or that never ends once the
// operator has withdrawn that machine.
func TestRefusedMachineIsLeftOutOnceItIsWithdrawn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newFakePlatform(4, 1)
		c := p.controller(1, 20*time.Second)
		n := refuse(c, "m0", 1, math.MaxInt)
		p.run(t, c, 10*time.Minute)
		is.Equal(p.done(), 3)
		is.Equal(p.notified, []bool{false})
		is.True(*n < 20)
		w := c.cfg.Waves()[0]
		w.Machines = []MachineID{"m1", "m2", "m3"}
		c.cfg.Waves = func() []Wave { return []Wave{w} }
		p.run(t, c, time.Minute)
		is.Equal(p.notified, []bool{false, true})
	})
}

// Guards against tasks of a step with a disruption budget that end on a worker that came up during an evacuation.
func TestWorkerThatCameUpDuringTheEvacuationIsEvacuatedToo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newFakePlatform(1, 1)
		time.AfterFunc(700*time.Millisecond, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.tasks[p.worker("m0")] = Remaining{}
			p.machines["m0"].incarnation++
			p.tasks[p.worker("m0")] = Remaining{Tasks: 1, Blocked: true}
		})
		p.run(t, p.controller(1, 20*time.Second), 5*time.Second)
		is.Equal(p.blocked, 0)
		is.True(p.evacuating["m0-1"])
		p.tasks["m0-1"] = Remaining{}
		p.run(t, p.controller(2, 20*time.Second), 10*time.Second)
		is.Equal(p.done(), 1)
	})
}

// Guards against tasks that are ended by an order of an earlier leader that is repeated once they are at work.
func TestOrderOfAnEarlierLeaderWaitsForBlockedTasks(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		t.Run(fmt.Sprint(restarted), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p := newFakePlatform(1, 1)
				p.tasks["m0-0"] = Remaining{}
				p.lostReplies, p.lostDelay = math.MaxInt, time.Hour
				p.run(t, p.controller(1, 20*time.Second), 400*time.Millisecond)
				is.True(p.calls > 0)
				p.lostReplies = 0
				if restarted {
					p.machines["m0"].incarnation++
				}
				at := p.worker("m0")
				p.tasks[at] = Remaining{Tasks: 1, Blocked: true}
				next := p.controller(2, 20*time.Second)
				p.run(t, next, 5*time.Second)
				is.Equal(p.blocked, 0)
				is.True(p.evacuating[at])
				p.tasks[at] = Remaining{}
				p.run(t, next, 10*time.Second)
				is.Equal(p.done(), 1)
				is.Equal(p.notified[len(p.notified)-1], true)
			})
		})
	}
}

// Guards against orders of a leader that the log does not confirm any more, where the platform checks no tokens.
func TestLeaderThatIsNotConfirmedOrdersNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newFakePlatform(2, 1)
		p.unfenced = true
		p.tasks["m0-0"], p.tasks["m1-0"] = Remaining{}, Remaining{}
		p.lostReplies, p.lostDelay = math.MaxInt, time.Hour
		first, cutOff := p.controller(1, 20*time.Second), time.Now().Add(time.Second)
		first.cfg.Confirmed = func() time.Time {
			if now := time.Now(); now.Before(cutOff) {
				return now
			}
			return cutOff
		}
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		go first.Run(ctx) // its order of m0 is never answered
		time.Sleep(3 * time.Second)
		p.mu.Lock()
		is.True(p.calls > 0)
		p.lostReplies = 0
		p.mu.Unlock()
		next := p.controller(2, 20*time.Second)
		next.cfg.Confirmed = time.Now
		p.run(t, next, 10*time.Second)
		is.Equal(p.lowered, 0)
		is.Equal(p.done(), 2)
		cancel()
		synctest.Wait()
	})
}
