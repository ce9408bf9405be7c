package peer

import (
	"persimmonpick/burn"
	"persimmonpick/provider"
	"persimmonpick/share"
	"persimmonpick/table"
)

// Heartbeat is the state that entry hosts exchange, both as argument and as reply.
type Heartbeat struct {
	Seat        table.SeatID
	Incarnation table.Incarnation
	Applied     table.Offset // last offset that the sender applied
	Ready       bool
	ReadsLog    bool // a recent read reached the end of the log
	Stopping    bool
	InFlight    int              // requests in progress
	Unreachable []table.WorkerID // workers that the sender monitors and cannot reach
}

// SnapshotArgs requests the tables of a peer.
type SnapshotArgs struct {
	Seat table.SeatID
}

// SnapshotReply holds the tables of a peer as chunks of a snapshot.
type SnapshotReply struct {
	Applied table.Offset
	Chunks  [][]byte
}

// BurnArgs requests service-level counts newer than Digest.
type BurnArgs struct {
	Digest burn.Digest
}

// BurnReply holds the service-level counts of several processes.
type BurnReply struct {
	Snapshots []burn.Snapshot
}

// ReportsArgs requests usage reports, starting at number From of the numbers of one process.
type ReportsArgs struct {
	From        uint64
	Incarnation table.Incarnation // of the process; empty for the first request
}

// ReportsReply holds usage reports of the workers that a host monitors.
type ReportsReply struct {
	Next        uint64            // From of the next request
	Incarnation table.Incarnation // Incarnation of the next request
	Reports     []provider.Report
}

// Handlers are the functions that serve calls from peers.
type Handlers struct {
	Heartbeat func(Heartbeat) Heartbeat
	Snapshot  func(SnapshotArgs) (SnapshotReply, error)
	Burn      func(BurnArgs) BurnReply
	Reports   func(ReportsArgs) ReportsReply
	Borrow    func(share.BorrowRequest) (share.BorrowReply, error)
	Return    func(share.ReturnRequest)
	Recall    func(share.RecallRequest) share.RecallReply
}
