package ledger

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"persimmonpick/fault"
	"persimmonpick/peer"
)

// The bounds of records on their way through the leader.
const (
	relayTimeout = 1800 * time.Millisecond // of a call; leaves a caller's usual deadline time for an append of our own
	relayWork    = 1500 * time.Millisecond // after which the leader answers that the outcome is unknown
	relayDial    = 300 * time.Millisecond  // many round trips between availability zones
	relayRest    = 3 * time.Second         // a leader that was not reached is left alone for this long; an election is over by then
)

// RelayService is the name under which a RelayServer is served to other hosts.
const RelayService = "Relay"

const relayAppend = RelayService + ".Append"

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
	Dial    peer.DialFunc // nil for plain TCP
	Observe func(err error, took time.Duration)
	Logger  *slog.Logger
}

// Relay hands records to the leader, whose appends carry those of all hosts: a log that answers slowly takes only a few appends a second.
type Relay struct {
	cfg RelayConfig

	mu      sync.Mutex
	address string
	link    *peer.Link
}

// NewRelay returns a relay that is not connected yet.
func NewRelay(cfg RelayConfig) *Relay { return &Relay{cfg: cfg} }

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
	var reply RelayReply
	if err := r.to(address).Call(ctx, relayAppend, RelayArgs{records}, &reply); err != nil {
		return err
	}
	if k := fault.ParseKind(reply.Kind); k != fault.None {
		return fault.New(k, "append of the leader failed")
	}
	return nil
}

// to returns the link to the leader at address.
func (r *Relay) to(address string) *peer.Link {
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
		Address: address, Dial: r.cfg.Dial, DialTimeout: relayDial, Rest: relayRest, Logger: r.cfg.Logger,
	})
	return r.link
}

// RelayServer takes the calls of relays; net/rpc exposes its methods.
type RelayServer struct {
	group *Appender
}

// NewRelayServer returns a server that appends through g.
func NewRelayServer(g *Appender) *RelayServer { return &RelayServer{g} }

// Append appends the records that another host handed over.
func (s *RelayServer) Append(args RelayArgs, reply *RelayReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), relayWork)
	defer cancel()
	reply.Kind = fault.Of(s.group.Append(ctx, args.Records...)).String()
	return nil
}
