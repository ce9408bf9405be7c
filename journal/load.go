package journal

import (
	"context"
	"log/slog"

	"persimmonpick/fault"
	"persimmonpick/table"
)

// snapshotWindow is how many entries the first read back into the snapshot stream covers.
const snapshotWindow = 64

// load returns the newest tables that the log can continue, from a snapshot, from nothing or from a peer.
func (r *Reader) load(ctx context.Context) (*table.Tables, error) {
	t, err := r.loadFromLog(ctx)
	if err == nil && r.started && t.Applied < r.next {
		err = fault.New(fault.NotFound, "the newest snapshot is at offset %d, before %d", t.Applied, r.next)
	}
	if err == nil {
		return t, nil
	}
	r.cfg.Logger.Warn("no tables from the log", slog.String("Error", err.Error()))
	if r.cfg.FromPeer == nil {
		return nil, err
	}
	t, err = r.cfg.FromPeer(ctx)
	if err != nil {
		return nil, fault.Wrap(err, fault.NotReady, "no tables from the log or a peer: %v", err)
	}
	if t == nil {
		return nil, fault.New(fault.NotReady, "no tables from the log or a peer")
	}
	return t, nil
}

// loadFromLog returns tables from the newest snapshot, or empty ones if the log still holds its first entry.
func (r *Reader) loadFromLog(ctx context.Context) (*table.Tables, error) {
	oldest, _, err := r.bounds(ctx, RecordStream)
	if err != nil {
		return nil, err
	}
	t, err := r.newestSnapshot(ctx)
	if err != nil {
		return nil, err
	}
	if t != nil && t.Applied+1 >= oldest {
		return t, nil
	}
	if oldest <= 1 {
		return table.New(), nil
	}
	return nil, fault.New(fault.NotFound, "no snapshot reaches the oldest record at offset %d", oldest)
}

// bounds returns the oldest retained and the next offset of a stream.
//
// A read before the oldest entry fails and need not say where the oldest is, so it looks further on until one succeeds.
func (r *Reader) bounds(ctx context.Context, stream string) (table.Offset, table.Offset, error) {
	from := table.Offset(1)
	for {
		page, err := r.read(ctx, stream, from, 1, 0)
		if err == nil {
			return max(page.Oldest, 1), max(page.End, 1), nil
		}
		if fault.Of(err) != fault.NotFound || from > 1<<62 {
			return 0, 0, err
		}
		from = max(from*2, page.Oldest)
	}
}

// newestSnapshot reads the snapshot stream backwards until it holds a whole snapshot; it returns nil if there is none.
func (r *Reader) newestSnapshot(ctx context.Context) (*table.Tables, error) {
	oldest, end, err := r.bounds(ctx, SnapshotStream)
	if err != nil {
		return nil, err
	}
	a := NewAssembler()
	window := table.Offset(snapshotWindow)
	for to := end; to > oldest; window *= 2 {
		from := oldest
		if to-oldest > window {
			from = to - window
		}
		err := r.readSnapshots(ctx, a, from, to)
		if fault.Of(err) == fault.NotFound {
			break // truncated meanwhile
		}
		if err != nil {
			return nil, err
		}
		if t := a.Newest(); t != nil {
			return t, nil
		}
		to = from
	}
	return a.Newest(), nil
}

// readSnapshots adds the entries from from up to to, which is not included.
func (r *Reader) readSnapshots(ctx context.Context, a *Assembler, from, to table.Offset) error {
	for from < to {
		page, err := r.read(ctx, SnapshotStream, from, int(min(to-from, snapshotWindow)), 0)
		if err != nil {
			return err
		}
		if len(page.Entries) == 0 {
			return nil
		}
		for _, e := range page.Entries {
			if err := a.Add(e.Data); err != nil {
				r.cfg.Logger.Warn("snapshot chunk skipped", slog.Uint64("Offset", uint64(e.Offset)), slog.String("Error", err.Error()))
			}
			from = max(from, e.Offset+1)
		}
	}
	return nil
}
