package ledger

import (
	"context"
	"time"

	"persimmonpick/fault"
)

// The timing of appends.
const (
	appendTimeout = 900 * time.Millisecond // of one attempt; several times the slowest answer of a store that still works
	appendPause   = 60 * time.Millisecond  // between attempts
)

// producer appends in order; a repeated attempt has no second effect.
type producer struct {
	log   Log
	name  string
	epoch Epoch
	next  int64 // sequence of the next append
}

// try makes one attempt to append records as the next in sequence; after an unknown outcome it must be repeated with the same records.
func (p *producer) try(ctx context.Context, records []Record) error {
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

// renew begins a new epoch, after which appends of the epoch before take no effect any more.
func (p *producer) renew() {
	p.epoch++
	p.next = 0
}

// repeatable says whether an attempt that failed with err may be repeated.
func repeatable(err error) bool {
	switch fault.Of(err) {
	case fault.Overloaded, fault.LogUnavailable, fault.OutcomeUnknown:
		return true
	}
	return false
}
