package standby

import (
	"context"
	"time"

	"persimmonpick/ledger"
)

// handleHeartbeat records the heartbeat of a member if this host leads, and returns the reply to it.
func (n *Node) handleHeartbeat(args HeartbeatArgs, now time.Time) HeartbeatReply {
	_, reads := n.cfg.View.Position()
	r := HeartbeatReply{Leader: n.Leader(), Reads: reads, Age: n.cfg.View.Age(), Leading: n.cfg.Leading()}
	n.mu.Lock()
	defer n.mu.Unlock()
	r.Standbys = n.standbys
	if !r.Leading {
		return r
	}
	n.ensureMembership(r.Leader.Epoch, now)
	r.Follow = n.membership.recordHeartbeat(args.Member, args.Reads, now)
	r.Every = n.membership.interval()
	return r
}

// ensureMembership starts a new membership with each epoch led by this host; n.mu must be held.
func (n *Node) ensureMembership(epoch ledger.Epoch, now time.Time) {
	if n.membership == nil || n.membership.epoch != epoch {
		n.membership = newMembership(epoch, n.standbys, now)
	}
}

// leaderRound chooses the standbys while this host leads, and publishes them in the hint.
func (n *Node) leaderRound(ctx context.Context) {
	l := n.cfg.View.Leader()
	n.mu.Lock()
	n.delegating, n.missedRounds, n.leader = false, 0, l
	n.ensureMembership(l.Epoch, time.Now())
	if n.membership.refresh(n.cfg.Self, time.Now()) {
		n.standbys = n.membership.standbys
		n.cfg.Logger.Info("standbys chosen", "Epoch", l.Epoch, "Standbys", hostNames(n.standbys), "Members", len(n.membership.members))
	}
	h := hint{l, n.standbys}
	stale := !h.equal(n.publishedHint)
	n.mu.Unlock()
	if !stale {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, hintTimeout)
	defer cancel()
	if err := writeHint(ctx, n.cfg.Log, h); err != nil {
		n.cfg.Logger.Warn("failed to write the hint of the log readers", "Error", err)
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.publishedHint = h
}

func hostNames(ms []Member) []string {
	names := make([]string, len(ms))
	for i, m := range ms {
		names[i] = m.Host
	}
	return names
}
