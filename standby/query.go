package standby

import (
	"context"
	"hash/fnv"
	"time"

	"persimmonpick/fault"
	"persimmonpick/peer"
)

// Query runs call against the leader, or against standbys if that fails, until one returns success or
// fault.NotFound. It fails with fault.NotReady if this host reads the log itself, which it also starts to do
// once no host answers, and with fault.LogUnavailable while no log reader reaches the log.
func (n *Node) Query(ctx context.Context, call func(ctx context.Context, l *peer.Link) error) error {
	select {
	case <-n.discovered:
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), fault.NotReady, "no host to ask was found yet")
	}
	if !n.Delegating() {
		return fault.New(fault.NotReady, "this host reads the log itself")
	}
	readerAnswered := false
	for _, address := range n.targets() {
		began := time.Now()
		err := n.queryHost(ctx, address, call)
		n.cfg.Observe(err, time.Since(began))
		if k := fault.Of(err); k == fault.None || k == fault.NotFound {
			return err
		}
		readerAnswered = readerAnswered || fault.Of(err) == fault.LogUnavailable
		n.cfg.Logger.Info("query failed", "Host", address, "Took", time.Since(began).Round(time.Millisecond), "Error", err)
		if ctx.Err() != nil {
			return fault.Wrap(ctx.Err(), fault.NotReady, "no host answered in time")
		}
	}
	if n.LogUnavailable() || readerAnswered && n.checkLogUnavailable(ctx) {
		return fault.New(fault.LogUnavailable, "nobody reaches the log")
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.delegating {
		n.startReading("no host answers questions")
	}
	return fault.New(fault.NotReady, "no host answers")
}

func (n *Node) queryHost(ctx context.Context, address string, call func(ctx context.Context, l *peer.Link) error) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return call(ctx, n.link(address))
}

// targets returns the addresses to query, in order: first the leader, whose view is the most complete, then
// the standbys, starting at one that depends on this host so that their load is spread.
func (n *Node) targets() []string {
	l := n.Leader()
	var ts []string
	if l.Address != "" {
		ts = append(ts, l.Address)
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(n.cfg.Self.Host)) // a hash never returns an error
	others := n.candidates()
	for i := range others {
		m := others[(i+int(h.Sum32()%uint32(len(others))))%len(others)]
		if m.Address != l.Address && m.Host != n.cfg.Self.Host {
			ts = append(ts, m.Address)
		}
	}
	return ts
}

func (n *Node) link(address string) *peer.Link {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.links[address]
	if l == nil {
		l = peer.NewLink(peer.LinkConfig{Address: address, Dial: n.cfg.Dial, DialTimeout: linkDialTimeout, Backoff: linkBackoff, Logger: n.cfg.Logger})
		n.links[address] = l
	}
	return l
}
