package journal

import (
	"persimmonpick/fault"
	"persimmonpick/table"
)

// The streams of the platform's log that the system keeps.
const (
	RecordStream   = "Records"
	SnapshotStream = "Snapshots"
)

// Batch is one entry of the record stream.
type Batch struct {
	Writer  table.Incarnation // process that wrote it
	Seq     uint64            // counts the batches of Writer from 1; a repeat has no effect
	Time    table.UnixMillis  // clock of the writer, for display only
	Records []Record
}

// Record is one proposal; exactly one field is set.
type Record struct {
	HostJoined        *HostJoined        `cbor:",omitempty"`
	HostLeft          *HostLeft          `cbor:",omitempty"`
	WorkerSeen        *WorkerSeen        `cbor:",omitempty"`
	WorkerGone        *WorkerGone        `cbor:",omitempty"`
	InstanceSeen      *InstanceSeen      `cbor:",omitempty"`
	InstanceGone      *InstanceGone      `cbor:",omitempty"`
	JobSubmitted      *JobSubmitted      `cbor:",omitempty"`
	JobCancelled      *JobCancelled      `cbor:",omitempty"`
	LeaseGranted      *LeaseGranted      `cbor:",omitempty"`
	LeaseStarted      *LeaseStarted      `cbor:",omitempty"`
	LeaseRevoked      *LeaseRevoked      `cbor:",omitempty"`
	LeaseEnded        *LeaseEnded        `cbor:",omitempty"`
	PlanConfirmed     *PlanConfirmed     `cbor:",omitempty"`
	ClaimMade         *ClaimMade         `cbor:",omitempty"`
	ClaimEnded        *ClaimEnded        `cbor:",omitempty"`
	WorkerQuarantined *WorkerQuarantined `cbor:",omitempty"`
	WorkerReleased    *WorkerReleased    `cbor:",omitempty"`
	Expired           *Expired           `cbor:",omitempty"`
}

// HostJoined takes a seat for a new process; the newest incarnation of a seat counts.
type HostJoined struct {
	Seat        table.SeatID
	Incarnation table.Incarnation
	Address     string
	Zone        table.ZoneID
}

// HostLeft gives a seat back on a planned stop.
type HostLeft struct {
	Seat        table.SeatID
	Incarnation table.Incarnation
	Settled     bool // processes of the seat before this one have certainly stopped to act
}

// WorkerSeen adds a worker or changes its place, capacity or Leaving flag.
type WorkerSeen struct {
	ID       table.WorkerID
	Rack     table.RackID
	Zone     table.ZoneID
	Capacity table.Resources
	Leaving  bool
}

// WorkerGone marks a worker that the platform no longer lists.
type WorkerGone struct {
	ID table.WorkerID
}

// InstanceSeen adds an instance or changes it; its Need counts against its worker.
type InstanceSeen struct {
	Instance table.Instance
}

// InstanceGone removes an instance.
type InstanceGone struct {
	ID table.InstanceID
}

// JobSubmitted admits a job with TaskCount tasks named "<job>/0" and so on.
type JobSubmitted struct {
	Job       table.Job
	TaskCount int
	Digest    uint64 // hash of the submission; a repeat under the same id must have the same
}

// JobCancelled ends a job; held tasks must stop first.
type JobCancelled struct {
	Job table.JobID
}

// LeaseGranted gives a pending task to a worker; the offset of the record is the token.
type LeaseGranted struct {
	Task   table.TaskID
	Worker table.WorkerID
	Need   table.Resources
	Holder table.SeatID
}

// LeaseStarted says that the worker confirmed the start or, for a non-idempotent task, that it is about to be sent; the first one counts.
type LeaseStarted struct {
	Task    table.TaskID
	Token   table.Token
	Starter table.Incarnation
}

// LeaseRevoked asks for a task to stop; nobody renews its lease after reading this.
type LeaseRevoked struct {
	Task   table.TaskID
	Token  table.Token
	Reason string
}

// LeaseOutcome says how a lease ended.
type LeaseOutcome string

// The outcomes of a lease.
const (
	LeaseFinished   LeaseOutcome = "Finished"   // the task is done
	LeaseFailed     LeaseOutcome = "Failed"     // the task ran and failed; it may be tried again
	LeaseStopped    LeaseOutcome = "Stopped"    // the worker confirmed a stop; the task resumes from Checkpoint
	LeaseNotStarted LeaseOutcome = "NotStarted" // the worker confirmed that it never ran
	LeaseExpired    LeaseOutcome = "Expired"    // the worker is lost and the lease has ended
)

// LeaseEnded frees a lease; Expired is only valid after LeaseRevoked.
type LeaseEnded struct {
	Task       table.TaskID
	Token      table.Token
	Outcome    LeaseOutcome
	Starter    table.Incarnation `cbor:",omitempty"` // for NotStarted after LeaseStarted: the process that announced the start, whose only start was refused
	Checkpoint []byte
	Result     []byte
	Reason     string
}

// IntentType says what an intent changes.
type IntentType string

// The types of intents.
const (
	SetKind     IntentType = "SetKind"
	RemoveKind  IntentType = "RemoveKind"
	SetTeam     IntentType = "SetTeam"
	RemoveTeam  IntentType = "RemoveTeam"
	SetLimit    IntentType = "SetLimit"
	SetDrain    IntentType = "SetDrain"
	RemoveDrain IntentType = "RemoveDrain"
	ResolveTask IntentType = "ResolveTask" // decide about a task in state Unknown
)

// Intent names one entity and what it should become; the field that fits Type is set.
type Intent struct {
	Type    IntentType
	Kind    *table.Kind  `cbor:",omitempty" json:",omitempty"`
	Team    *table.Team  `cbor:",omitempty" json:",omitempty"`
	Limit   *table.Limit `cbor:",omitempty" json:",omitempty"`
	Drain   *table.Drain `cbor:",omitempty" json:",omitempty"`
	Task    table.TaskID `cbor:",omitempty" json:",omitempty"`
	Outcome string       `cbor:",omitempty" json:",omitempty"` // for ResolveTask: Rerun, Finished or Failed
}

// PlanConfirmed puts an intent in force if the entity is still at version Base.
type PlanConfirmed struct {
	ID       table.PlanID
	Operator string
	Intent   Intent
	Base     table.Offset // offset of the entity's last change; 0 if it does not exist
}

// ClaimMade claims an idempotency key before the first byte of its request is sent.
type ClaimMade struct {
	Key         table.ClaimKey
	Kind        table.KindID
	Digest      uint64
	Seat        table.SeatID
	Incarnation table.Incarnation
}

// ClaimEnded records the answer of a claimed request, or that it is unknown or was not run.
type ClaimEnded struct {
	Key         table.ClaimKey
	Made        table.Offset // offset of the claim that ends
	State       table.ClaimState
	Status      int
	ContentType string
	Answer      []byte
	Fault       fault.Kind
}

// WorkerQuarantined stops new work on a worker that fails what it starts.
type WorkerQuarantined struct {
	ID     table.WorkerID
	Reason string
}

// WorkerReleased ends a quarantine.
type WorkerReleased struct {
	ID table.WorkerID
}

// Expired forgets ended claims and final jobs last changed at or before the given offsets, and writers without a seat.
//
// Writers must be older than any append that may still arrive late; a day is ample.
type Expired struct {
	Claims  table.Offset
	Jobs    table.Offset
	Writers table.Offset
}
