package peer

import (
	"context"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"persimmonpick/fault"
	"persimmonpick/share"
	"persimmonpick/table"
)

func listen(t *testing.T, h Handlers) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s, err := Serve(ln, nil, h)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return ln.Addr().String()
}

func testGroup(addr string, self table.SeatID) *Group {
	return NewGroup(Config{
		Seat:  self,
		Seats: []Seat{{"a", addr}, {"b", addr}}, Period: time.Millisecond, Timeout: 5 * time.Second, LogGrace: grace,
		Self: func() Heartbeat {
			return Heartbeat{Seat: self, Incarnation: table.Incarnation(self + "1"), Applied: 7, Ready: true}
		},
		Log: slog.New(slog.DiscardHandler),
	})
}

// Guards against two hosts that both believe themselves the proposer while they hear each other.
func TestProposerIsFirstWorkingSeat(t *testing.T) {
	is := is.New(t)
	b := testGroup("", "b")
	addr := listen(t, Handlers{Heartbeat: b.HandleHeartbeat})
	a := testGroup(addr, "a")
	is.True(a.IsProposer())
	is.True(b.IsProposer()) // has not heard a yet
	is.NoErr(a.once(context.Background(), "b", a.clients["b"]))
	is.True(a.IsProposer())
	is.True(!b.IsProposer())
	is.Equal(a.Working(), []table.SeatID{"a", "b"})
}

// Guards against settings that give one address to two seats.
func TestWrongSeatIsRefused(t *testing.T) {
	is := is.New(t)
	c := testGroup("", "c")
	addr := listen(t, Handlers{Heartbeat: c.HandleHeartbeat})
	a := testGroup(addr, "a")
	is.Equal(fault.Of(a.once(context.Background(), "b", a.clients["b"])), fault.Invalid)
}

// Guards against error kinds lost between hosts, and a frozen peer that blocks its callers.
func TestCallErrors(t *testing.T) {
	is := is.New(t)
	block := make(chan struct{})
	defer close(block)
	addr := listen(t, Handlers{
		Borrow: func(share.BorrowRequest) (share.BorrowReply, error) {
			return share.BorrowReply{}, fault.New(fault.Capacity, "no slots")
		},
		Snapshot: func(SnapshotArgs) (SnapshotReply, error) {
			<-block
			return SnapshotReply{}, nil
		},
	})
	c := NewClient(addr, nil)
	defer c.Close()
	_, err := c.Borrow(context.Background(), share.BorrowRequest{})
	is.Equal(fault.Of(err), fault.Capacity)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	_, err = c.Snapshot(ctx, SnapshotArgs{})
	is.Equal(fault.Of(err), fault.PlatformFailed)
	_, err = c.Borrow(context.Background(), share.BorrowRequest{}) // dials again
	is.Equal(fault.Of(err), fault.Capacity)
}

// Guards against placement that stands still behind a host that is cut from the log, and against leases that nobody renews in an outage of it.
func TestHostsThatReadTheLogGoFirst(t *testing.T) {
	is := is.New(t)
	reads := map[table.SeatID]bool{"b": true}
	g := testGroup("", "a")
	g.cfg.Self = func() Heartbeat { return Heartbeat{Seat: "a", Ready: true, ReadsLog: reads["a"]} }
	hear := func() { g.HandleHeartbeat(Heartbeat{Seat: "b", Incarnation: "b1", Ready: true, ReadsLog: reads["b"]}) }
	hear()
	is.Equal(g.Working(), []table.SeatID{"b"})
	reads["b"] = false
	hear()
	is.Equal(g.Working(), []table.SeatID{"a", "b"})
}
