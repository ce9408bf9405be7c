package journal

import (
	"context"
	"log/slog"

	"persimmonpick/fault"
	"persimmonpick/table"
)

// snapshotWindow is the number of entries of the snapshot stream that the first step of the backward search covers.
const snapshotWindow = 64

// load returns tables from which the log can be followed: those of a snapshot, empty ones, or those of a peer.
func (r *Reader) load(ctx context.Context) (*table.Tables, error) {
	t, err := r.loadFromLog(ctx)
	if err == nil && r.started && t.Applied < r.next {
		err = fault.New(fault.NotFound, "newest snapshot is at offset %d, before the next entry %d", t.Applied, r.next)
	}
	if err == nil {
		return t, nil
	}
	r.cfg.Logger.Warn("failed to load tables from the log", slog.String("Error", err.Error()))
	if r.cfg.FromPeer == nil {
		return nil, err
	}
	t, err = r.cfg.FromPeer(ctx)
	if err != nil {
		return nil, fault.Wrap(err, fault.NotReady, "load tables from the log or a peer: %v", err)
	}
	if t == nil {
		return nil, fault.New(fault.NotReady, "neither the log nor a peer has tables")
	}
	return t, nil
}

// loadFromLog returns the tables of the newest snapshot, or empty ones if the log still holds its first entry.
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
	return nil, fault.New(fault.NotFound, "no snapshot reaches the oldest retained record at offset %d", oldest)
}

// bounds returns the oldest retained and the next offset of a stream.
//
// A read before the oldest entry fails and may not report the oldest offset, so bounds doubles the offset until a read
// succeeds.
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

// newestSnapshot reads the snapshot stream backwards until it finds a complete snapshot; it returns nil if there is
// none.
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
			break // truncated during the search
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

// readSnapshots adds the entries with offsets in [from, to) to a.
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
				r.cfg.Logger.Warn("skipped invalid snapshot chunk", slog.Uint64("Offset", uint64(e.Offset)), slog.String("Error", err.Error()))
			}
			from = max(from, e.Offset+1)
		}
	}
	return nil
}
