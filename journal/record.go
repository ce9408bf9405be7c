package journal

import (
	"persimmonpick/fault"
	"persimmonpick/table"
)

// Streams of the platform's log.
const (
	RecordStream   = "Records"
	SnapshotStream = "Snapshots"
)

// Batch is one entry of the record stream.
type Batch struct {
	Writer  table.Incarnation // process that appended the batch
	Seq     uint64            // counts the batches of Writer from 1; a duplicate has no effect
	Time    table.UnixMillis  // clock of the writer, for display only
	Records []Record
}

// Record is one proposed change; exactly one field is set.
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

// HostJoined assigns a seat to a new process, which replaces the previous incarnation on that seat.
type HostJoined struct {
	Seat        table.SeatID
	Incarnation table.Incarnation
	Address     string
	Zone        table.ZoneID
}

// HostLeft releases a seat on a planned shutdown.
type HostLeft struct {
	Seat        table.SeatID
	Incarnation table.Incarnation
	Settled     bool // earlier processes of the seat are known to have stopped acting
}

// WorkerSeen adds a worker or updates its rack, zone, capacity or Leaving flag.
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

// InstanceSeen adds or updates an instance; its Need counts against the capacity of its worker.
type InstanceSeen struct {
	Instance table.Instance
}

// InstanceGone removes an instance.
type InstanceGone struct {
	ID table.InstanceID
}

// JobSubmitted admits a job with TaskCount tasks, whose ids are "<job>/0", "<job>/1" and so on.
type JobSubmitted struct {
	Job       table.Job
	TaskCount int
	Digest    uint64 // hash of the submission; a resubmission under the same id must carry the same digest
}

// JobCancelled cancels a job; the job becomes final once its held tasks have stopped.
type JobCancelled struct {
	Job table.JobID
}

// LeaseGranted assigns a pending task to a worker; the offset of its batch is the fencing token of the lease.
type LeaseGranted struct {
	Task   table.TaskID
	Worker table.WorkerID
	Need   table.Resources
	Holder table.SeatID
}

// LeaseStarted records that the worker confirmed the start or, for a non-idempotent task, that the start is about to be
// sent. Only the first such record of a lease takes effect.
type LeaseStarted struct {
	Task    table.TaskID
	Token   table.Token
	Starter table.Incarnation
}

// LeaseRevoked requests that a task stop; hosts that have applied it no longer renew the lease.
type LeaseRevoked struct {
	Task   table.TaskID
	Token  table.Token
	Reason string
}

// LeaseOutcome is the way in which a lease ended.
type LeaseOutcome string

// Outcomes of a lease.
const (
	LeaseFinished   LeaseOutcome = "Finished"   // the task ran to completion
	LeaseFailed     LeaseOutcome = "Failed"     // the task ran and failed; it may be retried
	LeaseStopped    LeaseOutcome = "Stopped"    // the worker confirmed a stop; the task resumes from Checkpoint
	LeaseNotStarted LeaseOutcome = "NotStarted" // the worker confirmed that the task never ran
	LeaseExpired    LeaseOutcome = "Expired"    // the worker is lost and the lease has run out
)

// LeaseEnded ends a lease; the outcome Expired is valid only after LeaseRevoked.
type LeaseEnded struct {
	Task    table.TaskID
	Token   table.Token
	Outcome LeaseOutcome
	// Starter is set for NotStarted after LeaseStarted: the process that announced the start and whose only start
	// request was refused.
	Starter    table.Incarnation `cbor:",omitempty"`
	Checkpoint []byte
	Result     []byte
	Reason     string
}

// IntentType is the kind of change that an intent makes.
type IntentType string

// Types of intents.
const (
	SetKind     IntentType = "SetKind"
	RemoveKind  IntentType = "RemoveKind"
	SetTeam     IntentType = "SetTeam"
	RemoveTeam  IntentType = "RemoveTeam"
	SetLimit    IntentType = "SetLimit"
	SetDrain    IntentType = "SetDrain"
	RemoveDrain IntentType = "RemoveDrain"
	ResolveTask IntentType = "ResolveTask" // decide the outcome of a task in state Unknown
)

// Intent is a configuration change to one entity; only the field that matches Type is set.
type Intent struct {
	Type    IntentType
	Kind    *table.Kind  `cbor:",omitempty" json:",omitempty"`
	Team    *table.Team  `cbor:",omitempty" json:",omitempty"`
	Limit   *table.Limit `cbor:",omitempty" json:",omitempty"`
	Drain   *table.Drain `cbor:",omitempty" json:",omitempty"`
	Task    table.TaskID `cbor:",omitempty" json:",omitempty"`
	Outcome string       `cbor:",omitempty" json:",omitempty"` // for ResolveTask: one of the Resolve constants
}

// PlanConfirmed applies an intent if the entity is still at version Base.
type PlanConfirmed struct {
	ID       table.PlanID
	Operator string
	Intent   Intent
	Base     table.Offset // offset of the entity's last change; 0 if it never existed
}

// ClaimMade claims an idempotency key before any byte of its request is sent.
type ClaimMade struct {
	Key         table.ClaimKey
	Kind        table.KindID
	Digest      uint64
	Seat        table.SeatID
	Incarnation table.Incarnation
}

// ClaimEnded records the response to a claimed request, or that its outcome is unknown or that it was not run.
type ClaimEnded struct {
	Key         table.ClaimKey
	Made        table.Offset // offset of the claim that ends
	State       table.ClaimState
	Status      int
	ContentType string
	Answer      []byte
	Fault       fault.Kind
}

// WorkerQuarantined stops the assignment of new work to a worker that fails what it starts.
type WorkerQuarantined struct {
	ID     table.WorkerID
	Reason string
}

// WorkerReleased ends a quarantine.
type WorkerReleased struct {
	ID table.WorkerID
}

// Expired deletes old claims, jobs and writers, each up to the given offset: claims that have ended, by the offset at
// which they were made, and final jobs and writers without a seat, by the offset of their last change.
//
// The offset for writers must be older than any append that may still arrive late; one day back is ample.
type Expired struct {
	Claims  table.Offset
	Jobs    table.Offset
	Writers table.Offset
}
