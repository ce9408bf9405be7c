package standby

import (
	"context"
	"time"

	"persimmonpick/ledger"
)

// answer answers a member.
func (a *Attachment) answer(args AttendArgs, now time.Time) AttendReply {
	_, reads := a.cfg.Fold.Position()
	r := AttendReply{Leader: a.Leader(), Reads: reads, Age: a.cfg.Fold.Age(), Leading: a.cfg.Leading()}
	a.mu.Lock()
	defer a.mu.Unlock()
	r.Standbys = a.standbys
	if !r.Leading {
		return r
	}
	a.call(r.Leader.Epoch, now)
	r.Follow = a.roll.attend(args.Member, args.Reads, now)
	r.Every = a.roll.every()
	return r
}

// call begins a new roll with each lead; a.mu must be held.
func (a *Attachment) call(epoch ledger.Epoch, now time.Time) {
	if a.roll == nil || a.roll.epoch != epoch {
		a.roll = newRoll(epoch, a.standbys, now)
	}
}

// lead chooses the standbys while this host leads, and leaves a hint at them.
func (a *Attachment) lead(ctx context.Context) {
	l := a.cfg.Fold.Leader()
	a.mu.Lock()
	a.attached, a.missed, a.leader = false, 0, l
	a.call(l.Epoch, time.Now())
	if a.roll.settle(a.cfg.Self, time.Now()) {
		a.standbys = a.roll.standbys
		a.cfg.Logger.Info("standbys chosen", "Epoch", l.Epoch, "Standbys", hosts(a.standbys), "Members", len(a.roll.members))
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
