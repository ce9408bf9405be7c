package ledger

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"persimmonpick/fault"
	"persimmonpick/peer"
)

// Timeouts of records relayed through the leader.
const (
	// Bounds a call; leaves time for a direct append within the usual deadline of a caller.
	relayTimeout       = 1800 * time.Millisecond
	relayAppendTimeout = 1500 * time.Millisecond // after this the leader replies that the outcome is unknown
	relayDialTimeout   = 300 * time.Millisecond  // many round trips between availability zones
	// Time before an unreachable leader is called again; an election is over by then.
	relayBackoff = 3 * time.Second
)

// RelayService is the name under which a RelayServer is served to other hosts.
const RelayService = "Relay"

const relayAppendMethod = RelayService + ".Append"

// RelayArgs holds the records that a host sends to the leader.
type RelayArgs struct {
	Records []Record
}

// RelayReply is the result of the leader's append.
type RelayReply struct {
	Kind string // kind of the error; see fault.Kind
}

// RelayConfig configures a Relay.
type RelayConfig struct {
	Host    string
	Leader  func() Leader
	Dial    peer.DialFunc // nil for plain TCP
	Observe func(err error, took time.Duration)
	Logger  *slog.Logger
}

// Relay sends records to the leader, which batches those of all hosts: a log that responds slowly accepts only
// a few appends per second.
type Relay struct {
	cfg RelayConfig

	mu      sync.Mutex
	address string
	link    *peer.Link
}

// NewRelay returns a Relay that is not connected yet.
func NewRelay(cfg RelayConfig) *Relay { return &Relay{cfg: cfg} }

// Append has the leader append records. It fails with fault.NotReady if they were not sent, with
// fault.OutcomeUnknown if they may be in the log, and with another kind if they are not.
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
	var reply RelayReply
	if err := r.linkTo(address).Call(ctx, relayAppendMethod, RelayArgs{records}, &reply); err != nil {
		return err
	}
	if k := fault.ParseKind(reply.Kind); k != fault.None {
		return fault.New(k, "append of the leader failed")
	}
	return nil
}

// linkTo returns the link to the leader at address.
func (r *Relay) linkTo(address string) *peer.Link {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.link != nil && r.address == address {
		return r.link
	}
	if r.link != nil {
		r.link.Close()
	}
	r.address = address
	r.link = peer.NewLink(peer.LinkConfig{
		Address: address, Dial: r.cfg.Dial, DialTimeout: relayDialTimeout, Backoff: relayBackoff, Logger: r.cfg.Logger,
	})
	return r.link
}

// RelayServer serves the calls of relays; net/rpc exposes its methods.
type RelayServer struct {
	appender *Appender
}

// NewRelayServer returns a RelayServer that appends through a.
func NewRelayServer(a *Appender) *RelayServer { return &RelayServer{a} }

// Append appends records relayed by another host.
func (s *RelayServer) Append(args RelayArgs, reply *RelayReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), relayAppendTimeout)
	defer cancel()
	reply.Kind = fault.Of(s.appender.Append(ctx, args.Records...)).String()
	return nil
}
