package peer

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/rpc"
	"sync"
	"time"

	"persimmonpick/fault"
)

// transport is the network of all calls between hosts.
const transport = "tcp"

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// LinkConfig configures a Link.
type LinkConfig struct {
	Address     string
	Dial        DialFunc      // nil for plain TCP
	DialTimeout time.Duration // of one attempt
	Rest        time.Duration // a host that failed is left alone for this long
	Logger      *slog.Logger
}

// Link calls one other host by net/rpc; it dials when it is first used and again after a failure.
type Link struct {
	cfg LinkConfig

	mu      sync.Mutex
	client  *rpc.Client
	dialing chan struct{} // closed when the attempt ends; nil if there is none
	retryAt time.Time     // the host is not called before
	closed  bool
}

// NewLink returns a link that is not connected yet.
func NewLink(cfg LinkConfig) *Link {
	if cfg.Dial == nil {
		cfg.Dial = (&net.Dialer{}).DialContext
	}
	return &Link{cfg: cfg}
}

// Call fails with fault.NotReady if the call was not handed over, and with fault.OutcomeUnknown if it was and has no answer.
func (l *Link) Call(ctx context.Context, method string, args, reply any) error {
	c, err := l.connect(ctx)
	if err != nil {
		return err
	}
	done := make(chan *rpc.Call, 1)
	go c.Go(method, args, reply, done) // writes the request, which a host that reads nothing holds up
	var call *rpc.Call
	select {
	case <-ctx.Done():
		l.fail(c, ctx.Err())
		<-done // the connection is closed; reply is not written to after this
		return fault.Wrap(ctx.Err(), fault.OutcomeUnknown, "no answer of the host at %s", l.cfg.Address)
	case call = <-done:
	}
	if call.Error != nil {
		l.fail(c, call.Error)
		return fault.Wrap(call.Error, fault.OutcomeUnknown, "the host at %s broke off", l.cfg.Address)
	}
	return nil
}

// Close ends the connection; calls in flight fail.
func (l *Link) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.drop()
}

// connect returns the connection; callers that come while it is dialed share the attempt.
func (l *Link) connect(ctx context.Context) (*rpc.Client, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.client != nil {
		return l.client, nil
	}
	if l.closed || time.Now().Before(l.retryAt) {
		return nil, fault.New(fault.NotReady, "the host at %s was not reached lately", l.cfg.Address)
	}
	if l.dialing == nil {
		l.dialing = make(chan struct{})
		go l.dial(l.dialing)
	}
	dialed := l.dialing
	l.mu.Unlock()
	select {
	case <-dialed:
	case <-ctx.Done():
	}
	l.mu.Lock()
	if l.client == nil {
		return nil, fault.New(fault.NotReady, "the host at %s is not reached", l.cfg.Address)
	}
	return l.client, nil
}

func (l *Link) dial(done chan struct{}) {
	ctx, cancel := context.WithTimeout(context.Background(), l.cfg.DialTimeout)
	defer cancel()
	conn, err := l.cfg.Dial(ctx, transport, l.cfg.Address)
	l.mu.Lock()
	defer l.mu.Unlock()
	defer close(done)
	l.dialing = nil
	if err != nil {
		l.retryAt = time.Now().Add(l.cfg.Rest)
		l.cfg.Logger.Warn("host not reached", "Host", l.cfg.Address, "Rest", l.cfg.Rest, "Error", err)
		return
	}
	if l.closed {
		closeAndLog(conn, l.cfg.Logger)
		return
	}
	l.client = rpc.NewClient(conn)
}

// fail drops a connection whose call failed and leaves the host alone for a while.
func (l *Link) fail(c *rpc.Client, cause error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.client != c {
		return
	}
	l.drop()
	l.retryAt = time.Now().Add(l.cfg.Rest)
	l.cfg.Logger.Warn("host does not answer", "Host", l.cfg.Address, "Rest", l.cfg.Rest, "Error", cause)
}

// drop closes the connection; l.mu must be held.
func (l *Link) drop() {
	if l.client == nil {
		return
	}
	if err := l.client.Close(); err != nil && !errors.Is(err, rpc.ErrShutdown) {
		l.cfg.Logger.Debug("connection to a host not closed", "Host", l.cfg.Address, "Error", err)
	}
	l.client = nil
}

// maxLinkConns bounds the connections of other hosts; several times the hosts of the largest deployment.
const maxLinkConns = 4096

// ServeLinks answers the calls of links on ln with the methods of services, by name, until ctx ends.
func ServeLinks(ctx context.Context, ln net.Listener, services map[string]any, logger *slog.Logger) error {
	srv := rpc.NewServer()
	for name, s := range services {
		if err := srv.RegisterName(name, s); err != nil {
			return fault.Wrap(err, fault.Internal, "service %q not registered", name)
		}
	}
	context.AfterFunc(ctx, func() { closeAndLog(ln, logger) })
	slots := make(chan struct{}, maxLinkConns)
	for {
		conn, err := ln.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return fault.Wrap(err, fault.Internal, "no more connections of hosts are taken")
		}
		select {
		case slots <- struct{}{}:
		default:
			logger.Warn("connection of a host refused", "Open", maxLinkConns)
			closeAndLog(conn, logger)
			continue
		}
		go func() {
			defer func() { <-slots }()
			defer context.AfterFunc(ctx, func() { closeAndLog(conn, logger) })()
			srv.ServeConn(conn)
		}()
	}
}

func closeAndLog(c io.Closer, logger *slog.Logger) {
	if err := c.Close(); err != nil {
		logger.Debug("not closed", "Error", err)
	}
}
