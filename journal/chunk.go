package journal

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"persimmonpick/fault"
	"persimmonpick/table"
)

// Bounds of snapshots.
const (
	chunkSize           = 512 << 10 // bytes of one chunk; the log need not accept entries above 1 MiB
	maxChunks           = 1024      // chunks of one snapshot: 512 MiB
	maxPartialSnapshots = 4         // snapshots that the assembler holds in part
	snapshotFormat      = 2         // since final jobs have a short form, which a reader of format 1 would lose
	minSnapshotFormat   = 1         // the oldest that is still read
)

// chunk is one entry of the snapshot stream.
type chunk struct {
	Format int
	Offset table.Offset // last offset folded into the snapshot
	Index  int
	Count  int
	Whole  uint64 // xxhash of the data of all chunks in order
	Sum    uint64 // xxhash of the other fields
	Data   []byte
}

// checksum returns the checksum of all fields of c but Sum.
func (c *chunk) checksum() uint64 {
	d := xxhash.New()
	var head []byte
	for _, n := range []uint64{uint64(c.Format), uint64(c.Offset), uint64(c.Index), uint64(c.Count), c.Whole} {
		head = binary.LittleEndian.AppendUint64(head, n)
	}
	// Writes to a digest never fail.
	_, _ = d.Write(head)
	_, _ = d.Write(c.Data)
	return d.Sum64()
}

// splitChunks cuts body into encoded chunks.
func splitChunks(off table.Offset, body []byte) ([][]byte, error) {
	count := (len(body) + chunkSize - 1) / chunkSize
	if count > maxChunks {
		return nil, fault.New(fault.TooLarge, "snapshot of %d bytes is above the limit of %d", len(body), maxChunks*chunkSize)
	}
	whole := xxhash.Sum64(body)
	chunks := make([][]byte, 0, count)
	for i := range count {
		c := chunk{Format: snapshotFormat, Offset: off, Index: i, Count: count, Whole: whole}
		c.Data = body[i*chunkSize : min(len(body), (i+1)*chunkSize)]
		c.Sum = c.checksum()
		data, err := encMode.Marshal(&c)
		if err != nil {
			return nil, fault.Wrap(err, fault.Internal, "encode chunk %d: %v", i, err)
		}
		chunks = append(chunks, data)
	}
	return chunks, nil
}

// decodeChunk returns the chunk in data if it is undamaged.
func decodeChunk(data []byte) (*chunk, error) {
	c := &chunk{}
	if err := decMode.Unmarshal(data, c); err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "decode chunk: %v", err)
	}
	if c.Format < minSnapshotFormat || c.Format > snapshotFormat {
		return nil, fault.New(fault.Invalid, "chunk of unknown format %d", c.Format)
	}
	if c.Count < 1 || c.Count > maxChunks || c.Index < 0 || c.Index >= c.Count || len(c.Data) > chunkSize {
		return nil, fault.New(fault.Invalid, "chunk %d of %d with %d bytes", c.Index, c.Count, len(c.Data))
	}
	if c.checksum() != c.Sum {
		return nil, fault.New(fault.Invalid, "chunk %d of %d is damaged", c.Index, c.Count)
	}
	return c, nil
}
