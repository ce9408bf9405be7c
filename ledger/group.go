package ledger

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"persimmonpick/fault"
)

// Bounds of the appends for callers.
const (
	refusedFor   = 700 * time.Millisecond  // a store that refuses for this long makes the callers' records fail as not appended
	unknownFor   = 2200 * time.Millisecond // after this the outcome is reported as unknown, within the usual deadline of callers
	stuckAfter   = 1200 * time.Millisecond // an append in flight for this long makes new records fail at once
	maxGroup     = 64                      // callers that share an append
	maxGroupWait = 256                     // callers that wait for an append; more are refused
)

// AppenderConfig configures a Group.
type AppenderConfig struct {
	Log      Log
	Producer string                                            // unique to this process
	Failing  func() bool                                       // whether the log is known to be out of reach
	Relay    func(ctx context.Context, records []Record) error // tried first unless nil; see Relay.Append
	Logger   *slog.Logger                                      // must not be nil
}

// Appender appends the records of many callers of one host in few calls.
type Appender struct {
	cfg      AppenderConfig
	producer producer
	waiting  chan *member

	mu      sync.Mutex
	started time.Time // of the append in flight; zero if there is none
}

type member struct {
	records []Record
	done    chan error // holds one error
}

// NewAppender returns a group whose Run must be called.
func NewAppender(cfg AppenderConfig) *Appender {
	return &Appender{
		cfg: cfg, producer: producer{log: cfg.Log, name: cfg.Producer, epoch: 1},
		waiting: make(chan *member, maxGroupWait),
	}
}

// Append adds records to the topic, all or none of them; it fails with fault.LogUnavailable or fault.Overloaded if they were not and will not be appended, and with fault.OutcomeUnknown otherwise.
func (g *Appender) Append(ctx context.Context, records ...Record) error {
	relayed := g.relay(ctx, records)
	if relayed == nil {
		return nil
	}
	err := g.own(ctx, records)
	if err != nil && fault.Of(relayed) == fault.OutcomeUnknown {
		return fault.Wrap(err, fault.OutcomeUnknown, "the leader may have appended the records")
	}
	return err
}

func (g *Appender) relay(ctx context.Context, records []Record) error {
	if g.cfg.Relay == nil {
		return fault.New(fault.NotReady, "no relay")
	}
	return g.cfg.Relay(ctx, records)
}

// own appends records by this host; the first record of a job counts, so that records whose relay has no answer may be appended again.
func (g *Appender) own(ctx context.Context, records []Record) error {
	if g.cfg.Failing() || g.stuck() {
		return fault.New(fault.LogUnavailable, "the log is out of reach")
	}
	m := &member{records: records, done: make(chan error, 1)}
	select {
	case g.waiting <- m:
	default:
		return fault.New(fault.Overloaded, "%d callers wait for the log", maxGroupWait)
	}
	select {
	case err := <-m.done:
		return err
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), fault.OutcomeUnknown, "no answer of the log before the deadline")
	}
}

func (g *Appender) stuck() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.started.IsZero() && time.Since(g.started) > stuckAfter
}

// Run appends until ctx ends.
func (g *Appender) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-g.waiting:
			g.flush(ctx, g.gather(m))
		}
	}
}

func (g *Appender) gather(first *member) []*member {
	all := []*member{first}
	for len(all) < maxGroup {
		select {
		case m := <-g.waiting:
			all = append(all, m)
		default:
			return all
		}
	}
	return all
}

func (g *Appender) flush(ctx context.Context, all []*member) {
	var records []Record
	for _, m := range all {
		records = append(records, m.records...)
	}
	g.inFlight(time.Now())
	err := g.append(ctx, records)
	g.inFlight(time.Time{})
	if err != nil {
		g.cfg.Logger.Warn("append failed", "Records", len(records), "Error", err)
	}
	for _, m := range all {
		m.done <- err
	}
}

func (g *Appender) inFlight(at time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.started = at
}

// append repeats an append until its outcome is known or too late to be of use.
func (g *Appender) append(ctx context.Context, records []Record) error {
	began := time.Now()
	unknown := false
	for {
		err := g.producer.try(ctx, records)
		if err == nil {
			return nil
		}
		unknown = unknown || fault.Of(err) == fault.OutcomeUnknown
		limit := refusedFor
		if unknown {
			limit = unknownFor
		}
		if repeatable(err) && time.Since(began) < limit && ctx.Err() == nil {
			Sleep(ctx, appendPause)
			continue
		}
		// A new epoch keeps an attempt that is still on its way from taking effect once the next append has.
		g.producer.renew()
		if unknown || !repeatable(err) {
			return fault.Wrap(err, fault.OutcomeUnknown, "the append may have taken effect")
		}
		return fault.Wrap(err, fault.LogUnavailable, "the log refused the append")
	}
}
