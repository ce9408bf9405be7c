package claim

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"persimmonpick/table"
)

// Digest returns a hash of what must be the same in every repeat of a request.
func Digest(kind table.KindID, contentType string, body []byte) uint64 {
	d := xxhash.New()
	writePart(d, []byte(kind))
	writePart(d, []byte(contentType))
	writePart(d, body)
	return d.Sum64()
}

// writePart writes the length too, so that bytes cannot move from one part to the next unnoticed.
func writePart(d *xxhash.Digest, part []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(part)))
	_, _ = d.Write(length[:])
	_, _ = d.Write(part)
}
