package standby

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"persimmonpick/ledger"
	"persimmonpick/peer"
	"persimmonpick/table"
)

// Timing of hosts that query others.
const (
	// Bounds a query to another host; many round trips between availability zones.
	callTimeout     = 400 * time.Millisecond
	linkDialTimeout = 250 * time.Millisecond // several round trips
	// Time before a failed host is called again; short enough for a new process to retry within discoverTimeout.
	linkBackoff = 500 * time.Millisecond
	// Hosts with an older view of the log are not queried; pending counts may be as old.
	maxViewAge          = 2 * time.Second
	heartbeatRetryDelay = 200 * time.Millisecond // after a round without a usable reply
	maxMissedRounds     = 2                      // rounds without a usable reply before the host reads the log itself
	// A host that had to read the log itself does so for at least this long.
	minReadDuration = 3 * time.Second
	// How long a new process looks for a host to query; larger hosts have read the log by then.
	discoverTimeout    = 1500 * time.Millisecond
	discoverRetryDelay = 150 * time.Millisecond // between attempts of a new process
	hintTimeout        = 800 * time.Millisecond // of reading or writing the hint
)

// Config configures a Node.
type Config struct {
	Self    Member
	Log     ledger.Log
	View    *ledger.View
	Leading func() bool // reports whether this host is the leader
	Dial    peer.DialFunc
	Observe func(err error, took time.Duration) // called after each query to another host
	Logger  *slog.Logger
}

// Node tracks which hosts read the log and decides whether this host reads it itself or queries the others.
// Its methods may be called from any goroutine.
type Node struct {
	cfg        Config
	discovered chan struct{} // closed once a new process has found a host to query or reads the log itself

	mu       sync.Mutex
	leader   ledger.Leader // newest leader reported by other hosts
	standbys []Member      // chosen by the newest known leader
	// Last host that could be queried; may be neither leader nor standby after a leader change.
	lastSource     Member
	delegating     bool
	logUnavailable bool // for this host and for the log readers
	discovering    bool
	chosen         bool // the leader has chosen this host to read the log
	missedRounds   int  // consecutive rounds without a usable reply
	readUntil      time.Time
	links          map[string]*peer.Link // by address
	membership     *membership           // of the latest epoch led by this host
	publishedHint  hint
}

// New returns a Node whose Run must be called.
func New(cfg Config) *Node {
	return &Node{cfg: cfg, discovered: make(chan struct{}), discovering: true, links: map[string]*peer.Link{}}
}

// Idle reports whether this host need not read the log.
func (n *Node) Idle() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.delegating || n.discovering
}

// Delegating reports whether this host answers callers by querying other hosts.
func (n *Node) Delegating() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.delegating
}

// Source returns the host that answered last if this one queries others, and "" if it reads the log itself.
func (n *Node) Source() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.delegating {
		return ""
	}
	return n.lastSource.Host
}

// Leader returns the newest leader known to this host, from the log or from other hosts.
func (n *Node) Leader() ledger.Leader {
	l := n.cfg.View.Leader()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.leader.Epoch > l.Epoch {
		return n.leader
	}
	return l
}

// ClaimRank returns the position of this host among the standbys, the largest first, and whether it is one.
func (n *Node) ClaimRank() (rank int, known bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	byClaim := slices.Clone(n.standbys)
	slices.SortStableFunc(byClaim, func(a, b Member) int { return cmp.Compare(b.Size, a.Size) })
	rank = slices.IndexFunc(byClaim, func(m Member) bool { return m.Host == n.cfg.Self.Host })
	return rank, rank >= 0
}

// Run sends heartbeats to the log readers until ctx ends.
func (n *Node) Run(ctx context.Context) {
	n.discover(ctx)
	for ctx.Err() == nil {
		ledger.Sleep(ctx, n.round(ctx))
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.links {
		l.Close()
	}
}

// discover looks for a host to query before this process reads the log. Without it all hosts would load the
// log at once after a power failure.
func (n *Node) discover(ctx context.Context) {
	defer close(n.discovered)
	defer func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.discovering = false
	}()
	for end := time.Now().Add(discoverTimeout); ctx.Err() == nil && time.Now().Before(end); ledger.Sleep(ctx, discoverRetryDelay) {
		h, found, err := n.readHint(ctx)
		if err != nil {
			n.cfg.Logger.Debug("failed to read the hint of the log readers", "Error", err)
			continue
		}
		if !found {
			return
		}
		named := n.isNamedIn(h)
		n.mu.Lock()
		n.leader, n.standbys, n.chosen = h.Leader, h.Standbys, named
		n.mu.Unlock()
		if named {
			return
		}
		for ctx.Err() == nil && time.Now().Before(end) {
			n.round(ctx)
			if n.Delegating() {
				return
			}
			ledger.Sleep(ctx, discoverRetryDelay)
		}
	}
}

func (n *Node) readHint(ctx context.Context) (hint, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, hintTimeout)
	defer cancel()
	return readHint(ctx, n.cfg.Log)
}

// isNamedIn reports whether h names this host, in which case other hosts wait for it to read the log.
func (n *Node) isNamedIn(h hint) bool {
	named := h.Leader.Host == n.cfg.Self.Host
	for _, s := range h.Standbys {
		named = named || s.Host == n.cfg.Self.Host
	}
	return named
}

// round sends one heartbeat to the leader or, failing that, to the standbys. It returns the time until the
// next one.
func (n *Node) round(ctx context.Context) time.Duration {
	if n.cfg.Leading() {
		n.leaderRound(ctx)
		return heartbeatPeriod
	}
	var queried Member
	readerAnswered := false // a log reader answered, but its view is too old
	for {
		l := n.Leader()
		if l.Address == "" || l.Address == queried.Address || l.Host == n.cfg.Self.Host {
			break
		}
		queried = Member{Host: l.Host, Address: l.Address}
		r, err := n.heartbeat(ctx, queried.Address)
		if err != nil {
			break
		}
		n.mergeReply(r)
		if !r.usable() {
			readerAnswered = readerAnswered || r.Reads
			continue
		}
		n.handleUsableReply(r, queried)
		if r.Leading {
			return r.Every
		}
	}
	r, m, ok := n.heartbeatStandbys(ctx, queried.Address)
	if ok {
		n.handleUsableReply(r, m)
		return heartbeatPeriod
	}
	if (readerAnswered || r.Reads) && n.Delegating() && n.checkLogUnavailable(ctx) {
		return heartbeatRetryDelay
	}
	return n.handleNoUsableReply()
}

// checkLogUnavailable reports whether this host cannot reach the log either. Reading the log itself would gain
// nothing then, and would make this host load all of it once the log is back.
func (n *Node) checkLogUnavailable(ctx context.Context) bool {
	_, _, err := n.readHint(ctx)
	n.mu.Lock()
	defer n.mu.Unlock()
	if unavailable := err != nil; unavailable != n.logUnavailable {
		n.logUnavailable = unavailable
		n.cfg.Logger.Warn("log unavailable to the log readers", "AlsoFromHere", unavailable, "Error", err)
	}
	return n.logUnavailable
}

// LogUnavailable reports whether this host relies on log readers and none of them reaches the log.
func (n *Node) LogUnavailable() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.delegating && n.logUnavailable
}

// heartbeatStandbys sends a heartbeat to all standbys except the one at address except, which has been called
// already, and returns the first usable reply. Without one it returns a reply of any log reader.
func (n *Node) heartbeatStandbys(ctx context.Context, except string) (HeartbeatReply, Member, bool) {
	type result struct {
		reply  HeartbeatReply
		member Member
		err    error
	}
	targets := n.candidates()
	results := make(chan result, len(targets))
	calls := 0
	for _, m := range targets {
		if m.Address == except || m.Host == n.cfg.Self.Host {
			continue
		}
		calls++
		go func() {
			r, err := n.heartbeat(ctx, m.Address)
			results <- result{r, m, err}
		}()
	}
	var stale HeartbeatReply
	for range calls {
		res := <-results
		if res.err != nil {
			continue
		}
		n.mergeReply(res.reply)
		if res.reply.usable() {
			return res.reply, res.member, true
		}
		if res.reply.Reads {
			stale = res.reply
		}
	}
	return stale, Member{}, false
}

// candidates returns the hosts other than the leader that may be queried.
func (n *Node) candidates() []Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	ms := slices.Clone(n.standbys)
	if n.lastSource.Address != "" && !slices.ContainsFunc(ms, func(m Member) bool { return m.Address == n.lastSource.Address }) {
		ms = append(ms, n.lastSource)
	}
	return ms
}

func (n *Node) heartbeat(ctx context.Context, address string) (HeartbeatReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, reads := n.cfg.View.Position()
	var r HeartbeatReply
	err := n.link(address).Call(ctx, methodHeartbeat, HeartbeatArgs{Member: n.cfg.Self, Reads: reads}, &r)
	return r, err
}

// mergeReply updates the known leader and standbys from the reply of another host.
func (n *Node) mergeReply(r HeartbeatReply) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if r.Leader.Epoch < n.leader.Epoch {
		return
	}
	n.leader = r.Leader
	if r.Leading {
		n.standbys = r.Standbys
	}
	n.closeUnusedLinks()
}

// closeUnusedLinks closes the links to hosts that are no longer queried; n.mu must be held.
func (n *Node) closeUnusedLinks() {
	wanted := map[string]bool{n.leader.Address: true, n.cfg.View.Leader().Address: true, n.lastSource.Address: true}
	for _, s := range n.standbys {
		wanted[s.Address] = true
	}
	for address, l := range n.links {
		if !wanted[address] {
			l.Close()
			delete(n.links, address)
		}
	}
}

// handleUsableReply records that another host can be queried. A host that the leader has chosen reads the log all
// the same.
func (n *Node) handleUsableReply(r HeartbeatReply, by Member) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.missedRounds, n.logUnavailable, n.lastSource = 0, false, by
	if r.Leading {
		n.chosen = r.Follow
	}
	delegate := !n.chosen && time.Now().After(n.readUntil)
	if delegate == n.delegating {
		return
	}
	n.delegating = delegate
	if delegate {
		n.cfg.Logger.Info("delegating to log reader", "Host", by.Host, "Leading", r.Leading, "ViewAge", table.FormatAge(r.Age), "Epoch", r.Leader.Epoch)
	} else {
		n.cfg.Logger.Info("chosen as log reader", "Host", by.Host, "Epoch", r.Leader.Epoch)
	}
}

// handleNoUsableReply records that no host could be queried; it returns the time until the next attempt.
func (n *Node) handleNoUsableReply() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.missedRounds++
	if !n.delegating {
		return heartbeatPeriod
	}
	if n.missedRounds >= maxMissedRounds {
		n.startReading("no host with a new view answers")
	}
	return heartbeatRetryDelay
}

// startReading makes this host read the log itself for at least minReadDuration; n.mu must be held.
func (n *Node) startReading(why string) {
	n.delegating, n.logUnavailable, n.readUntil = false, false, time.Now().Add(minReadDuration)
	n.cfg.Logger.Warn("reading the log directly", "Why", why, "Leader", n.leader.Host, "Epoch", n.leader.Epoch, "AtLeast", minReadDuration)
}
