package fleet

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"persimmonpick/ledger"
	"persimmonpick/table"
)

var errAccept = errors.New("accept failed")

// failingListener accepts nothing and fails after a time.
type failingListener struct {
	after  time.Duration
	closed chan struct{}
}

func (l failingListener) Accept() (net.Conn, error) {
	select {
	case <-time.After(l.after):
		return nil, errAccept
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l failingListener) Close() error {
	close(l.closed)
	return nil
}

func (l failingListener) Addr() net.Addr { return &net.TCPAddr{} }

// A host that can no longer accept callers must end, so that it is started anew; it waited for its election, which
// ends only with the process.
func TestFailedListenerEndsTheHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		unavailable := errors.New("log unavailable")
		h := New(Config{
			Settings: Settings{Host: "h", Callers: "callers", Readiness: "readiness", Log: "log"},
			Log: ledger.Log{
				Append: func(context.Context, ledger.Append) error { return unavailable },
				Read: func(context.Context, ledger.Topic, ledger.Position, time.Duration) (ledger.Page, error) {
					return ledger.Page{}, unavailable
				},
				Newest: func(context.Context, ledger.Topic, string) (ledger.Snapshot, error) {
					return ledger.Snapshot{}, unavailable
				},
			},
			FollowOperator: func(ctx context.Context, _ OperatorCallbacks) { <-ctx.Done() },
			Callers:        func(*Host) http.Handler { return http.NotFoundHandler() },
			Readiness:      func(*Host) http.Handler { return http.NotFoundHandler() },
			Listen: func(_, address string) (net.Listener, error) {
				if address == "callers" {
					return failingListener{time.Minute, make(chan struct{})}, nil
				}
				return failingListener{24 * time.Hour, make(chan struct{})}, nil
			},
			Logger: slog.New(slog.DiscardHandler),
		})
		began := time.Now()
		ended := make(chan error, 1)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { ended <- h.Run(ctx) }()
		select {
		case err := <-ended:
			is.True(errors.Is(err, errAccept))
			is.True(time.Since(began) <= time.Minute+defaultGrace)
		case <-time.After(time.Hour):
			t.Error("the host has not ended")
		}
	})
}

// Open requests get time to end within every grace period, and the host ends before it is killed.
func TestEveryGracePeriodLeavesTimeForOpenRequests(t *testing.T) {
	for _, grace := range []time.Duration{100 * time.Millisecond, time.Second, 2 * time.Second, 6 * time.Second, time.Minute} {
		is := is.New(t)
		keepAlives, open := Settings{StopGrace: grace}.drainTimes()
		is.True(keepAlives > 0)
		is.True(open >= grace/4)
		is.True(grace-keepAlives-open >= min(stopMargin, grace/5))
	}
}

// Guards against a status page that shows the unknown age of a view as three centuries.
func TestStatusOfAHostThatHasReadNothing(t *testing.T) {
	is := is.New(t)
	h := New(Config{Settings: Settings{Host: "h"}, Logger: slog.New(slog.DiscardHandler)})
	is.Equal(h.Status(t.Context()).ViewAge, table.Millis(-1))
}
