package ledger

import (
	"context"
	"time"

	"persimmonpick/fault"
)

// Timing of appends.
const (
	// Bounds one attempt; several times the slowest response of a log that still works.
	appendTimeout    = 900 * time.Millisecond
	appendRetryDelay = 60 * time.Millisecond // between attempts
)

// producer appends records in sequence; retrying an append has no second effect.
type producer struct {
	log   Log
	name  string
	epoch Epoch
	next  int64 // sequence of the next append
}

// appendNext makes one attempt to append records with the next sequence number. After an unknown outcome the
// caller must retry with the same records or call nextEpoch.
func (p *producer) appendNext(ctx context.Context, records []Record) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	err := p.log.Append(ctx, Append{
		Topic: JobTopic, Producer: p.name, Epoch: p.epoch, Sequence: p.next, Records: records,
	})
	if err == nil {
		p.next++
	}
	return err
}

// nextEpoch starts a new epoch. Once an append of the new epoch has succeeded, delayed appends of the old one
// are rejected.
func (p *producer) nextEpoch() {
	p.epoch++
	p.next = 0
}

// retryable reports whether an append that failed with err may be retried.
func retryable(err error) bool {
	switch fault.Of(err) {
	case fault.Overloaded, fault.LogUnavailable, fault.OutcomeUnknown:
		return true
	}
	return false
}
