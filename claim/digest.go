package claim

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"persimmonpick/table"
)

// Digest returns a hash of the parts of a request that must be equal in every repeat.
func Digest(kind table.KindID, contentType string, body []byte) uint64 {
	d := xxhash.New()
	writePart(d, []byte(kind))
	writePart(d, []byte(contentType))
	writePart(d, body)
	return d.Sum64()
}

// writePart hashes the length before the part, so that two splits of the same bytes give different digests.
func writePart(d *xxhash.Digest, part []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(part)))
	_, _ = d.Write(length[:])
	_, _ = d.Write(part)
}
