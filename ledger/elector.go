package ledger

import (
	"context"
	"hash/fnv"
	"log/slog"
	"time"

	"persimmonpick/fault"
)

// The timing of elections.
const (
	electorTick   = 100 * time.Millisecond
	heartbeat     = 400 * time.Millisecond  // between records of an idle leader
	silence       = 1500 * time.Millisecond // without a record of the leader before others stand
	staggerWeight = 800 * time.Millisecond  // largest delay of hosts with few processors
	staggerSpread = 250 * time.Millisecond  // spreads hosts of one size
	minQuietReads = 2                       // reads to the end without a record of the leader, so that a thawed host does not act on old news
	claimTimeout  = 800 * time.Millisecond
)

// ElectorConfig configures an Elector.
type ElectorConfig struct {
	Log     Log
	Fold    *View
	Reader  *Reader
	Host    string
	Process string  // tells this process from earlier ones of the host
	Address string  // host:port that takes the records of other hosts; empty for none
	Size    float64 // share of a core; larger hosts stand first
	Lead    func(ctx context.Context, w *Writer)
	Logger  *slog.Logger
}

// Elector makes the host stand for leader when there is none.
type Elector struct {
	cfg   ElectorConfig
	tried Epoch // highest epoch that this process stood with
	lost  Epoch // highest epoch that this process led with and lost
}

// NewElector returns an elector whose Run must be called.
func NewElector(cfg ElectorConfig) *Elector { return &Elector{cfg: cfg} }

// Run stands and leads until ctx ends, and resigns then.
func (e *Elector) Run(ctx context.Context) {
	var vacant time.Time
	for ctx.Err() == nil {
		Sleep(ctx, electorTick)
		if w := e.leading(); w != nil {
			e.lead(ctx, w)
			vacant = time.Time{}
			continue
		}
		if !e.open() {
			vacant = time.Time{}
			continue
		}
		if vacant.IsZero() {
			vacant = time.Now()
		}
		if time.Since(vacant) >= e.stagger() {
			e.claim(ctx)
		}
	}
}

// leading returns a writer if the topic names this process as the leader.
func (e *Elector) leading() *Writer {
	l := e.cfg.Fold.Leader()
	if l.Host != e.cfg.Host || l.Process != e.cfg.Process || l.Epoch <= e.lost {
		return nil
	}
	return newWriter(e.cfg, l)
}

// open says whether there is no leader, as far as this host can know.
func (e *Elector) open() bool {
	f := e.cfg.Fold
	if _, loaded := f.Position(); !loaded || e.cfg.Reader.Failing() {
		return false
	}
	l := f.Leader()
	if l.Host == "" || l.Host == e.cfg.Host && l.Process != e.cfg.Process {
		return true // resigned, never elected, or an earlier process of this host
	}
	sign, quiet := f.LeaderActivity()
	return quiet >= minQuietReads && time.Since(sign) > silence
}

// stagger lets larger hosts stand first; two that stand at once are told apart by the condition of the append.
func (e *Elector) stagger() time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(e.cfg.Process)) // a hash never fails
	small := 1 - min(1, e.cfg.Size)
	return time.Duration(small*small*float64(staggerWeight)) + time.Duration(h.Sum32())%staggerSpread
}

func (e *Elector) claim(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	if err := e.cfg.Reader.Refresh(ctx); err != nil || !e.open() {
		return
	}
	at, _ := e.cfg.Fold.Position()
	l := Leader{Host: e.cfg.Host, Process: e.cfg.Process, Epoch: max(e.cfg.Fold.Leader().Epoch, e.tried) + 1, Address: e.cfg.Address}
	e.tried = l.Epoch
	r, err := encode(leaderKey, l)
	if err == nil {
		err = e.cfg.Log.Append(ctx, Append{
			Topic: JobTopic, Producer: leaderProducer, Epoch: l.Epoch, At: at, HasAt: true, Records: []Record{r},
		})
	}
	e.cfg.Logger.Info("stood for leader", "Epoch", l.Epoch, "Position", at, "Error", err)
	if err != nil && fault.Of(err) != fault.OutcomeUnknown {
		return
	}
	if err := e.cfg.Reader.Refresh(ctx); err != nil {
		e.cfg.Logger.Warn("outcome of the election not read yet", "Epoch", l.Epoch, "Error", err)
	}
}

// lead runs the leader until it is displaced or ctx ends.
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
	e.load(leadCtx)
	e.cfg.Lead(leadCtx, w)
	cancel()
	<-done
	e.lost = max(e.lost, w.leader.Epoch)
	e.cfg.Logger.Info("leading ended", "Epoch", w.leader.Epoch, "Displaced", w.Superseded())
}

// load reads the topic if this host has forgotten it between its election and now.
func (e *Elector) load(ctx context.Context) {
	for ctx.Err() == nil {
		if _, loaded := e.cfg.Fold.Position(); loaded {
			return
		}
		if err := e.cfg.Reader.Refresh(ctx); err != nil {
			e.cfg.Logger.Warn("topic not loaded by its new leader yet", "Error", err)
			Sleep(ctx, retryPause)
		}
	}
}
