package ledger

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"persimmonpick/fault"
	"persimmonpick/table"
)

// Limits of appends on behalf of callers.
const (
	refusalTimeout = 700 * time.Millisecond // after this period of refusals the records fail as not appended
	// Time until the outcome is reported as unknown; within the usual deadline of callers.
	unknownTimeout = 2200 * time.Millisecond
	// New records fail at once if an append has been in flight for longer.
	stallTimeout      = 1200 * time.Millisecond
	maxBatchCallers   = 64  // callers whose records share an append
	maxWaitingCallers = 256 // callers waiting for an append; further ones are refused
)

// AppenderConfig configures an Appender.
type AppenderConfig struct {
	Log      Log
	Producer string                                            // unique to this process
	Failing  func() bool                                       // reports whether the log is known to be unreachable
	Relay    func(ctx context.Context, records []Record) error // tried first unless nil; see Relay.Append
	Logger   *slog.Logger                                      // must not be nil
}

// Appender batches the records of concurrent callers of one host into few appends.
type Appender struct {
	cfg      AppenderConfig
	producer producer
	waiting  chan *pendingAppend
	next     *pendingAppend // taken from waiting, for the next append

	mu      sync.Mutex
	started time.Time // of the append in flight; zero if there is none
}

type pendingAppend struct {
	records []Record
	done    chan error // buffered for one error
}

// NewAppender returns an Appender whose Run must be called.
func NewAppender(cfg AppenderConfig) *Appender {
	return &Appender{
		cfg: cfg, producer: producer{log: cfg.Log, name: cfg.Producer, epoch: 1},
		waiting: make(chan *pendingAppend, maxWaitingCallers),
	}
}

// Append appends records to the topic atomically. It fails with fault.LogUnavailable or fault.Overloaded if
// they were not and will not be appended, with fault.TooLarge if a record exceeds the size limit of the log, and with
// fault.OutcomeUnknown otherwise.
func (a *Appender) Append(ctx context.Context, records ...Record) error {
	for _, r := range records {
		if a.cfg.Log.tooLarge(r) {
			return fault.New(fault.TooLarge, "its record has %d bytes, %d are allowed", r.Size(), a.cfg.Log.MaxRecord)
		}
	}
	relayErr := a.relay(ctx, records)
	if relayErr == nil {
		return nil
	}
	err := a.appendDirect(ctx, records)
	if err != nil && fault.Of(relayErr) == fault.OutcomeUnknown {
		return fault.Wrap(err, fault.OutcomeUnknown, "the leader may have appended the records")
	}
	return err
}

func (a *Appender) relay(ctx context.Context, records []Record) error {
	if a.cfg.Relay == nil {
		return fault.New(fault.NotReady, "no relay")
	}
	return a.cfg.Relay(ctx, records)
}

// appendDirect appends records from this host. Records whose relay call got no reply may be appended again,
// because only the first submission of a job counts.
func (a *Appender) appendDirect(ctx context.Context, records []Record) error {
	if a.cfg.Failing() || a.stalled() {
		return fault.New(fault.LogUnavailable, "the log is out of reach")
	}
	m := &pendingAppend{records: records, done: make(chan error, 1)}
	select {
	case a.waiting <- m:
	default:
		return fault.New(fault.Overloaded, "%d callers wait for the log", maxWaitingCallers)
	}
	select {
	case err := <-m.done:
		return err
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), fault.OutcomeUnknown, "no answer of the log before the deadline")
	}
}

func (a *Appender) stalled() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.started.IsZero() && time.Since(a.started) > stallTimeout
}

// Run appends queued records until ctx ends.
func (a *Appender) Run(ctx context.Context) {
	for {
		m := a.next
		a.next = nil
		if m == nil {
			select {
			case <-ctx.Done():
				return
			case m = <-a.waiting:
			}
		}
		a.flush(ctx, a.gather(m))
	}
}

func (a *Appender) gather(first *pendingAppend) []*pendingAppend {
	all := []*pendingAppend{first}
	size := first.size()
	for len(all) < maxBatchCallers {
		select {
		case m := <-a.waiting:
			size += m.size()
			if a.cfg.Log.MaxAppend > 0 && size > a.cfg.Log.MaxAppend {
				a.next = m
				return all
			}
			all = append(all, m)
		default:
			return all
		}
	}
	return all
}

func (m *pendingAppend) size() table.Bytes {
	n := table.Bytes(0)
	for _, r := range m.records {
		n += r.Size()
	}
	return n
}

func (a *Appender) flush(ctx context.Context, all []*pendingAppend) {
	var records []Record
	for _, m := range all {
		records = append(records, m.records...)
	}
	a.setInFlight(time.Now())
	err := a.append(ctx, records)
	a.setInFlight(time.Time{})
	if err != nil {
		a.cfg.Logger.Warn("append failed", "Records", len(records), "Error", err)
	}
	if len(all) > 1 && fault.Of(err) == fault.TooLarge {
		for _, m := range all {
			a.flush(ctx, []*pendingAppend{m})
		}
		return
	}
	for _, m := range all {
		m.done <- err
	}
}

func (a *Appender) setInFlight(at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.started = at
}

// append retries until the outcome is known or the time limit of the callers has passed.
func (a *Appender) append(ctx context.Context, records []Record) error {
	began := time.Now()
	unknown := false
	for {
		err := a.producer.appendNext(ctx, records)
		if err == nil {
			return nil
		}
		unknown = unknown || fault.Of(err) == fault.OutcomeUnknown
		limit := refusalTimeout
		if unknown {
			limit = unknownTimeout
		}
		if retryable(err) && time.Since(began) < limit && ctx.Err() == nil {
			Sleep(ctx, appendRetryDelay)
			continue
		}
		// Start a new epoch, so that a delayed attempt cannot take effect after the next append has.
		a.producer.nextEpoch()
		if fault.Of(err) == fault.TooLarge {
			return err // no attempt with these records can have taken effect
		}
		if unknown || !retryable(err) {
			return fault.Wrap(err, fault.OutcomeUnknown, "the append may have taken effect")
		}
		return fault.Wrap(err, fault.LogUnavailable, "the log refused the append")
	}
}
