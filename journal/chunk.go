package journal

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"persimmonpick/fault"
	"persimmonpick/table"
)

// Limits and formats of snapshots.
const (
	chunkSize           = 512 << 10 // bytes of one chunk; the log is not required to accept entries above 1 MiB
	maxChunks           = 1024      // chunks of one snapshot, 512 MiB in total
	maxPartialSnapshots = 4         // incomplete snapshots that an Assembler holds
	snapshotFormat      = 2         // format 2 stores final jobs in compact form, which a reader of format 1 would drop
	minSnapshotFormat   = 1         // oldest format that can still be read
)

// chunk is one entry of the snapshot stream.
type chunk struct {
	Format int
	Offset table.Offset // last offset applied to the snapshot
	Index  int
	Count  int
	Whole  uint64 // xxhash of the concatenated data of all chunks
	Sum    uint64 // xxhash of the other fields
	Data   []byte
}

// checksum returns the checksum of all fields of c except Sum.
func (c *chunk) checksum() uint64 {
	d := xxhash.New()
	var head []byte
	for _, n := range []uint64{uint64(c.Format), uint64(c.Offset), uint64(c.Index), uint64(c.Count), c.Whole} {
		head = binary.LittleEndian.AppendUint64(head, n)
	}
	// Writing to a digest never fails.
	_, _ = d.Write(head)
	_, _ = d.Write(c.Data)
	return d.Sum64()
}

// splitChunks splits body into encoded chunks.
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

// decodeChunk decodes and verifies the chunk in data; it fails with fault.Invalid if the chunk is damaged.
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
