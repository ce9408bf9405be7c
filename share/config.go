package share

import (
	"context"
	"time"

	"persimmonpick/table"
)

// Config configures a Manager.
type Config struct {
	Seat           table.SeatID
	Seats          []table.SeatID
	LoanTerm       time.Duration // must be the same on every host
	MaxRequestTime time.Duration // from acquiring a slot to the end of its request; must be the same on every host
	CallTimeout    time.Duration // of calls to a peer; 0 means a quarter of LoanTerm

	// Usable reports whether this host may use the slots of its own seat now. It must return false until SettleTime
	// after the seat's HostJoined record has passed (see peer.Fence.Passed).
	Usable func() bool
	// Lookup returns an instance that accepts requests, from the newest view of this host.
	Lookup func(table.InstanceID) (table.Instance, bool)
	Borrow func(context.Context, table.SeatID, BorrowRequest) (BorrowReply, error)
	Return func(context.Context, table.SeatID, ReturnRequest) error
	// Recall is optional; without it loaned slots are returned when idle or at the end of their term.
	Recall func(context.Context, table.SeatID, RecallRequest) (RecallReply, error)
}

const (
	// refusedBackoff is the minimum time between calls to an owner that has no free slot.
	refusedBackoff = 5 * time.Millisecond
	// recallInterval is the minimum time between recalls by an owner.
	recallInterval = 20 * time.Millisecond
	// pollPeriod is the interval at which Acquire checks for slots freed without a signal, as when a loan expires.
	pollPeriod = 5 * time.Millisecond
)

func (c Config) callTimeout() time.Duration {
	if c.CallTimeout > 0 {
		return c.CallTimeout
	}
	return c.LoanTerm / 4
}

// idleTimeout is the time after which an unused borrowed slot is returned.
func (c Config) idleTimeout() time.Duration {
	return c.LoanTerm / 4
}

// reclaimAfter is the time after which the owner reclaims a loan that was not returned. It includes MaxRequestTime,
// since a request may start at the end of the term.
func (c Config) reclaimAfter() time.Duration {
	return c.LoanTerm + c.MaxRequestTime
}
