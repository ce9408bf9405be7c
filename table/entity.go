package table

import "persimmonpick/fault"

// Class distinguishes latency-critical requests, whose callers wait for the response, from batch jobs.
type Class string

// The classes of requests and jobs.
const (
	LatencyCritical Class = "LatencyCritical"
	Batch           Class = "Batch"
)

// Worker is a host of the platform that runs tasks and instances.
type Worker struct {
	ID          WorkerID
	Rack        RackID
	Zone        ZoneID
	Capacity    Resources
	Leaving     bool // the platform lists it as leaving
	Gone        bool // no longer listed; retained while it still has leases or instances
	Quarantined bool
	Used        Resources // sum of the needs of its open leases and its instances
	Holds       int       // number of its open leases and its instances

	QuarantineReason string
	QuarantinedAt    UnixMillis // by the clock of the host that wrote the record
	Changed          Offset
}

// Instance is one running copy of a service on a worker.
type Instance struct {
	ID          InstanceID
	Service     ServiceID
	Worker      WorkerID
	Zone        ZoneID
	Address     string // host:port of its HTTP listener
	Need        Resources
	Slots       int
	Connections int
	Leaving     bool
	Changed     Offset
}

// Kind is a kind of request or job that operators have admitted.
type Kind struct {
	ID            KindID
	Class         Class
	Service       ServiceID // service that serves requests of a latency-critical kind
	Path          string    // path of the request at the backend server
	NonIdempotent bool      // runs at most once
	Timeout       Millis    // longest time that a caller waits; 0 means the default
	Objective     Objective
	Changed       Offset
}

// Objective is the service-level objective of a kind.
type Objective struct {
	Target  float64 // fraction of requests that must be good, such as 0.999
	Latency Millis  // a request is good if it succeeds within this time
}

// Team owns jobs and has a quota.
type Team struct {
	ID      TeamID
	Quota   Resources // maximum total of the leases of its tasks
	Weight  float64   // fair-share weight relative to other teams
	MaxJobs int       // maximum number of unfinished jobs; 0 means no limit
	Changed Offset
}

// The limits that operators can set. Each overrides the setting of the same name on every entry host.
const (
	MaxInFlight    LimitID = "MaxInFlight"    // concurrent requests per entry host
	MaxTasksPerJob LimitID = "MaxTasksPerJob" // tasks per job
)

// Limits returns the ids of the limits that operators can set.
func Limits() []LimitID {
	return []LimitID{MaxInFlight, MaxTasksPerJob}
}

// Limit is a limit set by operators, such as MaxInFlight.
type Limit struct {
	ID      LimitID
	Value   int64
	Changed Offset
}

// Drain excludes a worker or all workers of a rack from new work and moves their tasks to other workers.
type Drain struct {
	Rack    RackID
	Worker  WorkerID
	Changed Offset
}

// JobState is the state of a job.
type JobState string

// The states of a job. Finished, Failed and Cancelled are final.
const (
	JobPending   JobState = "Pending"
	JobRunning   JobState = "Running"
	JobUnknown   JobState = "Unknown" // the outcome of a task is unknown; an operator must resolve it
	JobFinished  JobState = "Finished"
	JobFailed    JobState = "Failed"
	JobCancelled JobState = "Cancelled"
)

// Final reports whether s is a terminal state.
func (s JobState) Final() bool {
	return s == JobFinished || s == JobFailed || s == JobCancelled
}

// Job is batch work submitted by a caller.
type Job struct {
	ID            JobID
	Team          TeamID
	Kind          KindID
	Need          Resources // declared size of each task
	RunTime       Millis    // declared run time of each task
	Deadline      UnixMillis
	Urgent        bool
	NonIdempotent bool
	Gang          bool // its tasks start all together or not at all
	MaxAttempts   int
	Payload       []byte
	Submitted     UnixMillis
	State         JobState
	Tasks         []TaskID
	Open          int // number of tasks that are not final
	Counts        TaskCounts
	Digest        uint64 // hash of the submission
	Cancelled     bool   // cancelled by its caller
	Changed       Offset
}

// TaskCounts counts the tasks of a job by state.
type TaskCounts struct {
	Held      int
	Unknown   int
	Failed    int
	Cancelled int
}

// TaskState is the state of a task.
type TaskState string

// The states of a task. Finished, Failed and Cancelled are final.
const (
	TaskPending   TaskState = "Pending"
	TaskLeased    TaskState = "Leased"   // granted to a worker
	TaskStarted   TaskState = "Started"  // the start was announced or confirmed in the log, see Lease.Started
	TaskRevoking  TaskState = "Revoking" // its lease is revoked; it must stop before it may run elsewhere
	TaskUnknown   TaskState = "Unknown"  // non-idempotent, and its worker was lost, so that it may have run
	TaskFinished  TaskState = "Finished"
	TaskFailed    TaskState = "Failed"
	TaskCancelled TaskState = "Cancelled"
)

// Final reports whether s is a terminal state.
func (s TaskState) Final() bool {
	return s == TaskFinished || s == TaskFailed || s == TaskCancelled
}

// Held reports whether a task in state s holds a lease.
func (s TaskState) Held() bool {
	return s == TaskLeased || s == TaskStarted || s == TaskRevoking
}

// Task is one unit of a job. It runs on at most one worker at a time.
type Task struct {
	ID         TaskID
	Job        JobID
	State      TaskState
	Lease      Lease // valid while State.Held; in state Unknown the lost lease, which uses no resources
	LastToken  Token // token of the latest lease, also after it has ended
	Attempts   int   // number of leases that ended as Failed
	Evictions  int
	Checkpoint []byte
	Result     []byte
	Reason     string // why it failed, became unknown or was revoked
	Changed    Offset
}

// Lease is the right of one worker to run one task.
type Lease struct {
	Worker    WorkerID
	Token     Token // offset of the grant
	Need      Resources
	Holder    SeatID // seat that proposed it
	Granted   UnixMillis
	Started   bool        // the start was announced or confirmed in the log
	Starter   Incarnation // process that announced the start; no other may send the start of a non-idempotent task
	Revoked   Offset      // offset of the revocation, or 0
	Cancelled bool        // the task becomes Cancelled once it has stopped
}

// ClaimState is the state of an idempotency key.
type ClaimState string

// The states of a claim.
const (
	ClaimRunning ClaimState = "Running"
	ClaimDone    ClaimState = "Done"
	ClaimUnknown ClaimState = "Unknown"
	ClaimNotRun  ClaimState = "NotRun" // the request was not sent; the key may be claimed again
)

// ClaimKey is an idempotency key, which is unique within its team.
type ClaimKey struct {
	Team TeamID
	Key  string
}

// Claim is the record of one idempotency key and, once known, of its response.
type Claim struct {
	ClaimKey
	Kind        KindID
	Digest      uint64 // hash of the request body
	State       ClaimState
	Seat        SeatID
	Incarnation Incarnation
	Status      int
	ContentType string
	Answer      []byte
	Fault       fault.Kind
	Made        Offset
}

// EntryHost is the process that holds or last held a seat.
type EntryHost struct {
	Seat        SeatID
	Incarnation Incarnation
	Address     string // host:port of its peer listener
	Zone        ZoneID
	Left        bool
	Displaced   bool // a process of the seat was superseded without having left, and may still run
	Joined      Offset
}
