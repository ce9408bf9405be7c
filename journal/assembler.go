package journal

import (
	"github.com/cespare/xxhash/v2"

	"persimmonpick/fault"
	"persimmonpick/table"
)

// Assembler reassembles snapshots from entries of the snapshot stream, which may arrive in any order.
type Assembler struct {
	partials map[snapshotKey]*partialSnapshot
	newest   *table.Tables
}

// snapshotKey identifies a snapshot. Hosts that write the same snapshot write identical chunks.
type snapshotKey struct {
	Offset table.Offset
	Whole  uint64
	Count  int
}

// partialSnapshot is a snapshot of which some chunks have arrived.
type partialSnapshot struct {
	chunks map[int][]byte
}

// NewAssembler returns an empty Assembler.
func NewAssembler() *Assembler {
	return &Assembler{partials: map[snapshotKey]*partialSnapshot{}}
}

// Newest returns the newest complete snapshot so far, or nil.
func (a *Assembler) Newest() *table.Tables {
	return a.newest
}

// Add adds one entry of the snapshot stream; it fails with fault.Invalid and has no effect if the entry is damaged.
func (a *Assembler) Add(data []byte) error {
	c, err := decodeChunk(data)
	if err != nil {
		return err
	}
	if a.newest != nil && c.Offset <= a.newest.Applied {
		return nil
	}
	key := snapshotKey{c.Offset, c.Whole, c.Count}
	p := a.partial(key)
	p.chunks[c.Index] = c.Data
	if len(p.chunks) < c.Count {
		return nil
	}
	delete(a.partials, key)
	return a.assemble(key, p)
}

// partial returns the partial snapshot of key. If it adds one above the limit, it evicts the oldest.
func (a *Assembler) partial(key snapshotKey) *partialSnapshot {
	if p := a.partials[key]; p != nil {
		return p
	}
	p := &partialSnapshot{chunks: map[int][]byte{}}
	a.partials[key] = p
	if len(a.partials) > maxPartialSnapshots {
		delete(a.partials, a.oldestKey())
	}
	return p
}

// oldestKey returns the key of the partial snapshot with the lowest offset.
func (a *Assembler) oldestKey() snapshotKey {
	var found *snapshotKey
	for key := range a.partials {
		if found == nil || key.less(*found) {
			found = &key
		}
	}
	return *found
}

func (k snapshotKey) less(o snapshotKey) bool {
	if k.Offset != o.Offset {
		return k.Offset < o.Offset
	}
	if k.Whole != o.Whole {
		return k.Whole < o.Whole
	}
	return k.Count < o.Count
}

func (a *Assembler) assemble(key snapshotKey, p *partialSnapshot) error {
	var body []byte
	for i := range key.Count {
		body = append(body, p.chunks[i]...)
	}
	if xxhash.Sum64(body) != key.Whole {
		return fault.New(fault.Invalid, "snapshot at offset %d is damaged", key.Offset)
	}
	t, err := decodeTables(body)
	if err != nil {
		return err
	}
	if t.Applied != key.Offset {
		return fault.New(fault.Invalid, "snapshot at offset %d says offset %d", key.Offset, t.Applied)
	}
	a.newest = t
	a.dropUpTo(t.Applied)
	return nil
}

func (a *Assembler) dropUpTo(off table.Offset) {
	for key := range a.partials {
		if key.Offset <= off {
			delete(a.partials, key)
		}
	}
}
