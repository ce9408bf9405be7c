package peer

import (
	"persimmonpick/burn"
	"persimmonpick/provider"
	"persimmonpick/share"
	"persimmonpick/table"
)

// Heartbeat is what entry hosts tell each other, both as argument and as reply.
type Heartbeat struct {
	Seat        table.SeatID
	Incarnation table.Incarnation
	Applied     table.Offset // last offset folded by the sender
	Ready       bool
	ReadsLog    bool // a read reached the end of the log lately
	Stopping    bool
	InFlight    int              // requests being served
	Unreachable []table.WorkerID // workers that the sender watches and cannot reach
}

// SnapshotArgs asks a peer for its tables.
type SnapshotArgs struct {
	Seat table.SeatID
}

// SnapshotReply carries the tables of a peer as the chunks of a snapshot.
type SnapshotReply struct {
	Applied table.Offset
	Chunks  [][]byte
}

// BurnArgs asks a peer for service-level counts that are newer than Digest.
type BurnArgs struct {
	Digest burn.Digest
}

// BurnReply carries the counts of several processes.
type BurnReply struct {
	Snapshots []burn.Snapshot
}

// ReportsArgs asks a peer for the usage reports from number From on.
type ReportsArgs struct {
	From uint64
}

// ReportsReply carries usage reports of the workers that a host watches.
type ReportsReply struct {
	Next    uint64 // number to ask for next
	Reports []provider.Report
}

// Handlers are the functions that answer calls of peers.
type Handlers struct {
	Heartbeat func(Heartbeat) Heartbeat
	Snapshot  func(SnapshotArgs) (SnapshotReply, error)
	Burn      func(BurnArgs) BurnReply
	Reports   func(ReportsArgs) ReportsReply
	Borrow    func(share.BorrowRequest) (share.BorrowReply, error)
	Return    func(share.ReturnRequest)
	Recall    func(share.RecallRequest) share.RecallReply
}
