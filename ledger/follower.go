package ledger

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"persimmonpick/fault"
)

// FollowerConfig configures a Follower.
type FollowerConfig struct {
	Log    Log
	Topic  Topic
	Pause  time.Duration                      // after each read that brought something
	Apply  func(records []Record, whole bool) // whole says that keys without a record are gone
	Logger *slog.Logger
}

// Follower reads the records of a topic that others write.
type Follower struct {
	cfg       FollowerConfig
	confirmed atomic.Int64 // nanoseconds since start, of the last read that reached the end
	start     time.Time
}

// NewFollower returns a follower whose Run must be called.
func NewFollower(cfg FollowerConfig) *Follower { return &Follower{cfg: cfg, start: time.Now()} }

// Age returns how long ago the last read began that reached the end of the topic, or the age of f if there was none.
func (f *Follower) Age() time.Duration {
	return time.Since(f.start) - time.Duration(f.confirmed.Load())
}

// Run reads until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	next, loaded, failing := Position(0), false, false
	for ctx.Err() == nil {
		began := time.Since(f.start)
		n, behind, err := f.step(ctx, &next, &loaded)
		if ctx.Err() != nil {
			return
		}
		if failing != (err != nil) {
			failing = err != nil
			f.cfg.Logger.Info("following a topic", "Topic", f.cfg.Topic, "Failing", failing, "Error", err)
		}
		if err != nil {
			Sleep(ctx, retryPause)
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

// step reads once; it returns how many records it read, and whether there are more.
func (f *Follower) step(ctx context.Context, next *Position, loaded *bool) (int, bool, error) {
	if !*loaded {
		records, end, err := newest(ctx, f.cfg.Log, f.cfg.Topic)
		if err != nil {
			return 0, false, err
		}
		*next, *loaded = end, true
		f.cfg.Apply(records, true)
		return len(records), false, nil
	}
	page, err := f.cfg.Log.Read(ctx, f.cfg.Topic, *next, readWait)
	if fault.Of(err) == fault.NotFound {
		f.cfg.Logger.Warn("history of the log dropped, loading the newest records", "Topic", f.cfg.Topic, "From", *next)
		*loaded = false
		return 0, false, nil
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

// newest reads the newest record of each key of a topic; what is written meanwhile is read again from the end that it returns.
func newest(ctx context.Context, log Log, topic Topic) ([]Record, Position, error) {
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
		after = s.Records[len(s.Records)-1].Key
	}
}
