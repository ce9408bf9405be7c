package journal

import (
	"context"
	"time"

	"persimmonpick/fault"
	"persimmonpick/provider"
	"persimmonpick/table"
)

// A snapshot shares the appends a second that the log accepts with the records, so it takes at most 20 a second.
const (
	chunkPause    = 50 * time.Millisecond
	chunkAttempts = 5
	chunkTimeout  = 10 * time.Second
)

// WriteSnapshot appends t to the snapshot stream; t must not change meanwhile.
//
// It tries a failed chunk a few times, as a chunk that is there twice does no harm. If it gives up, the chunks that it
// wrote are never used.
func WriteSnapshot(ctx context.Context, log provider.Log, t *table.Tables) error {
	chunks, err := EncodeSnapshot(t)
	if err != nil {
		return err
	}
	for i, data := range chunks {
		if err := writeChunk(ctx, log, data); err != nil {
			return fault.Wrap(err, fault.LogUnavailable, "append chunk %d of %d: %v", i+1, len(chunks), err)
		}
	}
	return nil
}

func writeChunk(ctx context.Context, log provider.Log, data []byte) error {
	for attempt := 1; ; attempt++ {
		err := appendChunk(ctx, log, data)
		pause := chunkPause
		if err != nil {
			if attempt == chunkAttempts || ctx.Err() != nil {
				return err
			}
			pause = backoff(attempt, defaultMinBackoff, defaultMaxBackoff)
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return ctx.Err()
		}
		if err == nil {
			return nil
		}
	}
}

func appendChunk(ctx context.Context, log provider.Log, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, chunkTimeout)
	defer cancel()
	_, err := log.Append(ctx, SnapshotStream, data)
	return err
}
