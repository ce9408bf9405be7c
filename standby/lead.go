package standby

import (
	"context"
	"time"

	"persimmonpick/ledger"
)

// answer answers a member.
func (a *Node) answer(args HeartbeatArgs, now time.Time) HeartbeatReply {
	_, reads := a.cfg.Fold.Position()
	r := HeartbeatReply{Leader: a.Leader(), Reads: reads, Age: a.cfg.Fold.Age(), Leading: a.cfg.Leading()}
	a.mu.Lock()
	defer a.mu.Unlock()
	r.Standbys = a.standbys
	if !r.Leading {
		return r
	}
	a.beginMembership(r.Leader.Epoch, now)
	r.Follow = a.members.heartbeat(args.Member, args.Reads, now)
	r.Every = a.members.every()
	return r
}

// beginMembership begins a new list of members with each epoch of this host; a.mu must be held.
func (a *Node) beginMembership(epoch ledger.Epoch, now time.Time) {
	if a.members == nil || a.members.epoch != epoch {
		a.members = newMembership(epoch, a.standbys, now)
	}
}

// lead chooses the standbys while this host leads, and leaves a hint at them.
func (a *Node) lead(ctx context.Context) {
	l := a.cfg.Fold.Leader()
	a.mu.Lock()
	a.attached, a.missed, a.leader = false, 0, l
	a.beginMembership(l.Epoch, time.Now())
	if a.members.settle(a.cfg.Self, time.Now()) {
		a.standbys = a.members.standbys
		a.cfg.Logger.Info("standbys chosen", "Epoch", l.Epoch, "Standbys", hosts(a.standbys), "Members", len(a.members.members))
	}
	h := hint{l, a.standbys}
	stale := !h.equal(a.published)
	a.mu.Unlock()
	if !stale {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, hintTimeout)
	defer cancel()
	if err := writeHint(ctx, a.cfg.Log, h); err != nil {
		a.cfg.Logger.Warn("hint not written", "Error", err)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.published = h
}

func hosts(ms []Member) []string {
	names := make([]string, len(ms))
	for i, m := range ms {
		names[i] = m.Host
	}
	return names
}
