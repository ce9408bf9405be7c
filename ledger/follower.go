package ledger

import (
	"context"
	"log/slog"
	"strings"
	"sync/atomic"
	"time"
	"unicode/utf8"

	"persimmonpick/fault"
)

// FollowerConfig configures a Follower.
type FollowerConfig struct {
	Log   Log
	Topic Topic
	Pause time.Duration // after each read that returned records
	// Apply receives the records in order. If snapshot is set, they are the whole state: keys without a record
	// have been deleted.
	Apply  func(records []Record, snapshot bool)
	Logger *slog.Logger
}

// Follower reads a topic that others write and passes its records to FollowerConfig.Apply.
type Follower struct {
	cfg       FollowerConfig
	confirmed atomic.Int64 // start of the last read that reached the end, in nanoseconds since start
	start     time.Time
}

// NewFollower returns a Follower whose Run must be called.
func NewFollower(cfg FollowerConfig) *Follower { return &Follower{cfg: cfg, start: time.Now()} }

// Age returns the time since the start of the last read that reached the end of the topic, or since f was
// created if there was none.
func (f *Follower) Age() time.Duration {
	return time.Since(f.start) - time.Duration(f.confirmed.Load())
}

// Run reads the topic until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	next, loaded, failing := Position(0), false, false
	for ctx.Err() == nil {
		began := time.Since(f.start)
		n, behind, err := f.readNext(ctx, &next, &loaded, failing)
		if ctx.Err() != nil {
			return
		}
		if failing != (err != nil) {
			failing = err != nil
			f.cfg.Logger.Info("topic read state changed", "Topic", f.cfg.Topic, "Failing", failing, "Error", err)
		}
		if err != nil {
			Sleep(ctx, retryDelay)
			continue
		}
		if behind {
			continue
		}
		f.confirmed.Store(int64(began))
		if n > 0 {
			Sleep(ctx, f.cfg.Pause)
		}
	}
}

// readNext loads a snapshot or reads one page. It returns the number of records read and whether more are
// available.
func (f *Follower) readNext(ctx context.Context, next *Position, loaded *bool, failing bool) (int, bool, error) {
	if !*loaded {
		records, end, err := readSnapshot(ctx, f.cfg.Log, f.cfg.Topic)
		if err != nil {
			return 0, false, err
		}
		*next, *loaded = end, true
		f.cfg.Apply(records, true)
		return len(records), false, nil
	}
	wait := readWait
	if failing {
		wait = 0 // a waiting read would detect late that the log is available again
	}
	page, err := f.cfg.Log.Read(ctx, f.cfg.Topic, *next, wait)
	if fault.Of(err) == fault.NotFound {
		f.cfg.Logger.Warn("read position no longer retained, loading a snapshot", "Topic", f.cfg.Topic, "From", *next)
		*loaded = false
		return 0, true, nil
	}
	if err != nil {
		return 0, false, err
	}
	*next = page.Next
	if len(page.Records) > 0 {
		f.cfg.Apply(page.Records, false)
	}
	return len(page.Records), page.Next < page.End, nil
}

// readSnapshot reads the newest record of each key of a topic. Records written in the meantime are read again
// from the position that it returns.
func readSnapshot(ctx context.Context, log Log, topic Topic) ([]Record, Position, error) {
	var records []Record
	var end Position
	after := ""
	for first := true; ; first = false {
		s, err := log.Newest(ctx, topic, after)
		if err != nil {
			return nil, 0, err
		}
		if first {
			end = s.End
		}
		records = append(records, s.Records...)
		if !s.More || len(s.Records) == 0 {
			return records, end, nil
		}
		last := s.Records[len(s.Records)-1].Key
		if last <= after {
			last = keyAfterUnreadable(last)
		}
		if last <= after {
			return nil, 0, fault.New(fault.PlatformFailed, "the newest records of %q do not go on after %q", topic, after)
		}
		after = last
	}
}

// keyAfterUnreadable returns a key beyond all that differ from key only in what follows its first replacement
// character. That stands for a byte that is not UTF-8, so no key beside it is readable up to there.
func keyAfterUnreadable(key string) string {
	prefix, _, found := strings.Cut(key, string(utf8.RuneError))
	if !found {
		return key
	}
	return prefix + strings.Repeat("\xff", maxKeyBytes)
}

// maxKeyBytes is the length of the longest key.
const maxKeyBytes = 255
