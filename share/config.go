package share

import (
	"context"
	"time"

	"persimmonpick/table"
)

// Config holds what a Manager needs from its host.
type Config struct {
	Seat           table.SeatID
	Seats          []table.SeatID
	LoanTerm       time.Duration // the same on every host
	MaxRequestTime time.Duration // longest time from acquiring a slot to the end of its request; the same on every host
	CallTimeout    time.Duration // longest call to a peer; 0 means a quarter of LoanTerm

	// Usable says whether this host may use its own seat's slots now. It must be false until Settle after the seat's HostJoined has passed.
	Usable func() bool
	// Lookup returns an instance that may be sent requests, from this host's newest view.
	Lookup func(table.InstanceID) (table.Instance, bool)
	Borrow func(context.Context, table.SeatID, BorrowRequest) (BorrowReply, error)
	Return func(context.Context, table.SeatID, ReturnRequest) error
	// Recall is optional; without it lent slots come back when idle or at the end of their term.
	Recall func(context.Context, table.SeatID, RecallRequest) (RecallReply, error)
}

const (
	// refusedBackoff spaces calls to an owner that has no free slot.
	refusedBackoff = 5 * time.Millisecond
	// recallInterval spaces the calls of an owner that wants its slots back.
	recallInterval = 20 * time.Millisecond
	// pollPeriod bounds the wait of Acquire for slots that become free without a signal, such as expired loans.
	pollPeriod = 5 * time.Millisecond
)

func (c Config) callTimeout() time.Duration {
	if c.CallTimeout > 0 {
		return c.CallTimeout
	}
	return c.LoanTerm / 4
}

// idleTimeout is how long an unused borrowed slot is kept.
func (c Config) idleTimeout() time.Duration {
	return c.LoanTerm / 4
}

// reclaimAfter is how long the owner counts a loan that is not returned.
func (c Config) reclaimAfter() time.Duration {
	return c.LoanTerm + c.MaxRequestTime
}
