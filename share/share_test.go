package share

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"persimmonpick/table"
)

const (
	testLoanTerm       = 2 * time.Second
	testMaxRequestTime = time.Second
)

var errLost = errors.New("lost")

// cluster is a set of hosts whose calls can be lost, repeated or delayed.
type cluster struct {
	insts  []table.Instance
	seats  []table.SeatID
	fault  func() string // returns the injected fault of one call
	freeze func()        // called where a process may freeze

	mu           sync.Mutex
	managers     map[table.SeatID]*Manager
	replacedSeat table.SeatID // seat whose first process was replaced
}

func newCluster(seats, instances int, fault func() string) *cluster {
	c := &cluster{managers: map[table.SeatID]*Manager{}, fault: fault, freeze: func() {}}
	for i := range seats {
		c.seats = append(c.seats, table.SeatID(fmt.Sprintf("s%d", i)))
	}
	for i := range instances {
		id := table.InstanceID(fmt.Sprintf("i%d", i))
		c.insts = append(c.insts, table.Instance{ID: id, Service: "quote", Slots: 8, Connections: 64})
	}
	for _, seat := range c.seats {
		c.managers[seat] = New(c.config(seat, func() bool { return !c.replaced(seat) }))
	}
	return c
}

func (c *cluster) manager(seat table.SeatID) *Manager {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.managers[seat]
}

func (c *cluster) replaced(seat table.SeatID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.replacedSeat == seat
}

// replace starts a new process on a seat. The old one may not use its slots from now on, the new one after SettleTime.
func (c *cluster) replace(ctx context.Context, seat table.SeatID) {
	old := c.manager(seat)
	from := time.Now().Add(old.SettleTime())
	fresh := New(c.config(seat, func() bool { return !time.Now().Before(from) }))
	c.mu.Lock()
	c.managers[seat] = fresh
	c.replacedSeat = seat
	c.mu.Unlock()
	go fresh.Run(ctx)
}

func (c *cluster) config(seat table.SeatID, usable func() bool) Config {
	return Config{
		Seat: seat, Seats: c.seats, LoanTerm: testLoanTerm, MaxRequestTime: testMaxRequestTime,
		Usable: func() bool {
			ok := usable()
			c.freeze()
			return ok
		},
		Lookup: func(id table.InstanceID) (table.Instance, bool) {
			for _, inst := range c.insts {
				if inst.ID == id {
					return inst, true
				}
			}
			return table.Instance{}, false
		},
		Borrow: func(ctx context.Context, to table.SeatID, req BorrowRequest) (reply BorrowReply, err error) {
			late := func() { _, _ = c.manager(to).HandleBorrow(req) }
			lost := c.call(ctx, late, func() { reply, err = c.manager(to).HandleBorrow(req) })
			return reply, errors.Join(lost, err)
		},
		Return: func(ctx context.Context, to table.SeatID, req ReturnRequest) error {
			f := func() { c.manager(to).HandleReturn(req) }
			return c.call(ctx, f, f)
		},
		Recall: func(ctx context.Context, to table.SeatID, req RecallRequest) (reply RecallReply, err error) {
			late := func() { c.manager(to).HandleRecall(req) }
			err = c.call(ctx, late, func() { reply = c.manager(to).HandleRecall(req) })
			return reply, err
		},
	}
}

// call runs f with the fault that c.fault returns; late is f without its reply.
func (c *cluster) call(ctx context.Context, late, f func()) error {
	time.Sleep(time.Millisecond)
	switch c.fault() {
	case "lost call":
		return errLost
	case "lost reply":
		f()
		return errLost
	case "late call": // arrives after the caller timed out
		time.AfterFunc(3*testLoanTerm/2, late)
		<-ctx.Done()
		return ctx.Err()
	case "late reply": // the caller freezes until the reply is too old
		f()
		time.Sleep(testLoanTerm + testLoanTerm/2)
	case "repeated":
		f()
		time.AfterFunc(testLoanTerm/3, late)
	default:
		f()
	}
	return nil
}

func (c *cluster) run(ctx context.Context) {
	for _, m := range c.managers {
		go m.Run(ctx)
	}
}

// gauge counts the concurrent requests at each instance, as its backend server would.
type gauge struct {
	mu    sync.Mutex
	inUse map[table.InstanceID]int
	worst int
	total int
}

func (g *gauge) add(id table.InstanceID, n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inUse[id] += n
	g.worst = max(g.worst, g.inUse[id])
	g.total += max(0, n)
}

// request runs one request as package route does: it ends within testMaxRequestTime of a time read before the slot was
// taken.
func (g *gauge) request(ctx context.Context, m *Manager, inst table.Instance, hold time.Duration) {
	start := time.Now()
	release, ok := m.TryAcquire(inst)
	if !ok {
		_, _ = m.Borrow(ctx, inst, 4)
		time.Sleep(time.Millisecond)
		return
	}
	defer release()
	defer release() // a second release must not free a second slot
	if left := testMaxRequestTime - time.Since(start); left > 0 {
		g.add(inst.ID, 1)
		time.Sleep(min(hold, left))
		g.add(inst.ID, -1)
	}
}

// Guards against more concurrent requests at an instance than it has slots, while calls are lost, repeated or late,
// processes freeze and a seat is taken over by a new process.
func TestRequestsNeverExceedSlots(t *testing.T) {
	faultKinds := []string{"", "", "", "", "lost call", "lost reply", "late call", "late reply", "repeated"}
	is.New(t).NoErr(flag.Set("rapid.seed", "20250101"))
	rapid.Check(t, func(rt *rapid.T) {
		callFaults := rapid.SliceOfN(rapid.SampledFrom(faultKinds), 8, 40).Draw(rt, "fate")
		hold := rapid.SliceOfN(rapid.IntRange(1, 1000), 8, 40).Draw(rt, "hold")
		freeze := rapid.IntRange(3, 50).Draw(rt, "freeze")
		sweep := rapid.Bool().Draw(rt, "sweep") // without it, a process runs before its first sweep
		callers := rapid.IntRange(4, 40).Draw(rt, "callers")
		synctest.Test(t, func(*testing.T) {
			var calls, checks atomic.Int64
			c := newCluster(4, 2, func() string { return callFaults[int(calls.Add(1))%len(callFaults)] })
			c.freeze = func() {
				if int(checks.Add(1))%freeze == 0 {
					time.Sleep(testLoanTerm + testMaxRequestTime)
				}
			}
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			if sweep {
				c.run(ctx)
			}
			g := &gauge{inUse: map[table.InstanceID]int{}}
			for i := range callers {
				go func() {
					for j := i; ctx.Err() == nil; j++ {
						m := c.manager(c.seats[i%len(c.seats)])
						g.request(ctx, m, c.insts[i%len(c.insts)], time.Duration(hold[j%len(hold)])*time.Millisecond)
					}
				}()
			}
			time.Sleep(8 * time.Second)
			c.replace(ctx, Owner(c.seats, c.insts[0].ID))
			time.Sleep(time.Minute)
			g.mu.Lock()
			defer g.mu.Unlock()
			if g.worst > 8 || g.total == 0 {
				rt.Fatalf("%d slots of 8 in use, %d requests", g.worst, g.total)
			}
		})
	})
}

// Guards against slots that leak when the reply to a Borrow call is lost.
func TestLoanWithLostReplyExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(2, 1, func() string { return "lost reply" })
		inst := c.insts[0]
		owner := c.managers[Owner(c.seats, inst.ID)]
		_, err := owner.HandleBorrow(BorrowRequest{Loan: LoanID{Borrower: "x", Number: 1}, Instance: inst.ID, Slots: 8})
		is.NoErr(err)
		time.Sleep(testLoanTerm + testMaxRequestTime - 1)
		is.Equal(owner.LocalSlots(inst), 0) // a request started at the end of the term may still run
		time.Sleep(1)
		is.Equal(owner.LocalSlots(inst), 8)
	})
}

// Guards against lending or freeing a slot twice after a repeated or late call.
func TestRepeatedAndLateCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(2, 1, func() string { return "" })
		inst := c.insts[0]
		owner := c.managers[Owner(c.seats, inst.ID)]
		borrow := BorrowRequest{Loan: LoanID{Borrower: "x", Number: 1}, Instance: inst.ID, Slots: 6}
		for range 2 {
			reply, err := owner.HandleBorrow(borrow)
			is.NoErr(err)
			is.Equal(reply.Slots, 6)
			is.Equal(owner.LocalSlots(inst), 2)
		}
		for _, keep := range []int{4, 4, 5} { // the last one was sent first
			owner.HandleReturn(ReturnRequest{Loan: borrow.Loan, Instance: inst.ID, Keep: keep})
			is.Equal(owner.LocalSlots(inst), 4)
		}
		overtaken := BorrowRequest{Loan: LoanID{Borrower: "x", Number: 2}, Instance: inst.ID, Slots: 1}
		owner.HandleReturn(ReturnRequest{Loan: overtaken.Loan, Instance: inst.ID})
		reply, err := owner.HandleBorrow(overtaken)
		is.NoErr(err)
		is.Equal(reply.Slots, 0)
		is.Equal(owner.LocalSlots(inst), 4)
	})
}

// Guards against a loan that outlives a planned stop: the next process of the seat would use all its slots at once.
func TestIdleWaitsForLoans(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(2, 1, func() string { return "" })
		inst := c.insts[0]
		owner := c.manager(Owner(c.seats, inst.ID))
		reply, err := owner.HandleBorrow(BorrowRequest{Loan: LoanID{Borrower: "other", Number: 1}, Instance: inst.ID, Slots: 3})
		is.NoErr(err)
		is.Equal(reply.Slots, 3)
		release, ok := owner.TryAcquire(inst)
		is.True(ok)
		owner.Close()
		_, ok = owner.TryAcquire(inst)
		is.True(!ok)
		_, err = owner.HandleBorrow(BorrowRequest{Loan: LoanID{Borrower: "other", Number: 2}, Instance: inst.ID, Slots: 1})
		is.True(err != nil)
		release()
		is.True(!owner.Idle()) // three slots are loaned
		time.Sleep(owner.SettleTime())
		is.True(owner.Idle())
	})
}
