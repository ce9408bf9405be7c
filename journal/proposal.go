package journal

import (
	"time"

	"persimmonpick/fault"
)

// proposalState is the progress of a proposal.
type proposalState int

const (
	proposalQueued proposalState = iota
	proposalSent                 // an append that contains it has begun
	proposalDone                 // resolved or withdrawn
)

// proposal is one call of Propose or Submit; the mutex of its Writer guards state.
type proposal struct {
	records []Record
	size    int // encoded bytes
	queued  time.Time
	state   proposalState
	done    func(Result, error)
}

// newProposal validates records, which must fit into one entry of maxEntry bytes, and records their encoded size.
func newProposal(records []Record, maxEntry int, done func(Result, error)) (*proposal, error) {
	if len(records) == 0 {
		return nil, fault.New(fault.Invalid, "a proposal needs a record")
	}
	if len(records) > maxRecords {
		return nil, fault.New(fault.TooLarge, "proposal of %d records is above the limit of %d", len(records), maxRecords)
	}
	data, err := encMode.Marshal(&Batch{Records: records})
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "encode proposal: %v", err)
	}
	if len(data)+batchOverhead > maxEntry {
		return nil, fault.New(fault.TooLarge, "proposal of %d bytes is above the limit of %d", len(data), maxEntry)
	}
	if _, err := Decode(data); err != nil {
		return nil, err
	}
	return &proposal{records: records, size: len(data), queued: time.Now(), done: done}, nil
}

// inflightBatch is a batch that was sent and whose outcome is not yet known.
type inflightBatch struct {
	batch     *Batch
	data      []byte
	proposals []*proposal
	resolved  chan struct{}
}
