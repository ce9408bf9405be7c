package ledger

import (
	"context"
	"time"
)

// Position is the place of a record in a topic; the first is 0.
type Position int64

// Epoch numbers the leaders of a topic and fences the appends of earlier ones.
type Epoch uint64

// Topic names a topic of the log.
type Topic string

// JobTopic holds everything that this package writes; its newest record of each key is never dropped.
const JobTopic Topic = "keyed.jobs"

// Record is one keyed record; a nil value drops the key.
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
	More    bool // continue after the last key
	End     Position
}

// Append is a call that adds records, all or none of them.
type Append struct {
	Topic    Topic
	Producer string
	Epoch    Epoch
	Sequence int64 // of the producer within the epoch
	At       Position
	HasAt    bool // fail unless the topic ends at At
	Records  []Record
}

// Log is the part of the platform's log that this package uses.
//
// Append fails with fault.Stale for an old epoch, fault.Conflict where At does not match, fault.Overloaded or fault.LogUnavailable if nothing was appended, and fault.OutcomeUnknown otherwise. Read fails with fault.NotFound where from is no longer kept.
type Log struct {
	Append func(ctx context.Context, a Append) error
	Read   func(ctx context.Context, topic Topic, from Position, wait time.Duration) (Page, error)
	Newest func(ctx context.Context, topic Topic, after string) (Snapshot, error)
}
