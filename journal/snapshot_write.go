package journal

import (
	"context"
	"time"

	"persimmonpick/fault"
	"persimmonpick/provider"
	"persimmonpick/table"
)

// Snapshots and records share the append rate that the log accepts, so a snapshot writes at most 20 chunks per second.
const (
	chunkPause    = 50 * time.Millisecond
	chunkAttempts = 5
	chunkTimeout  = 10 * time.Second
)

// WriteSnapshot appends t to the snapshot stream; t must not change during the call.
//
// A failed chunk is retried a few times, which is safe because duplicate chunks are harmless. If WriteSnapshot gives
// up, the chunks already written are ignored by readers.
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
