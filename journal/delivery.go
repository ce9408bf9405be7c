package journal

import (
	"time"

	"persimmonpick/table"
)

// Entry is one entry of the record stream as it is folded.
type Entry struct {
	Offset table.Offset
	Batch  *Batch // without writer and records if the entry could not be decoded, so that every host skips it alike
}

// Delivery is what one read of the log brought.
type Delivery struct {
	Tables  *table.Tables // if set, it replaces the receiver's tables before Entries are folded
	Entries []Entry       // in order of offset, each one above the last
	AtEnd   bool          // nothing followed Entries in the log when the read was answered
	Began   time.Time     // local time when the read began, which showed all that was appended before; zero with Tables
}
