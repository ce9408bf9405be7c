package share

import (
	"time"

	"persimmonpick/table"
)

// instanceState is the state of the slots of one instance at this host.
type instanceState struct {
	inst  table.Instance
	owner table.SeatID
	used  int           // slots in use by this host, own and borrowed
	freed chan struct{} // buffered signal that a slot became free

	// At the owner only.
	ownUsed    int // own slots in use
	ownerLoans map[LoanID]*ownerLoan
	recalling  bool
	lastRecall time.Time

	// At other seats only.
	borrowerLoans []*borrowerLoan
	borrowing     bool
	retryAt       time.Time // no Borrow call before this time
}

// ownerLoan is a loan as recorded by its owner. A loan with 0 slots is kept until its end to refuse late calls.
type ownerLoan struct {
	slots int
	end   time.Time
}

// borrowerLoan is a loan as recorded by its borrower.
type borrowerLoan struct {
	id          LoanID
	slots       int
	used        int
	end         time.Time // requests start on it only before this time
	lastUsed    time.Time // when a slot of it was last in use
	recalled    bool      // the owner wants all slots back
	unconfirmed bool      // the owner has not confirmed a return
}

func (s *instanceState) dropExpired(now time.Time) {
	for id, l := range s.ownerLoans {
		if !now.Before(l.end) {
			delete(s.ownerLoans, id)
		}
	}
}

func (s *instanceState) loanedSlots() int {
	n := 0
	for _, l := range s.ownerLoans {
		n += l.slots
	}
	return n
}

// freeSlots returns the number of slots that the owner can use or lend.
func (s *instanceState) freeSlots(now time.Time) int {
	s.dropExpired(now)
	return s.inst.Slots - s.ownUsed - s.loanedSlots()
}

// idleLoan returns the unexpired loan with an unused slot that ends first, so that later ones can become idle and be
// returned.
func (s *instanceState) idleLoan(now time.Time) *borrowerLoan {
	var first *borrowerLoan
	for _, l := range s.borrowerLoans {
		if l.used >= l.slots || !now.Before(l.end) {
			continue
		}
		if first == nil || l.end.Before(first.end) {
			first = l
		}
	}
	return first
}

func (s *instanceState) idleSlots(now time.Time) int {
	n := 0
	for _, l := range s.borrowerLoans {
		if now.Before(l.end) {
			n += l.slots - l.used
		}
	}
	return n
}

// releaseIdle reduces l to the slots in use and returns the request that reports this to the owner.
func (s *instanceState) releaseIdle(l *borrowerLoan) ReturnRequest {
	if l.slots > l.used {
		l.slots = l.used
		l.unconfirmed = true
	}
	return ReturnRequest{Loan: l.id, Instance: s.inst.ID, Keep: l.slots}
}
