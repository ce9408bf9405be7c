package ledger

import (
	"context"
	"time"

	"persimmonpick/table"
)

// Position is the offset of a record in a topic, counted from 0.
type Position int64

// Epoch is a fencing token: the log rejects an append whose epoch is older than the newest one of its
// producer. All leaders share one producer, so each election starts a new epoch.
type Epoch uint64

// Topic is the name of a topic of the log.
type Topic string

// JobTopic holds all records that this package writes. The log always retains the newest record of each key.
const JobTopic Topic = "keyed.jobs"

// Record is a keyed record; a nil Value deletes the key.
type Record struct {
	Key      string
	Value    []byte
	Position Position
}

// recordOverhead is at least what a log adds to the key and value of a record.
const recordOverhead = 8

// Size returns the size of r that counts against Log.MaxRecord and Log.MaxAppend.
func (r Record) Size() table.Bytes { return table.Bytes(recordOverhead + len(r.Key) + len(r.Value)) }

// Page is the result of a read.
type Page struct {
	Records []Record
	Next    Position // first position that was not returned
	End     Position // end of the topic at the time of the read
}

// Snapshot is one page of the newest records of all keys.
type Snapshot struct {
	Records []Record
	More    bool // further pages follow the last key returned
	End     Position
}

// Append is a request to append records atomically.
type Append struct {
	Topic    Topic
	Producer string
	Epoch    Epoch
	Sequence int64 // number of the append within the epoch of its producer, for deduplication
	Records  []Record
}

// Log is the subset of the platform's log API that this package uses.
//
// Append fails with fault.Stale for an outdated epoch, with fault.Conflict for a sequence number that does not follow,
// with fault.TooLarge if a record or all of them together are too large, with fault.Overloaded or fault.LogUnavailable
// if nothing was appended, and with fault.OutcomeUnknown otherwise.
// Read fails with fault.NotFound if from is no longer retained.
type Log struct {
	Append func(ctx context.Context, a Append) error
	Read   func(ctx context.Context, topic Topic, from Position, wait time.Duration) (Page, error)
	Newest func(ctx context.Context, topic Topic, after string) (Snapshot, error)

	MaxRecord table.Bytes // size of a record; 0 means no limit
	MaxAppend table.Bytes // total size of the records of an append; 0 means no limit
}

// tooLarge reports whether r exceeds the size limit of a record.
func (l Log) tooLarge(r Record) bool { return l.MaxRecord > 0 && r.Size() > l.MaxRecord }

// split splits records into parts that are small enough for one append each.
func (l Log) split(records []Record) [][]Record {
	var parts [][]Record
	first, total := 0, table.Bytes(0)
	for i, r := range records {
		if l.MaxAppend > 0 && i > first && total+r.Size() > l.MaxAppend {
			parts = append(parts, records[first:i])
			first, total = i, 0
		}
		total += r.Size()
	}
	return append(parts, records[first:])
}
