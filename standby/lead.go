package standby

import (
	"context"
	"time"

	"persimmonpick/ledger"
)

// handleHeartbeat answers a member.
func (a *Node) handleHeartbeat(args HeartbeatArgs, now time.Time) HeartbeatReply {
	_, reads := a.cfg.Fold.Position()
	r := HeartbeatReply{Leader: a.Leader(), Reads: reads, Age: a.cfg.Fold.Age(), Leading: a.cfg.Leading()}
	a.mu.Lock()
	defer a.mu.Unlock()
	r.Standbys = a.standbys
	if !r.Leading {
		return r
	}
	a.ensureMembership(r.Leader.Epoch, now)
	r.Follow = a.membership.recordHeartbeat(args.Member, args.Reads, now)
	r.Every = a.membership.interval()
	return r
}

// ensureMembership begins a new list of members with each epoch of this host; a.mu must be held.
func (a *Node) ensureMembership(epoch ledger.Epoch, now time.Time) {
	if a.membership == nil || a.membership.epoch != epoch {
		a.membership = newMembership(epoch, a.standbys, now)
	}
}

// leaderRound chooses the standbys while this host leads, and leaves a hint at them.
func (a *Node) leaderRound(ctx context.Context) {
	l := a.cfg.Fold.Leader()
	a.mu.Lock()
	a.delegating, a.missedRounds, a.leader = false, 0, l
	a.ensureMembership(l.Epoch, time.Now())
	if a.membership.refresh(a.cfg.Self, time.Now()) {
		a.standbys = a.membership.standbys
		a.cfg.Logger.Info("standbys chosen", "Epoch", l.Epoch, "Standbys", hostNames(a.standbys), "Members", len(a.membership.members))
	}
	h := hint{l, a.standbys}
	stale := !h.equal(a.publishedHint)
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
	a.publishedHint = h
}

func hostNames(ms []Member) []string {
	names := make([]string, len(ms))
	for i, m := range ms {
		names[i] = m.Host
	}
	return names
}
