package ledger

import (
	"context"
	"time"
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
// with fault.Overloaded or fault.LogUnavailable if nothing was appended, and with fault.OutcomeUnknown otherwise.
// Read fails with fault.NotFound if from is no longer retained.
type Log struct {
	Append func(ctx context.Context, a Append) error
	Read   func(ctx context.Context, topic Topic, from Position, wait time.Duration) (Page, error)
	Newest func(ctx context.Context, topic Topic, after string) (Snapshot, error)
}
