package ledger

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

// The bounds of records on their way through the leader.
const (
	relayTimeout   = 1800 * time.Millisecond // of a call; leaves a caller's usual deadline time for an append of our own
	relayWork      = 1500 * time.Millisecond // after which the leader answers that the outcome is unknown
	relayDial      = 300 * time.Millisecond  // many round trips between availability zones
	relayRest      = 3 * time.Second         // a leader that was not reached is left alone for this long; an election is over by then
	maxRelayConns  = 512                     // several times the hosts of the largest deployment
	relayService   = "Relay"
	relayAppend    = relayService + ".Append"
	relayTransport = "tcp"
)

// RelayArgs are the records that a host hands to the leader.
type RelayArgs struct {
	Records []Record
}

// RelayReply says how the append of the leader went.
type RelayReply struct {
	Kind string // of the error; see fault.Kind
}

// RelayConfig configures a Relay.
type RelayConfig struct {
	Host    string
	Leader  func() Leader
	Dial    func(ctx context.Context, network, address string) (net.Conn, error) // nil for plain TCP
	Observe func(err error, took time.Duration)
	Logger  *slog.Logger
}

// Relay hands records to the leader, whose appends carry those of all hosts: a log that answers slowly takes only a few appends a second.
type Relay struct {
	cfg RelayConfig

	mu      sync.Mutex
	address string
	client  *rpc.Client
	resting time.Time // the leader is not called before
}

// NewRelay returns a relay that is not connected yet.
func NewRelay(cfg RelayConfig) *Relay {
	if cfg.Dial == nil {
		cfg.Dial = (&net.Dialer{}).DialContext
	}
	return &Relay{cfg: cfg}
}

// Append has the leader append records; it fails with fault.NotReady if it did not hand them over, with fault.OutcomeUnknown if they may be in the log, and with another kind if they are not.
func (r *Relay) Append(ctx context.Context, records []Record) error {
	l := r.cfg.Leader()
	if l.Address == "" || l.Host == r.cfg.Host {
		return fault.New(fault.NotReady, "no other host leads")
	}
	began := time.Now()
	err := r.append(ctx, l.Address, records)
	r.cfg.Observe(err, time.Since(began))
	return err
}

func (r *Relay) append(ctx context.Context, address string, records []Record) error {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	c, err := r.connect(ctx, address)
	if err != nil {
		return err
	}
	var reply RelayReply
	call := c.Go(relayAppend, RelayArgs{records}, &reply, make(chan *rpc.Call, 1))
	select {
	case <-ctx.Done():
		r.rest(c, address, ctx.Err())
		return fault.Wrap(ctx.Err(), fault.OutcomeUnknown, "no answer of the leader")
	case <-call.Done:
	}
	if call.Error != nil {
		r.rest(c, address, call.Error)
		return fault.Wrap(call.Error, fault.OutcomeUnknown, "the leader broke off")
	}
	if k := fault.ParseKind(reply.Kind); k != fault.None {
		return fault.New(k, "append of the leader failed")
	}
	return nil
}

// connect returns the connection to the leader at address, or an error of kind fault.NotReady.
func (r *Relay) connect(ctx context.Context, address string) (*rpc.Client, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.address != address {
		r.drop()
		r.address, r.resting = address, time.Time{}
	}
	if r.client != nil {
		return r.client, nil
	}
	if time.Now().Before(r.resting) {
		return nil, fault.New(fault.NotReady, "the leader was not reached lately")
	}
	ctx, cancel := context.WithTimeout(ctx, relayDial)
	defer cancel()
	conn, err := r.cfg.Dial(ctx, relayTransport, address)
	if err != nil {
		r.resting = time.Now().Add(relayRest)
		r.cfg.Logger.Warn("leader not reached, this host appends itself", "Leader", address, "For", relayRest, "Error", err)
		return nil, fault.Wrap(err, fault.NotReady, "leader at %s not reached", address)
	}
	r.client = rpc.NewClient(conn)
	return r.client, nil
}

// rest drops a connection that failed and leaves the leader alone for a while.
func (r *Relay) rest(c *rpc.Client, address string, cause error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.client != c {
		return
	}
	r.drop()
	r.resting = time.Now().Add(relayRest)
	r.cfg.Logger.Warn("leader does not answer, this host appends itself", "Leader", address, "For", relayRest, "Error", cause)
}

// drop closes the connection; r.mu must be held.
func (r *Relay) drop() {
	if r.client == nil {
		return
	}
	if err := r.client.Close(); err != nil && !errors.Is(err, rpc.ErrShutdown) {
		r.cfg.Logger.Debug("connection to the leader not closed", "Leader", r.address, "Error", err)
	}
	r.client = nil
}

// relayed takes the calls of relays; net/rpc exposes its methods.
type relayed struct {
	group *Group
}

// Append appends the records that another host handed over.
func (s *relayed) Append(args RelayArgs, reply *RelayReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), relayWork)
	defer cancel()
	reply.Kind = fault.Of(s.group.Append(ctx, args.Records...)).String()
	return nil
}

// ServeRelay appends the records that other hosts hand over on ln through g, until ctx ends.
func ServeRelay(ctx context.Context, ln net.Listener, g *Group, logger *slog.Logger) error {
	srv := rpc.NewServer()
	if err := srv.RegisterName(relayService, &relayed{g}); err != nil {
		return fault.Wrap(err, fault.Internal, "relay not registered")
	}
	context.AfterFunc(ctx, func() { closeQuietly(ln, logger) })
	slots := make(chan struct{}, maxRelayConns)
	for {
		conn, err := ln.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return fault.Wrap(err, fault.Internal, "relay stopped accepting")
		}
		select {
		case slots <- struct{}{}:
		default:
			logger.Warn("connection of a host refused", "Open", maxRelayConns)
			closeQuietly(conn, logger)
			continue
		}
		go func() {
			defer func() { <-slots }()
			defer context.AfterFunc(ctx, func() { closeQuietly(conn, logger) })()
			srv.ServeConn(conn)
		}()
	}
}

func closeQuietly(c io.Closer, logger *slog.Logger) {
	if err := c.Close(); err != nil {
		logger.Debug("not closed", "Error", err)
	}
}
