package ingress

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"persimmonpick/fault"
	"persimmonpick/table"
)

// testConn is a connection from which each Read takes all that was asked for.
type testConn struct {
	net.Conn
	closed chan struct{}
	ended  func() // of its reader, after the connection was closed
}

func newTestConn() *testConn { return &testConn{closed: make(chan struct{})} }

func (c *testConn) Read(p []byte) (int, error) { return len(p), nil }

func (c *testConn) Close() error {
	close(c.closed)
	c.ended()
	return nil
}

func (c *testConn) SetReadDeadline(time.Time) error { return nil }

func newTestGate(l Limits) (*Gate, map[Reason]int) {
	refused := map[Reason]int{}
	return New(Config{
		Limits: l, Refused: func(why Reason) { refused[why]++ }, Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
	}), refused
}

// connect adds a connection to g; it is nil if there is no room.
func connect(g *Gate) *Conn {
	conn := newTestConn()
	c := &Conn{Conn: conn, gate: g}
	conn.ended = sync.OnceFunc(func() { c.end() })
	if !g.admit(c) {
		return nil
	}
	return c
}

func isOpen(c *Conn) bool {
	synctest.Wait()
	select {
	case <-c.Conn.(*testConn).closed:
		return false
	default:
		return true
	}
}

func read(c *Conn, n int) error {
	_, err := c.Read(make([]byte, n))
	return err
}

var roomy = Limits{Held: 1000, Connections: 10, Unfinished: 10, Rate: 10, Grace: 2 * time.Second}

func TestSlowestAndLargestGivesWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g, refused := newTestGate(roomy)
		small, large := connect(g), connect(g)
		is.NoErr(read(small, 50))
		is.NoErr(read(large, 400))
		time.Sleep(100 * time.Millisecond)
		recent := connect(g)
		is.NoErr(read(recent, 100))
		is.True(!isOpen(large))
		is.True(isOpen(small))
		is.Equal(refused[Held], 1)
		is.Equal(g.Usage(), Usage{Held: 300, Connections: 2, Unfinished: 2})
	})
}

func TestWholeRequestsDoNotGiveWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g, _ := newTestGate(roomy)
		whole := connect(g)
		is.NoErr(read(whole, 450))
		whole.pause()
		late := connect(g)
		is.True(errors.Is(read(late, 100), errRefused))
		is.True(isOpen(whole))
		whole.Answered()
		is.NoErr(read(late, 100))
	})
}

func TestHeldIsGivenBackOnEveryPath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g, _ := newTestGate(roomy)
		answered, ended, evicted := connect(g), connect(g), connect(g)
		for _, c := range []*Conn{answered, ended, evicted} {
			is.NoErr(read(c, 60))
		}
		answered.pause()
		answered.Answered()
		is.NoErr(ended.Close())
		time.Sleep(time.Minute) // the last one is too slow
		is.Equal(g.Usage(), Usage{Connections: 1})
	})
}

func TestConnectionsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g, refused := newTestGate(Limits{Held: 1000, Connections: 3, Unfinished: 2, Rate: 10, Grace: time.Second})
		idle := connect(g)
		idle.Answered()
		first, second := connect(g), connect(g)
		time.Sleep(time.Millisecond)
		third := connect(g)
		is.True(isOpen(idle) && isOpen(third))
		is.True(isOpen(first) != isOpen(second))
		is.Equal(refused[Connections], 1)
		for c := range g.conns {
			c.pause()
		}
		is.True(connect(g) != nil) // in place of the idle one
		is.True(!isOpen(idle))
	})
}

func TestConnectionIsRefusedWhileAllServe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g, _ := newTestGate(Limits{Held: 1000, Connections: 1, Unfinished: 1, Rate: 10, Grace: time.Second})
		c := connect(g)
		c.pause()
		is.True(connect(g) == nil)
		is.True(isOpen(c))
	})
}

func TestSlowRequestsAreClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g, refused := newTestGate(roomy)
		steady, slow, idle := connect(g), connect(g), connect(g)
		idle.Answered()
		for range 20 {
			time.Sleep(time.Second)
			is.NoErr(read(steady, 12))
			if isOpen(slow) {
				is.NoErr(read(slow, 1))
			}
		}
		is.True(isOpen(steady) && isOpen(idle))
		is.True(!isOpen(slow))
		is.Equal(refused[Slow], 1)
		is.NoErr(steady.Close()) // ends the sweeps
	})
}

func TestAnswerThatIsNotTakenEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g, _ := newTestGate(roomy)
		server, client := net.Pipe()
		defer client.Close()
		c := &Conn{Conn: server, gate: g, boundWrites: true}
		is.True(g.admit(c))
		c.pause()
		_, err := c.Write([]byte("answer"))
		is.True(errors.Is(err, os.ErrDeadlineExceeded))
		is.NoErr(c.Close())
	})
}

// A charge waits until what gave way has let go.
func TestChargeWaitsForWhatGaveWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g, _ := newTestGate(roomy)
		large, recent := connect(g), connect(g)
		letGo := make(chan struct{})
		large.Conn.(*testConn).ended = func() { <-letGo; large.end() }
		is.NoErr(read(large, 450))
		time.Sleep(time.Millisecond)
		done := make(chan error, 1)
		go func() { done <- read(recent, 100) }()
		synctest.Wait()
		is.Equal(len(done), 0)
		is.Equal(g.Usage().Held, table.Bytes(900))
		close(letGo)
		is.NoErr(<-done)
		is.Equal(g.Usage().Held, table.Bytes(200))
		is.NoErr(recent.Close())
	})
}

// post returns a request on a connection of g, with a body of n bytes of which all are sent but for missing.
func post(c *Conn, n, missing int, announced bool) *http.Request {
	r := httptest.NewRequest(http.MethodPost, "/", io.MultiReader(strings.NewReader(strings.Repeat("x", n-missing)), &unfinished{missing}))
	r.ContentLength = -1
	if announced {
		r.ContentLength = int64(n)
	}
	c.headerDone()
	return r.WithContext(newContext(r.Context(), c))
}

// unfinished ends in an error if bytes are missing.
type unfinished struct{ missing int }

func (u *unfinished) Read([]byte) (int, error) {
	if u.missing > 0 {
		return 0, io.ErrUnexpectedEOF
	}
	return 0, io.EOF
}

func TestReadBody(t *testing.T) {
	for _, c := range []struct {
		name      string
		n         int
		missing   int
		announced bool
		want      fault.Kind
	}{
		{"Whole", 100, 0, true, fault.None},
		{"Chunked", 100, 0, false, fault.None},
		{"Missing", 100, 1, true, fault.Invalid},
		{"TooLargeAnnounced", 1 << 20, 1 << 20, true, fault.TooLarge},
		{"TooLargeSent", 201, 0, false, fault.TooLarge},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			g, _ := newTestGate(roomy)
			conn := connect(g)
			data, err := ReadBody(httptest.NewRecorder(), post(conn, c.n, c.missing, c.announced), 200)
			is.Equal(fault.Of(err), c.want)
			if c.want == fault.None {
				is.Equal(len(data), c.n)
				is.Equal(g.Usage(), Usage{Held: table.Bytes(c.n) * arrivalCost, Connections: 1})
			}
			is.NoErr(conn.Close())
			is.Equal(g.Usage(), Usage{})
		})
	}
}

func TestBodyWithoutRoomIsRefusedAsNotRun(t *testing.T) {
	is := is.New(t)
	g, _ := newTestGate(roomy)
	conn := connect(g)
	_, err := ReadBody(nil, post(conn, 600, 0, false), 1000)
	is.Equal(fault.Of(err), fault.Overloaded)
	is.Equal(fault.Of(err).Answer().Ran, fault.RanNo)
}

func TestLimitsOfMachines(t *testing.T) {
	is := is.New(t)
	smallest := LimitsOf(0, 0)
	is.Equal(smallest, LimitsOf(184<<20, 4100))
	is.True(smallest.Held >= 8*(arrivalCost+decodedCost)*(256<<10)) // several of the largest bodies at once
	is.True(smallest.Connections <= (4100-200)/2)
	is.Equal(LimitsOf(1<<30, 600).Connections, 200)
}

// Guards against an unfinished request that is never ended, since its header had arrived whole at the sweep before.
func TestBodyThatStandsStillAfterItsHeaderIsEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g, refused := newTestGate(roomy)
		c := connect(g)
		is.NoErr(read(c, 1))
		c.pause()
		time.Sleep(3 * sweepInterval)
		c.resume()
		time.Sleep(roomy.Grace + 3*sweepInterval)
		is.True(!isOpen(c))
		is.Equal(refused[Slow], 1)
	})
}

// Guards against a connection of a host that gives way to a new one while a call of it is at work.
func TestConnectionWithACallAtWorkDoesNotGiveWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := roomy
		l.Connections = 2
		g, _ := newTestGate(l)
		a, b := connect(g), connect(g)
		a.CallArrived()
		time.Sleep(time.Second)
		b.CallArrived()
		b.CallAnswered()
		is.True(connect(g) != nil)
		is.True(isOpen(a))
		is.True(!isOpen(b))
	})
}

// Guards against all clients waiting for a connection that gave way and cannot be closed before a call of it ends.
func TestConnectionThatGaveWayHoldsUpNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g, _ := newTestGate(roomy)
		host := connect(g)
		host.Conn.(*testConn).ended = func() {} // its server waits for a call
		is.NoErr(read(host, 400))
		time.Sleep(time.Second)
		other := connect(g)
		go func() { _ = read(host, 1) }() // notices that the connection has ended
		is.NoErr(read(other, 200))
	})
}
