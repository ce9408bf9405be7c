package share

import "persimmonpick/table"

// LoanID identifies one loan. The borrower chooses it, so that the owner recognizes a repeated call.
type LoanID struct {
	Borrower table.SeatID
	Process  uint64 // random for each process of the borrower
	Number   uint64
}

// BorrowRequest asks the owner of an instance for slots.
type BorrowRequest struct {
	Loan     LoanID
	Instance table.InstanceID
	Slots    int // maximum that the borrower can use
}

// BorrowReply grants slots for LoanTerm, counted from when the borrower sent its request.
type BorrowReply struct {
	Slots int // 0 if none is free
}

// ReturnRequest reduces a loan to Keep slots. Keep never rises, so repeated and late calls have no effect.
type ReturnRequest struct {
	Loan     LoanID
	Instance table.InstanceID
	Keep     int
}

// RecallRequest asks a borrower for the idle slots of an instance.
type RecallRequest struct {
	Instance table.InstanceID
	Soon     bool // also return slots in use when their request ends
}

// RecallReply lists the loans as the borrower reduced them.
type RecallReply struct {
	Returns []ReturnRequest
}
