package standby

import (
	"context"
	"hash/fnv"
	"time"

	"persimmonpick/fault"
	"persimmonpick/peer"
)

// Query has call made to the leader, or to a standby where that fails, until one answers with success or with fault.NotFound. It fails with fault.NotReady where this host reads the log itself, which it also does once nobody answers, and with fault.LogUnavailable while nobody reaches the log.
func (a *Node) Query(ctx context.Context, call func(ctx context.Context, l *peer.Link) error) error {
	select {
	case <-a.discovered:
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), fault.NotReady, "no host to ask was found yet")
	}
	if !a.Delegating() {
		return fault.New(fault.NotReady, "this host reads the log itself")
	}
	heard := false
	for _, address := range a.targets() {
		began := time.Now()
		err := a.ask(ctx, address, call)
		a.cfg.Observe(err, time.Since(began))
		if k := fault.Of(err); k == fault.None || k == fault.NotFound {
			return err
		}
		heard = heard || fault.Of(err) == fault.LogUnavailable
		a.cfg.Logger.Info("question not answered", "Host", address, "Took", time.Since(began).Round(time.Millisecond), "Error", err)
		if ctx.Err() != nil {
			return fault.Wrap(ctx.Err(), fault.NotReady, "no host answered in time")
		}
	}
	if a.LogUnavailable() || heard && a.logAway(ctx) {
		return fault.New(fault.LogUnavailable, "nobody reaches the log")
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.attached {
		a.detach("no host answers questions")
	}
	return fault.New(fault.NotReady, "no host answers")
}

func (a *Node) ask(ctx context.Context, address string, call func(ctx context.Context, l *peer.Link) error) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return call(ctx, a.link(address))
}

// targets returns the addresses to ask, in order: the leader knows most, and the others share what is left.
func (a *Node) targets() []string {
	l := a.Leader()
	var ts []string
	if l.Address != "" {
		ts = append(ts, l.Address)
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(a.cfg.Self.Host)) // a hash never fails
	others := a.others()
	for i := range others {
		m := others[(i+int(h.Sum32()%uint32(len(others))))%len(others)]
		if m.Address != l.Address && m.Host != a.cfg.Self.Host {
			ts = append(ts, m.Address)
		}
	}
	return ts
}

func (a *Node) link(address string) *peer.Link {
	a.mu.Lock()
	defer a.mu.Unlock()
	l := a.links[address]
	if l == nil {
		l = peer.NewLink(peer.LinkConfig{Address: address, Dial: a.cfg.Dial, DialTimeout: linkDial, Rest: linkRest, Logger: a.cfg.Logger})
		a.links[address] = l
	}
	return l
}
