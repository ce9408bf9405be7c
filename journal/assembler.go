package journal

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"persimmonpick/fault"
	"persimmonpick/table"
)

// Assembler reassembles snapshots from entries of the snapshot stream, which may arrive in any order.
type Assembler struct {
	partials map[snapshotKey]*partialSnapshot
	newest   *table.Tables
	added    uint64 // chunks added to partial snapshots
}

// snapshotKey identifies a snapshot. Hosts that write the same snapshot write identical chunks.
type snapshotKey struct {
	Offset table.Offset
	Whole  uint64
	Count  int
}

// partialSnapshot is a snapshot of which some chunks have arrived.
type partialSnapshot struct {
	chunks  map[int][]byte
	addedAt uint64 // count of added chunks at its last one
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
	a.added++
	p.chunks[c.Index], p.addedAt = c.Data, a.added
	if len(p.chunks) < c.Count {
		return nil
	}
	delete(a.partials, key)
	return a.assemble(key, p)
}

// partial returns the partial snapshot of key. If it adds one above the limit, it evicts the one that has waited
// longest for a chunk, whose writer has most likely stopped.
func (a *Assembler) partial(key snapshotKey) *partialSnapshot {
	if p := a.partials[key]; p != nil {
		return p
	}
	if len(a.partials) >= maxPartialSnapshots {
		delete(a.partials, a.stalestKey())
	}
	p := &partialSnapshot{chunks: map[int][]byte{}}
	a.partials[key] = p
	return p
}

func (a *Assembler) stalestKey() snapshotKey {
	var found snapshotKey
	least := uint64(math.MaxUint64)
	for key, p := range a.partials {
		if p.addedAt < least {
			found, least = key, p.addedAt
		}
	}
	return found
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
