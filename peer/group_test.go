package peer

import (
	"context"
	"log/slog"
	"net"
	"sync/atomic"
	"syscall"
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
	s, err := Serve(ln, nil, h, slog.New(slog.DiscardHandler))
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

// Guards against two proposers at a time among hosts that receive heartbeats of each other.
func TestProposerIsFirstWorkingSeat(t *testing.T) {
	is := is.New(t)
	b := testGroup("", "b")
	addr := listen(t, Handlers{Heartbeat: b.HandleHeartbeat})
	a := testGroup(addr, "a")
	is.True(a.IsProposer())
	is.True(b.IsProposer()) // has not heard a yet
	is.NoErr(a.sendHeartbeat(context.Background(), "b", a.clients["b"]))
	is.True(a.IsProposer())
	is.True(!b.IsProposer())
	is.Equal(a.Working(), []table.SeatID{"a", "b"})
}

// Guards against settings that give two seats the same address.
func TestWrongSeatIsRefused(t *testing.T) {
	is := is.New(t)
	c := testGroup("", "c")
	addr := listen(t, Handlers{Heartbeat: c.HandleHeartbeat})
	a := testGroup(addr, "a")
	is.Equal(fault.Of(a.sendHeartbeat(context.Background(), "b", a.clients["b"])), fault.Invalid)
}

// Guards against error kinds that are lost between hosts, and against callers blocked by a frozen peer.
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
	_, err = c.Borrow(context.Background(), share.BorrowRequest{}) // reconnects
	is.Equal(fault.Of(err), fault.Capacity)
}

// Guards against scheduling that stalls because the proposer cannot read the log, and against leases that are not
// renewed during an outage of the log.
func TestWorkingPrefersLogReaders(t *testing.T) {
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

// flakyListener fails the first call of Accept, as a host that is short of file descriptors does.
type flakyListener struct {
	net.Listener
	failed atomic.Bool
}

func (l *flakyListener) Accept() (net.Conn, error) {
	if !l.failed.Swap(true) {
		return nil, syscall.EMFILE
	}
	return l.Listener.Accept()
}

// A failed Accept must not end the server, or the host looks lost to its peers until it is restarted.
func TestServerOutlivesFailedAccept(t *testing.T) {
	is := is.New(t)
	b := testGroup("", "b")
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	s, err := Serve(&flakyListener{Listener: ln}, nil, Handlers{Heartbeat: b.HandleHeartbeat}, slog.New(slog.DiscardHandler))
	is.NoErr(err)
	t.Cleanup(s.Close)
	a := testGroup(ln.Addr().String(), "a")
	is.NoErr(a.sendHeartbeat(context.Background(), "b", a.clients["b"]))
}
