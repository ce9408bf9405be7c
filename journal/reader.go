package journal

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"persimmonpick/fault"
	"persimmonpick/provider"
	"persimmonpick/table"
)

// Defaults of ReaderConfig.
const (
	defaultReadWait    = time.Second
	defaultPageEntries = 256
	defaultReadTimeout = 10 * time.Second
)

// errTruncated means that the log no longer holds the next entry.
var errTruncated = errors.New("the log no longer holds the next entry")

// ReaderConfig configures a Reader; Log and Deliver are required, and zero values of the other fields select defaults.
type ReaderConfig struct {
	Log         provider.Log
	Deliver     func(Delivery)                                   // called in log order on the goroutine of Run
	FromPeer    func(ctx context.Context) (*table.Tables, error) // optional: returns the tables of another entry host
	Wait        time.Duration                                    // longest time that a read waits for an entry
	Page        int                                              // largest number of entries in one read
	ReadTimeout time.Duration                                    // timeout of one read beyond Wait
	BackoffMin  time.Duration                                    // first backoff after a failed read
	BackoffMax  time.Duration                                    // longest backoff after failed reads
	Logger      *slog.Logger
}

// Reader loads a snapshot, then follows the record stream from there and delivers its entries.
type Reader struct {
	cfg     ReaderConfig
	next    table.Offset // offset of the next entry to read
	started bool         // tables were delivered
}

// NewReader returns a Reader that starts at the newest snapshot.
func NewReader(cfg ReaderConfig) *Reader {
	setDuration(&cfg.Wait, defaultReadWait)
	setDuration(&cfg.ReadTimeout, defaultReadTimeout)
	setDuration(&cfg.BackoffMin, defaultMinBackoff)
	setDuration(&cfg.BackoffMax, defaultMaxBackoff)
	setInt(&cfg.Page, defaultPageEntries)
	if cfg.Logger == nil {
		cfg.Logger = slog.New(slog.DiscardHandler)
	}
	return &Reader{cfg: cfg}
}

// Run delivers tables and then entries until ctx ends; it retries failures with exponential backoff.
func (r *Reader) Run(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		err := r.step(ctx)
		if err == nil {
			failures = 0
			continue
		}
		if ctx.Err() != nil {
			return
		}
		r.cfg.Logger.Warn("failed to read the log", slog.Uint64("Next", uint64(r.next)), slog.String("Error", err.Error()))
		r.pause(ctx, backoff(failures, r.cfg.BackoffMin, r.cfg.BackoffMax))
		failures++
	}
}

// step reads one page, or loads tables if there are none yet or the log no longer holds the next entry.
func (r *Reader) step(ctx context.Context) error {
	if !r.started {
		return r.reload(ctx)
	}
	err := r.readPage(ctx)
	if errors.Is(err, errTruncated) {
		r.cfg.Logger.Warn("log no longer holds the next entry; loading tables", slog.Uint64("Next", uint64(r.next)))
		return r.reload(ctx)
	}
	return err
}

// reload delivers tables that are newer than everything delivered before.
func (r *Reader) reload(ctx context.Context) error {
	t, err := r.load(ctx)
	if err != nil {
		return err
	}
	if r.started && t.Applied < r.next {
		return fault.New(fault.NotReady, "loaded tables at offset %d are older than the current ones at %d", t.Applied, r.next-1)
	}
	r.started = true
	r.next = t.Applied + 1
	r.cfg.Logger.Info("tables loaded", slog.Uint64("Applied", uint64(t.Applied)))
	r.cfg.Deliver(Delivery{Tables: t})
	return nil
}

// readPage delivers one page of entries, which may be empty.
func (r *Reader) readPage(ctx context.Context) error {
	began := time.Now()
	page, err := r.read(ctx, RecordStream, r.next, r.cfg.Page, r.cfg.Wait)
	if fault.Of(err) == fault.NotFound {
		return errTruncated
	}
	if err != nil {
		return err
	}
	entries, err := r.decode(page.Entries)
	if err != nil {
		return err
	}
	if n := len(entries); n > 0 {
		r.next = entries[n-1].Offset + 1
	}
	if r.next > page.End && page.End != 0 {
		r.cfg.Logger.Error("log ends before entries that were read earlier", slog.Uint64("End", uint64(page.End)))
	}
	r.cfg.Deliver(Delivery{Entries: entries, AtEnd: r.next == page.End, Began: began})
	if len(entries) == 0 && time.Since(began) < r.cfg.Wait/2 {
		r.pause(ctx, r.cfg.BackoffMin) // the log answered without waiting, so avoid a busy loop
	}
	return nil
}

func (r *Reader) pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// read reads from a stream with a timeout.
func (r *Reader) read(
	ctx context.Context, stream string, from table.Offset, n int, wait time.Duration,
) (provider.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+r.cfg.ReadTimeout)
	defer cancel()
	return r.cfg.Log.Read(ctx, stream, from, n, wait)
}

// decode returns the entries of a page, and errTruncated if there is a gap, which means that entries were truncated.
func (r *Reader) decode(raw []provider.Entry) ([]Entry, error) {
	entries := make([]Entry, 0, len(raw))
	want := r.next
	for _, e := range raw {
		if e.Offset < want {
			continue
		}
		if e.Offset > want {
			return nil, errTruncated
		}
		entries = append(entries, Entry{Offset: e.Offset, Batch: r.decodeBatch(e)})
		want++
	}
	return entries, nil
}

func (r *Reader) decodeBatch(e provider.Entry) *Batch {
	b, err := Decode(e.Data)
	if err != nil {
		r.cfg.Logger.Error("skipped entry that cannot be decoded", slog.Uint64("Offset", uint64(e.Offset)), slog.String("Error", err.Error()))
		return &Batch{}
	}
	return b
}
