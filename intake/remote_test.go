package intake

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"persimmonpick/fault"
	"persimmonpick/peer"
	"persimmonpick/standins/pipenet"
	"persimmonpick/table"
)

const readerAddress = "10.0.0.7:4"

// OlderServer answers as hosts did before replies had a reason.
type OlderServer struct{}

// OlderReply is the JobReply of such hosts.
type OlderReply struct {
	Kind string
	View View
}

// Job answers that there is no such job.
func (OlderServer) Job(_ JobArgs, reply *OlderReply) error {
	reply.Kind = fault.NotFound.String()
	return nil
}

// connect returns a link to a host that serves server.
func connect(t *testing.T, server any) *peer.Link {
	network := pipenet.New()
	ctx, cancel := context.WithCancel(context.Background())
	listener := network.Listen(readerAddress)
	quiet := slog.New(slog.DiscardHandler)
	go func() {
		if err := peer.ServeLinks(ctx, listener, map[string]any{Service: server}, quiet); err != nil {
			t.Error(err)
		}
	}()
	l := peer.NewLink(peer.LinkConfig{Address: readerAddress, Dial: network.Dial, DialTimeout: time.Second, Logger: quiet})
	t.Cleanup(func() { l.Close(); cancel() })
	return l
}

// newDelegatingService returns a service that queries server, with its log lines.
func newDelegatingService(t *testing.T, server any) (*testService, *bytes.Buffer) {
	l := connect(t, server)
	s, lines := newTestService(), &bytes.Buffer{}
	s.cfg.Logger = slog.New(slog.NewTextHandler(lines, nil))
	s.cfg.Query = func(ctx context.Context, call func(ctx context.Context, l *peer.Link) error) error {
		return call(ctx, l)
	}
	return s, lines
}

// Guards against log lines that name neither the host that answered nor its reason, and that show an unknown age as a
// number.
func TestLineOnAnUnavailableStateNamesHostAndReason(t *testing.T) {
	for _, c := range []struct {
		name   string
		server func() any
		want   []string
	}{
		{"log reader", func() any {
			reader := newTestService()
			if err := reader.cfg.Refresh(context.Background()); err != nil {
				t.Error(err)
			}
			return NewServer(reader.JobService)
		}, []string{readerAddress, "NotFound", `no job \"aa\"`, "ViewAge=Unknown", "Kind=NotFound"}},
		{"earlier version", func() any { return OlderServer{} }, []string{readerAddress, "NotFound", "ViewAge=Unknown"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s, lines := newDelegatingService(t, c.server())
				_, err := s.State(t.Context(), "q", "aa")
				is.Equal(fault.Of(err), fault.NotFound)
				for _, w := range c.want {
					if !strings.Contains(lines.String(), w) {
						t.Errorf("%q is missing in %s", w, lines)
					}
				}
			})
		})
	}
}

// Guards against a host of an earlier version that cannot decode a reply with a reason.
func TestHostOfAnEarlierVersionDecodesReplies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := t.Context()
		reader := newTestService()
		is.NoErr(reader.Submit(ctx, queue, "aa", spec()))
		is.NoErr(reader.cfg.Refresh(ctx))
		l := connect(t, NewServer(reader.JobService))
		for id, want := range map[table.JobID]fault.Kind{"aa": fault.None, "bb": fault.NotFound} {
			var reply OlderReply
			is.NoErr(l.Call(ctx, methodJob, JobArgs{id}, &reply))
			is.Equal(fault.ParseKind(reply.Kind), want)
		}
	})
}
