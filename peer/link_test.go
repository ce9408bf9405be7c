package peer

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"persimmonpick/fault"
	"persimmonpick/standins/pipenet"
)

var discardLogger = slog.New(slog.NewTextHandler(io.Discard, nil))

const echoAddress = "host:1"

// echo is a service that returns its argument after a delay.
type echo struct {
	delay time.Duration
}

// Say returns its argument.
func (e *echo) Say(args string, reply *string) error {
	time.Sleep(e.delay)
	*reply = args
	return nil
}

func serveEcho(ctx context.Context, n *pipenet.Network, delay time.Duration) {
	ln := n.Listen(echoAddress)
	// Stops when the context of the test ends.
	go func() { _ = ServeLinks(ctx, ln, map[string]any{"Echo": &echo{delay}}, discardLogger) }()
}

func newTestLink(n *pipenet.Network) *Link {
	return NewLink(LinkConfig{Address: echoAddress, Dial: n.Dial, DialTimeout: time.Second, Backoff: time.Second, Logger: discardLogger})
}

// Guards against a server that fails for all hosts after malformed input from one connection.
func TestMalformedCallsAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		n := pipenet.New()
		serveEcho(ctx, n, 0)
		l := newTestLink(n)
		var reply string
		is.NoErr(l.Call(ctx, "Echo.Say", "before", &reply))
		for _, garbage := range []string{"\x00", "GET / HTTP/1.1\r\n\r\n", "\xf8\xff\xff\xff\xff\xff\xff\xff\xff", string(make([]byte, 4096))} {
			c, err := n.Dial(ctx, "tcp", echoAddress)
			is.NoErr(err)
			go func() {
				_, _ = c.Write([]byte(garbage)) // fails once the server has closed the connection
				_ = c.Close()
			}()
			synctest.Wait()
		}
		is.True(l.Call(ctx, "Echo.None", "x", &reply) != nil)
		time.Sleep(time.Second)
		is.NoErr(l.Call(ctx, "Echo.Say", "after", &reply))
		is.Equal(reply, "after")
		l.Close()
		is.Equal(fault.Of(l.Call(ctx, "Echo.Say", "closed", &reply)), fault.NotReady)
		cancel()
	})
}

// Guards against callers that wait for a host that replies too late or cannot be reached, and against reporting a
// call that may have run as not sent.
func TestSilentHostIsNotCalledDuringBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		n := pipenet.New()
		serveEcho(ctx, n, 5*time.Second)
		l := newTestLink(n)
		call := func() (fault.Kind, time.Duration) {
			began := time.Now()
			ctx, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
			defer cancel()
			var reply string
			return fault.Of(l.Call(ctx, "Echo.Say", "x", &reply)), time.Since(began)
		}
		kind, took := call()
		is.Equal(kind, fault.OutcomeUnknown) // it may have run
		is.Equal(took, 300*time.Millisecond)
		kind, took = call()
		is.Equal(kind, fault.NotReady) // it was not sent
		is.Equal(took, time.Duration(0))
		n.SetUnreachable(echoAddress, true)
		time.Sleep(time.Second)
		kind, took = call()
		is.Equal(kind, fault.NotReady)
		is.True(took <= 300*time.Millisecond)
		l.Close()
		cancel()
		time.Sleep(10 * time.Second)
	})
}
