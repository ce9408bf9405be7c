package journal

import (
	"github.com/cespare/xxhash/v2"

	"persimmonpick/fault"
	"persimmonpick/table"
)

// Assembler puts snapshots together from entries of the snapshot stream, in whatever order they come.
type Assembler struct {
	parts  map[partKey]*part
	newest *table.Tables
}

// partKey tells snapshots apart. Two hosts that write the same snapshot write the same chunks.
type partKey struct {
	Offset table.Offset
	Whole  uint64
	Count  int
}

// part is a snapshot of which some chunks are there.
type part struct {
	chunks map[int][]byte
}

// NewAssembler returns an Assembler that holds nothing.
func NewAssembler() *Assembler {
	return &Assembler{parts: map[partKey]*part{}}
}

// Newest returns the newest whole snapshot so far, or nil.
func (a *Assembler) Newest() *table.Tables {
	return a.newest
}

// Add takes one entry; it fails with fault.Invalid for a damaged one, which changes nothing.
func (a *Assembler) Add(data []byte) error {
	c, err := decodeChunk(data)
	if err != nil {
		return err
	}
	if a.newest != nil && c.Offset <= a.newest.Applied {
		return nil
	}
	key := partKey{c.Offset, c.Whole, c.Count}
	p := a.part(key)
	p.chunks[c.Index] = c.Data
	if len(p.chunks) < c.Count {
		return nil
	}
	delete(a.parts, key)
	return a.finish(key, p)
}

// part returns the part under key and drops the oldest snapshot if there are too many.
func (a *Assembler) part(key partKey) *part {
	if p := a.parts[key]; p != nil {
		return p
	}
	p := &part{chunks: map[int][]byte{}}
	a.parts[key] = p
	if len(a.parts) > maxUnfinished {
		delete(a.parts, a.oldest())
	}
	return p
}

// oldest returns the key of the part with the lowest offset.
func (a *Assembler) oldest() partKey {
	var found *partKey
	for key := range a.parts {
		if found == nil || key.less(*found) {
			found = &key
		}
	}
	return *found
}

func (k partKey) less(o partKey) bool {
	if k.Offset != o.Offset {
		return k.Offset < o.Offset
	}
	if k.Whole != o.Whole {
		return k.Whole < o.Whole
	}
	return k.Count < o.Count
}

func (a *Assembler) finish(key partKey, p *part) error {
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
	for key := range a.parts {
		if key.Offset <= off {
			delete(a.parts, key)
		}
	}
}
