package ledger

import (
	"context"
	"hash/fnv"
	"log/slog"
	"time"

	"persimmonpick/fault"
)

// Timing of elections.
const (
	electorTick       = 100 * time.Millisecond
	heartbeatInterval = 400 * time.Millisecond // between records of an idle leader
	// Time without a record of the leader before other hosts claim leadership.
	leaderTimeout = 1500 * time.Millisecond
	maxSizeDelay  = 800 * time.Millisecond // largest claim delay of a host with less than one core
	maxJitter     = 250 * time.Millisecond // spreads the claims of hosts of equal size
	claimStagger  = 250 * time.Millisecond // between the claims of standbys; longer than a read and an append
	// Minimum number of reads to the end without a record of the leader, so that a host resumed from
	// suspension does not act on stale data.
	minReadsWithoutLeader = 2
	claimTimeout          = 800 * time.Millisecond
)

// ElectorConfig configures an Elector.
type ElectorConfig struct {
	Log     Log
	View    *View
	Reader  *Reader
	Host    string
	Process string  // distinguishes this process from earlier ones on the host
	Address string  // host:port that other hosts call for relayed records and queries; empty for none
	Size    float64 // cores available to this host, may be a fraction; larger hosts claim leadership first
	// Rank returns the position of this host among those that claim leadership before all others, from 0, and whether
	// it has one; nil means that it has none.
	Rank func() (rank int, known bool)
	// Lead runs while this host leads; it must return once ctx ends.
	Lead   func(ctx context.Context, w *Writer)
	Logger *slog.Logger
}

// Elector claims leadership for this host when there is no leader.
type Elector struct {
	cfg     ElectorConfig
	claimed Epoch // highest epoch that this process has claimed
	lost    Epoch // highest epoch in which this process led and lost leadership
}

// NewElector returns an Elector whose Run must be called.
func NewElector(cfg ElectorConfig) *Elector { return &Elector{cfg: cfg} }

// Run claims leadership when there is no leader and leads once elected. It resigns when ctx ends.
func (e *Elector) Run(ctx context.Context) {
	var vacantSince time.Time
	for ctx.Err() == nil {
		Sleep(ctx, electorTick)
		if w := e.elected(); w != nil {
			e.lead(ctx, w)
			vacantSince = time.Time{}
			continue
		}
		if !e.vacant() {
			vacantSince = time.Time{}
			continue
		}
		if vacantSince.IsZero() {
			vacantSince = time.Now()
		}
		if time.Since(vacantSince) >= e.claimDelay() {
			e.claim(ctx)
		}
	}
}

// elected returns a Writer if the topic names this process as the leader, and nil otherwise.
func (e *Elector) elected() *Writer {
	l := e.cfg.View.Leader()
	if l.Host != e.cfg.Host || l.Process != e.cfg.Process || l.Epoch <= e.lost {
		return nil
	}
	return newWriter(e.cfg, l)
}

// vacant reports whether there is no leader, as far as this host knows.
func (e *Elector) vacant() bool {
	v := e.cfg.View
	if _, loaded := v.Position(); !loaded || e.cfg.Reader.Failing() {
		return false
	}
	l := v.Leader()
	if l.Host == "" || l.Host == e.cfg.Host && l.Process != e.cfg.Process {
		return true // resigned, never elected, or an earlier process of this host
	}
	lastRecord, reads := v.LeaderActivity()
	return reads >= minReadsWithoutLeader && time.Since(lastRecord) > leaderTimeout
}

// claimDelay returns how long this host leaves a vacancy to hosts that claim before it: the standbys in their order,
// else the larger hosts.
func (e *Elector) claimDelay() time.Duration {
	if e.cfg.Rank != nil {
		if rank, known := e.cfg.Rank(); known {
			return time.Duration(rank) * claimStagger
		}
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(e.cfg.Process)) // a hash never returns an error
	small := 1 - min(1, e.cfg.Size)
	return time.Duration(small*small*float64(maxSizeDelay)) + time.Duration(h.Sum32())%maxJitter
}

// claim appends a leader record under the next epoch. Of simultaneous claims under one epoch the log keeps the first
// and takes the others for repetitions; the view then tells who leads. The claim does not depend on the end of the
// topic, which records of callers move faster than a slow log answers.
func (e *Elector) claim(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	if err := e.cfg.Reader.Refresh(ctx); err != nil || !e.vacant() {
		return
	}
	l := Leader{Host: e.cfg.Host, Process: e.cfg.Process, Epoch: max(e.cfg.View.Leader().Epoch, e.claimed) + 1, Address: e.cfg.Address}
	e.claimed = l.Epoch
	r, err := encode(leaderKey, l)
	if err == nil {
		err = e.cfg.Log.Append(ctx, Append{
			Topic: JobTopic, Producer: leaderProducer, Epoch: l.Epoch, Records: []Record{r},
		})
	}
	e.cfg.Logger.Info("leadership claim sent", "Epoch", l.Epoch, "Error", err)
	if err != nil && fault.Of(err) != fault.OutcomeUnknown {
		return
	}
	if err := e.cfg.Reader.Refresh(ctx); err != nil {
		e.cfg.Logger.Warn("outcome of the election cannot be read yet", "Epoch", l.Epoch, "Error", err)
	}
}

// lead runs the leader until it is superseded or ctx ends.
func (e *Elector) lead(ctx context.Context, w *Writer) {
	e.cfg.Reader.SetLeading(true)
	defer e.cfg.Reader.SetLeading(false)
	e.cfg.Logger.Info("leading", "Epoch", w.leader.Epoch)
	leadCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.run(leadCtx, cancel)
	}()
	e.ensureLoaded(leadCtx)
	e.cfg.Lead(leadCtx, w)
	cancel()
	<-done
	e.lost = max(e.lost, w.leader.Epoch)
	e.cfg.Logger.Info("leadership ended", "Epoch", w.leader.Epoch, "Displaced", w.Superseded())
}

// ensureLoaded loads the view if it was unloaded after the election.
func (e *Elector) ensureLoaded(ctx context.Context) {
	for ctx.Err() == nil {
		if _, loaded := e.cfg.View.Position(); loaded {
			return
		}
		if err := e.cfg.Reader.Refresh(ctx); err != nil {
			e.cfg.Logger.Warn("new leader cannot load the topic yet", "Error", err)
			Sleep(ctx, retryDelay)
		}
	}
}
