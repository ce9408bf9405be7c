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

// transport is the network of all connections between hosts.
const transport = "tcp"

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// LinkConfig configures a Link.
type LinkConfig struct {
	Address     string
	Dial        DialFunc      // nil for plain TCP
	DialTimeout time.Duration // of one attempt
	Backoff     time.Duration // minimum time before the next dial after a failure
	Logger      *slog.Logger
}

// Link calls one other host by net/rpc. It connects on first use and reconnects after a failure.
type Link struct {
	cfg LinkConfig

	mu      sync.Mutex
	client  *rpc.Client
	dialing chan struct{} // closed when the dial in progress ends; nil if there is none
	retryAt time.Time     // no dial before this time
	closed  bool
}

// NewLink returns a Link that connects on first use.
func NewLink(cfg LinkConfig) *Link {
	if cfg.Dial == nil {
		cfg.Dial = (&net.Dialer{}).DialContext
	}
	return &Link{cfg: cfg}
}

// Address returns the address of the host.
func (l *Link) Address() string { return l.cfg.Address }

// Call calls method on the host. It fails with fault.NotReady if the call was not sent, and with
// fault.OutcomeUnknown if it may have been sent and has no valid reply.
func (l *Link) Call(ctx context.Context, method string, args, reply any) error {
	c, err := l.connect(ctx)
	if err != nil {
		return err
	}
	done := make(chan *rpc.Call, 1)
	go c.Go(method, args, reply, done) // writing the request blocks if the host does not read
	var call *rpc.Call
	select {
	case <-ctx.Done():
		l.fail(c, ctx.Err())
		<-done // the connection is closed; reply is not written after this
		return fault.Wrap(ctx.Err(), fault.OutcomeUnknown, "no answer of the host at %s", l.cfg.Address)
	case call = <-done:
	}
	if call.Error != nil {
		l.fail(c, call.Error)
		return fault.Wrap(call.Error, fault.OutcomeUnknown, "the host at %s broke off", l.cfg.Address)
	}
	return nil
}

// Close closes the connection; calls in progress fail.
func (l *Link) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.drop()
}

// connect returns the connection; concurrent callers share one dial.
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
		l.retryAt = time.Now().Add(l.cfg.Backoff)
		l.cfg.Logger.Warn("cannot connect to host", "Host", l.cfg.Address, "Rest", l.cfg.Backoff, "Error", err)
		return
	}
	if l.closed {
		closeAndLog(conn, l.cfg.Logger)
		return
	}
	l.client = rpc.NewClient(conn)
}

// fail drops the connection c after a failed call and starts the backoff.
func (l *Link) fail(c *rpc.Client, cause error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.client != c {
		return
	}
	l.drop()
	l.retryAt = time.Now().Add(l.cfg.Backoff)
	l.cfg.Logger.Warn("call to host failed, connection dropped", "Host", l.cfg.Address, "Rest", l.cfg.Backoff, "Error", cause)
}

// drop closes the connection; l.mu must be held.
func (l *Link) drop() {
	if l.client == nil {
		return
	}
	if err := l.client.Close(); err != nil && !errors.Is(err, rpc.ErrShutdown) {
		l.cfg.Logger.Debug("cannot close connection to host", "Host", l.cfg.Address, "Error", err)
	}
	l.client = nil
}

// maxLinkConns limits the connections from other hosts to several times the hosts of the largest deployment.
const maxLinkConns = 4096

// ServeLinks serves calls from Links on ln until ctx ends. services maps net/rpc service names to receivers.
func ServeLinks(ctx context.Context, ln net.Listener, services map[string]any, logger *slog.Logger) error {
	srv := rpc.NewServer()
	for name, s := range services {
		if err := srv.RegisterName(name, s); err != nil {
			return fault.Wrap(err, fault.Internal, "cannot register service %q", name)
		}
	}
	context.AfterFunc(ctx, func() { closeAndLog(ln, logger) })
	slots := make(chan struct{}, maxLinkConns)
	for {
		conn, err := acceptNext(ln, logger)
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return fault.Wrap(err, fault.Internal, "cannot accept connections from hosts")
		}
		select {
		case slots <- struct{}{}:
		default:
			logger.Warn("connection from host refused, too many open", "Open", maxLinkConns)
			closeAndLog(conn, logger)
			continue
		}
		go func() {
			defer func() { <-slots }()
			defer context.AfterFunc(ctx, func() { closeAndLog(conn, logger) })()
			srv.ServeCodec(newServerCodec(conn))
		}()
	}
}

func closeAndLog(c io.Closer, logger *slog.Logger) {
	if err := c.Close(); err != nil {
		logger.Debug("cannot close connection", "Error", err)
	}
}
