package journal

import (
	"time"

	"persimmonpick/table"
)

// Entry is one decoded entry of the record stream.
type Entry struct {
	Offset table.Offset
	Batch  *Batch // empty if the entry could not be decoded, so that every host skips it in the same way
}

// Delivery is the result of one read of the log.
type Delivery struct {
	Tables  *table.Tables // if set, replaces the receiver's tables before Entries are applied
	Entries []Entry       // in order of offset, without gaps
	AtEnd   bool          // no entry followed Entries in the log when the read was answered
	// Began is the local time at which the read began, and is zero if Tables is set. The read covers everything that
	// was appended before that time.
	Began time.Time
}
