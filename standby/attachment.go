package standby

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"persimmonpick/ledger"
	"persimmonpick/peer"
)

// The timing of a host that asks others.
const (
	callTimeout    = 400 * time.Millisecond  // of a question to another host; many round trips between availability zones
	linkDial       = 250 * time.Millisecond  // several round trips
	linkRest       = 500 * time.Millisecond  // a host that failed is left alone for this long; a new process tries again within discoverFor
	viewOldest     = 2 * time.Second         // a host with an older view of the log is not asked; counts may be as old
	heartbeatRetry = 200 * time.Millisecond  // after a round in which nobody answered
	missedMost     = 2                       // rounds without an answer before the host reads the log itself
	followLeast    = 3 * time.Second         // a host that had to read the log goes on for at least this long
	discoverFor    = 1500 * time.Millisecond // a new process looks for a host to ask; larger hosts have read the log by then
	discoverRetry  = 150 * time.Millisecond  // between attempts of a new process
	hintTimeout    = 800 * time.Millisecond  // of a read or a write of the hint
)

// Config configures an Attachment.
type Config struct {
	Self    Member
	Log     ledger.Log
	Fold    *ledger.View
	Leading func() bool // whether this host leads
	Dial    peer.DialFunc
	Observe func(err error, took time.Duration) // called for each question to another host
	Logger  *slog.Logger
}

// Node says which hosts read the log, and whether this one has to; its methods may be called from any goroutine.
type Node struct {
	cfg        Config
	discovered chan struct{} // closed when a new process has found a host to ask, or reads the log

	mu          sync.Mutex
	leader      ledger.Leader // newest that other hosts named
	standbys    []Member      // that the newest known leader has chosen
	last        Member        // that could be asked lately; may be neither of them after the leader has changed
	attached    bool
	away        bool // the log, for this host and for those that read it
	discovering bool
	chosen      bool // the leader wants this host to read the log
	missed      int  // rounds in a row without an answer
	followUntil time.Time
	links       map[string]*peer.Link // by address
	members     *membership           // of the newest lead of this host
	published   hint
}

// New returns an attachment whose Run must be called.
func New(cfg Config) *Node {
	return &Node{cfg: cfg, discovered: make(chan struct{}), discovering: true, links: map[string]*peer.Link{}}
}

// Idle says whether this host need not read the log.
func (a *Node) Idle() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.attached || a.discovering
}

// Delegating says whether this host answers callers by asking other hosts.
func (a *Node) Delegating() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.attached
}

// Source returns the host that answered last where this one asks others, or nothing where it reads the log itself.
func (a *Node) Source() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.attached {
		return ""
	}
	return a.last.Host
}

// Leader returns the newest leader that this host has heard of, from the log or from other hosts.
func (a *Node) Leader() ledger.Leader {
	l := a.cfg.Fold.Leader()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leader.Epoch > l.Epoch {
		return a.leader
	}
	return l
}

// Run sends heartbeats to the hosts that read the log until ctx ends.
func (a *Node) Run(ctx context.Context) {
	a.discover(ctx)
	for ctx.Err() == nil {
		ledger.Sleep(ctx, a.round(ctx))
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, l := range a.links {
		l.Close()
	}
}

// discover looks for a host to ask before this process reads the log: after a loss of power all hosts would load it at once.
func (a *Node) discover(ctx context.Context) {
	defer close(a.discovered)
	defer func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.discovering = false
	}()
	for end := time.Now().Add(discoverFor); ctx.Err() == nil && time.Now().Before(end); ledger.Sleep(ctx, discoverRetry) {
		h, found, err := a.readHint(ctx)
		if err != nil {
			a.cfg.Logger.Debug("hint not read", "Error", err)
			continue
		}
		if !found {
			return
		}
		named := a.named(h)
		a.mu.Lock()
		a.leader, a.standbys, a.chosen = h.Leader, h.Standbys, named
		a.mu.Unlock()
		if named {
			return
		}
		for ctx.Err() == nil && time.Now().Before(end) {
			a.round(ctx)
			if a.Delegating() {
				return
			}
			ledger.Sleep(ctx, discoverRetry)
		}
	}
}

func (a *Node) readHint(ctx context.Context) (hint, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, hintTimeout)
	defer cancel()
	return readHint(ctx, a.cfg.Log)
}

// named says whether h names this host, so that others wait for it to read the log.
func (a *Node) named(h hint) bool {
	named := h.Leader.Host == a.cfg.Self.Host
	for _, s := range h.Standbys {
		named = named || s.Host == a.cfg.Self.Host
	}
	return named
}

// round sends one heartbeat to the leader, or else to the standbys; it returns when to send the next.
func (a *Node) round(ctx context.Context) time.Duration {
	if a.cfg.Leading() {
		a.lead(ctx)
		return heartbeatPeriod
	}
	var asked Member
	heard := false // from a host whose view is too old
	for {
		l := a.Leader()
		if l.Address == "" || l.Address == asked.Address || l.Host == a.cfg.Self.Host {
			break
		}
		asked = Member{Host: l.Host, Address: l.Address}
		r, err := a.heartbeat(ctx, asked.Address)
		if err != nil {
			break
		}
		a.take(r)
		if !r.usable() {
			heard = heard || r.Reads
			continue
		}
		a.answered(r, asked)
		if r.Leading {
			return r.Every
		}
	}
	r, m, ok := a.heartbeatStandbys(ctx, asked.Address)
	if ok {
		a.answered(r, m)
		return heartbeatPeriod
	}
	if (heard || r.Reads) && a.Delegating() && a.logAway(ctx) {
		return heartbeatRetry
	}
	return a.unanswered()
}

// logAway says whether this host cannot reach the log either, as those that read it; it had nothing to gain from reading the log then, and would load all of it once the log is back.
func (a *Node) logAway(ctx context.Context) bool {
	_, _, err := a.readHint(ctx)
	a.mu.Lock()
	defer a.mu.Unlock()
	if away := err != nil; away != a.away {
		a.away = away
		a.cfg.Logger.Warn("log away for those that read it", "AlsoFromHere", away, "Error", err)
	}
	return a.away
}

// LogUnavailable says whether this host leaves the log to others and nobody reaches it.
func (a *Node) LogUnavailable() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.attached && a.away
}

// heartbeatStandbys sends a heartbeat to all standbys but the one at the address that was asked already, and returns the first usable answer; without one it returns any from a host that reads the log.
func (a *Node) heartbeatStandbys(ctx context.Context, but string) (HeartbeatReply, Member, bool) {
	type answer struct {
		reply  HeartbeatReply
		member Member
		err    error
	}
	targets := a.others()
	answers := make(chan answer, len(targets))
	n := 0
	for _, m := range targets {
		if m.Address == but || m.Host == a.cfg.Self.Host {
			continue
		}
		n++
		go func() {
			r, err := a.heartbeat(ctx, m.Address)
			answers <- answer{r, m, err}
		}()
	}
	var old HeartbeatReply
	for range n {
		an := <-answers
		if an.err != nil {
			continue
		}
		a.take(an.reply)
		if an.reply.usable() {
			return an.reply, an.member, true
		}
		if an.reply.Reads {
			old = an.reply
		}
	}
	return old, Member{}, false
}

// others returns the hosts but the leader that may be asked.
func (a *Node) others() []Member {
	a.mu.Lock()
	defer a.mu.Unlock()
	ms := slices.Clone(a.standbys)
	if a.last.Address != "" && !slices.ContainsFunc(ms, func(m Member) bool { return m.Address == a.last.Address }) {
		ms = append(ms, a.last)
	}
	return ms
}

func (a *Node) heartbeat(ctx context.Context, address string) (HeartbeatReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, reads := a.cfg.Fold.Position()
	var r HeartbeatReply
	err := a.link(address).Call(ctx, methodHeartbeat, HeartbeatArgs{Member: a.cfg.Self, Reads: reads}, &r)
	return r, err
}

// take takes in what another host knows of those that read the log.
func (a *Node) take(r HeartbeatReply) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.Leader.Epoch < a.leader.Epoch {
		return
	}
	a.leader = r.Leader
	if r.Leading {
		a.standbys = r.Standbys
	}
	a.forgetLinks()
}

// forgetLinks closes the links to hosts that are not asked any more; a.mu must be held.
func (a *Node) forgetLinks() {
	wanted := map[string]bool{a.leader.Address: true, a.cfg.Fold.Leader().Address: true, a.last.Address: true}
	for _, s := range a.standbys {
		wanted[s.Address] = true
	}
	for address, l := range a.links {
		if !wanted[address] {
			l.Close()
			delete(a.links, address)
		}
	}
}

// answered notes that another host can be asked; a host that the leader has chosen goes on reading the log.
func (a *Node) answered(r HeartbeatReply, by Member) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.missed, a.away, a.last = 0, false, by
	if r.Leading {
		a.chosen = r.Follow
	}
	attach := !a.chosen && time.Now().After(a.followUntil)
	if attach == a.attached {
		return
	}
	a.attached = attach
	if attach {
		a.cfg.Logger.Info("log left to other hosts", "Host", by.Host, "Leading", r.Leading, "ViewAge", r.Age.Round(time.Millisecond), "Epoch", r.Leader.Epoch)
	} else {
		a.cfg.Logger.Info("chosen to read the log", "Host", by.Host, "Epoch", r.Leader.Epoch)
	}
}

// unanswered notes that nobody could be asked; it returns when to try again.
func (a *Node) unanswered() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.missed++
	if !a.attached {
		return heartbeatPeriod
	}
	if a.missed >= missedMost {
		a.detach("no host with a new view answers")
	}
	return heartbeatRetry
}

// detach has this host read the log itself for a while; a.mu must be held.
func (a *Node) detach(why string) {
	a.attached, a.away, a.followUntil = false, false, time.Now().Add(followLeast)
	a.cfg.Logger.Warn("this host reads the log itself", "Why", why, "Leader", a.leader.Host, "Epoch", a.leader.Epoch, "AtLeast", followLeast)
}
