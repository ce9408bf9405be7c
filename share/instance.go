package share

import (
	"time"

	"persimmonpick/table"
)

// instanceState is what a host knows about the slots of one instance.
type instanceState struct {
	inst  table.Instance
	owner table.SeatID
	used  int           // slots in use by this host, own and borrowed
	freed chan struct{} // holds one signal when a slot came free

	// Used at the owner only.
	own        int // own slots in use
	lent       map[LoanID]*ownerLoan
	recalling  bool
	lastRecall time.Time

	// Used at other seats only.
	loans     []*borrowerLoan
	borrowing bool
	retryAt   time.Time // no Borrow call before this time
}

// ownerLoan is a loan as its owner counts it; one with 0 slots stays until its end to refuse late calls.
type ownerLoan struct {
	slots int
	end   time.Time
}

// borrowerLoan is a borrowerLoan as its borrower counts it.
type borrowerLoan struct {
	id          LoanID
	slots       int
	used        int
	end         time.Time // no request starts on it from this time on
	lastUsed    time.Time // when a slot of it was last in use
	recalled    bool      // the owner asked for it
	unconfirmed bool      // slots were given up and the owner has not confirmed it
}

func (s *instanceState) dropExpired(now time.Time) {
	for id, l := range s.lent {
		if !now.Before(l.end) {
			delete(s.lent, id)
		}
	}
}

func (s *instanceState) lentSlots() int {
	n := 0
	for _, l := range s.lent {
		n += l.slots
	}
	return n
}

// freeSlots returns the slots that the owner may use or lend.
func (s *instanceState) freeSlots(now time.Time) int {
	s.dropExpired(now)
	return s.inst.Slots - s.own - s.lentSlots()
}

// idleLoan returns a loan with an unused slot whose term has not ended, the one that ends first, so that others can be returned.
func (s *instanceState) idleLoan(now time.Time) *borrowerLoan {
	var first *borrowerLoan
	for _, l := range s.loans {
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
	for _, l := range s.loans {
		if now.Before(l.end) {
			n += l.slots - l.used
		}
	}
	return n
}

// releaseIdle lowers l to the slots in use and returns what to tell the owner.
func (s *instanceState) releaseIdle(l *borrowerLoan) ReturnRequest {
	if l.slots > l.used {
		l.slots = l.used
		l.unconfirmed = true
	}
	return ReturnRequest{Loan: l.id, Instance: s.inst.ID, Keep: l.slots}
}
