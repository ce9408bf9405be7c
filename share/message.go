package share

import "persimmonpick/table"

// LoanID names one loan; the borrower chooses it, so that a repeated call is recognised.
type LoanID struct {
	Borrower table.SeatID
	Process  uint64 // random for each process of the borrower
	Number   uint64
}

// BorrowRequest asks the owner of an instance for slots.
type BorrowRequest struct {
	Loan     LoanID
	Instance table.InstanceID
	Slots    int // most that the borrower can use
}

// BorrowReply grants slots until LoanTerm after the borrower sent its request.
type BorrowReply struct {
	Slots int // 0 if none is free
}

// ReturnRequest lowers a loan to Keep slots; Keep never rises, so repeats and late calls have no effect.
type ReturnRequest struct {
	Loan     LoanID
	Instance table.InstanceID
	Keep     int
}

// RecallRequest asks a borrower for the idle slots of an instance.
type RecallRequest struct {
	Instance table.InstanceID
	Soon     bool // also those in use, at the end of their request
}

// RecallReply lists what the borrower gave back.
type RecallReply struct {
	Returns []ReturnRequest
}
