package table

import "persimmonpick/fault"

// Class says whether somebody waits for the work.
type Class string

// The classes of work.
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
	Gone        bool // no longer listed; kept while leases remain
	Quarantined bool
	Used        Resources // sum of leases not ended and of instances
	Holds       int       // number of leases not ended and of instances

	QuarantineReason string
	QuarantinedAt    UnixMillis // clock of the writer of the record
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

// Kind is a kind of request or job that operators admitted.
type Kind struct {
	ID            KindID
	Class         Class
	Service       ServiceID // service that answers requests of a latency-critical kind
	Path          string    // path of the request at the backend server
	NonIdempotent bool      // runs at most once
	Timeout       Millis    // longest time a caller waits; 0 takes the default
	Objective     Objective
	Changed       Offset
}

// Objective is the service-level objective of a kind.
type Objective struct {
	Target  float64 // share of requests that must be good, such as 0.999
	Latency Millis  // a request is good if it is answered within this time
}

// Team owns jobs and has a quota.
type Team struct {
	ID      TeamID
	Quota   Resources // most that its running tasks may hold together
	Weight  float64   // share relative to other teams when work waits
	MaxJobs int       // most unfinished jobs; 0 means no limit
	Changed Offset
}

// The limits that operators can set; each takes the place of the setting of the same name on every entry host.
const (
	MaxInFlight    LimitID = "MaxInFlight"    // requests that one entry host serves at once
	MaxTasksPerJob LimitID = "MaxTasksPerJob" // tasks of one job
)

// Limits lists the limits that operators can set.
func Limits() []LimitID {
	return []LimitID{MaxInFlight, MaxTasksPerJob}
}

// Limit is a number that operators set, such as MaxInFlight.
type Limit struct {
	ID      LimitID
	Value   int64
	Changed Offset
}

// Drain takes a worker or a whole rack out of use.
type Drain struct {
	Rack    RackID
	Worker  WorkerID
	Changed Offset
}

// JobState is the state of a job.
type JobState string

// The states of a job; the last four are final.
const (
	JobPending   JobState = "Pending"
	JobRunning   JobState = "Running"
	JobUnknown   JobState = "Unknown" // an operator must decide
	JobFinished  JobState = "Finished"
	JobFailed    JobState = "Failed"
	JobCancelled JobState = "Cancelled"
)

// Final says whether s never changes again.
func (s JobState) Final() bool {
	return s == JobFinished || s == JobFailed || s == JobCancelled
}

// Job is deferred work that a caller submitted.
type Job struct {
	ID            JobID
	Team          TeamID
	Kind          KindID
	Need          Resources // declared size of each task
	RunTime       Millis    // declared run time of each task
	Deadline      UnixMillis
	Urgent        bool
	NonIdempotent bool
	Gang          bool // all tasks start together or none does
	MaxAttempts   int
	Payload       []byte
	Submitted     UnixMillis
	State         JobState
	Tasks         []TaskID
	Open          int // tasks that are not final
	Counts        TaskCounts
	Digest        uint64 // hash of the submission
	Cancelled     bool   // its caller cancelled it
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

// The states of a task; the last three are final.
const (
	TaskPending   TaskState = "Pending"
	TaskLeased    TaskState = "Leased"   // granted to a worker
	TaskStarted   TaskState = "Started"  // the worker confirmed the start
	TaskRevoking  TaskState = "Revoking" // must stop before it may move
	TaskUnknown   TaskState = "Unknown"  // non-idempotent, and its worker was lost
	TaskFinished  TaskState = "Finished"
	TaskFailed    TaskState = "Failed"
	TaskCancelled TaskState = "Cancelled"
)

// Final says whether s never changes again.
func (s TaskState) Final() bool {
	return s == TaskFinished || s == TaskFailed || s == TaskCancelled
}

// Held says whether a task in state s holds a lease.
func (s TaskState) Held() bool {
	return s == TaskLeased || s == TaskStarted || s == TaskRevoking
}

// Task is one unit of a job that runs on one worker at a time.
type Task struct {
	ID         TaskID
	Job        JobID
	State      TaskState
	Lease      Lease // set while State is held; in state Unknown it is the lost lease, which counts nowhere
	LastToken  Token // token of the newest lease, also when it has ended
	Attempts   int   // leases that ended as Failed
	Evictions  int
	Checkpoint []byte
	Result     []byte
	Reason     string // why it failed, is unknown or was revoked
	Changed    Offset
}

// Lease is the right of one worker to run one task.
type Lease struct {
	Worker    WorkerID
	Token     Token // offset of the grant
	Need      Resources
	Holder    SeatID // seat that proposed it
	Granted   UnixMillis
	Started   bool        // the start was announced or confirmed
	Starter   Incarnation // process that announced it, which alone may send a non-idempotent start
	Revoked   Offset
	Cancelled bool // ends as Cancelled once stopped
}

// ClaimState is the state of an idempotency key.
type ClaimState string

// The states of a claim.
const (
	ClaimRunning ClaimState = "Running"
	ClaimDone    ClaimState = "Done"
	ClaimUnknown ClaimState = "Unknown"
	ClaimNotRun  ClaimState = "NotRun" // nothing was sent; the key may be claimed again
)

// ClaimKey is an idempotency key within its team.
type ClaimKey struct {
	Team TeamID
	Key  string
}

// Claim holds one idempotency key and, when known, its answer.
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

// EntryHost is the process that holds a seat.
type EntryHost struct {
	Seat        SeatID
	Incarnation Incarnation
	Address     string // host:port of its peer listener
	Zone        ZoneID
	Left        bool
	Displaced   bool // some process of the seat was replaced without leaving, and may still run
	Joined      Offset
}
