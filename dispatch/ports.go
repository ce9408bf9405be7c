package dispatch

import (
	"context"
	"time"

	"persimmonpick/table"
	"persimmonpick/workload"
)

// FenceToken orders the callers of a worker; a worker ignores all but the highest that it has seen.
type FenceToken uint64

// WorkerClock is a time on the steady clock of one life of a worker, in milliseconds.
type WorkerClock int64

// ResultNumber counts the ended runs of one life of a worker; the first is 1.
type ResultNumber int64

// WorkerInfo is what a worker says of itself in the list of workers.
type WorkerInfo struct {
	ID       table.WorkerID
	Service  table.ServiceID
	Address  string // host:port
	Zone     table.ZoneID
	Rack     table.RackID
	Labels   []string
	Capacity table.Resources
	Born     table.UnixMillis // start of this life
	Draining bool
	LeavesIn time.Duration // at least this long until a draining worker leaves
}

// StartOrder asks a worker to start a run of a task.
type StartOrder struct {
	Worker     table.WorkerID
	Address    string
	Task       workload.TaskKey
	Run        workload.RunNumber
	Payload    string
	Checkpoint string
	Ticket     string      // of the service that advises on workers, if any
	Until      WorkerClock // lease of all that runs there
	Token      FenceToken
}

// StopOrder asks a worker to stop a run.
type StopOrder struct {
	Worker  table.WorkerID
	Address string
	Task    workload.TaskKey
	Run     workload.RunNumber
	Token   FenceToken
}

// ThrottleOrder sets the share of its processors that a run may use.
type ThrottleOrder struct {
	Worker  table.WorkerID
	Address string
	Task    workload.TaskKey
	Run     workload.RunNumber
	Percent int
	Token   FenceToken
}

// PollOrder asks a worker what runs and what has ended there, and may extend its lease.
type PollOrder struct {
	Worker  table.WorkerID
	Address string
	Token   FenceToken
	Acked   ResultNumber  // endings up to this one need not be listed again
	Until   WorkerClock   // 0 leaves the lease as it is
	Wait    time.Duration // longest wait for an ending
}

// StartResult is the outcome of a StartOrder.
type StartResult uint8

// The outcomes of a StartOrder; all but Started and StartUnknown say that the run did not start.
const (
	Started StartResult = iota
	StartUnknown
	RefusedFence     // another leader has spoken to the worker
	RefusedStaleRun       // the worker has stopped or ended this run or a later one
	RefusedLeaseExpired      // the lease had ended
	RefusedCapacity      // it does not fit
	RefusedTicket    // the advice has expired
	RefusedIncarnation      // the worker has restarted
	RefusedUnhealthy // the worker takes no work
	RefusedInvalid   // the worker does not understand the order
	NotSent
)

var startResultNames = [...]string{
	"Started", "Unknown", "Fence", "Old", "Late", "Room", "Ticket", "Life", "Unhealthy", "Invalid", "NotSent",
}

// String returns the name of r.
func (r StartResult) String() string { return startResultNames[r] }

// EndCause says how a run ended.
type EndCause uint8

// The ways in which a run ends.
const (
	EndDone    EndCause = iota
	EndFailed           // by its own fault or the worker's
	EndStopped          // by an order
	EndLeaseExpired           // the lease ended
	EndGangBroken           // another member of the gang ended
	EndGangIncomplete            // the other members of the gang did not come
)

var endCauseNames = [...]string{"Done", "Failed", "Stopped", "Lapsed", "Broken", "Alone"}

// String returns the name of c.
func (c EndCause) String() string { return endCauseNames[c] }

// RunningTask is a run that a worker lists as running.
type RunningTask struct {
	Task       workload.TaskKey
	Run        workload.RunNumber
	Checkpoint string
	Percent    int              // of its work; 100 for an endless task that is at work
	Tail       time.Duration    // recent tail latency, of a task that serves
	CPU        table.Millicores // recent use, of any other task
}

// TaskResult is a run that a worker lists as ended.
type TaskResult struct {
	Number     ResultNumber
	Task       workload.TaskKey
	Run        workload.RunNumber
	Cause      EndCause
	Checkpoint string
}

// PollReply is the answer to a LookOrder.
type PollReply struct {
	Born    table.UnixMillis // 0 if the worker did not say
	Clock   WorkerClock
	Running []RunningTask
	Ended   []TaskResult
}

// AdviceOrder asks which workers may run a step.
type AdviceOrder struct {
	Step    workload.StepKey
	Workers []table.WorkerID
	Takes   time.Duration // until the answer, as far as known
}

// Advice is the answer to an AdviceOrder; workers without a ticket may not run the step.
type Advice struct {
	Tickets  map[table.WorkerID]string
	Validity time.Duration // of the tickets; 0 if the service did not say
}

// Workers reaches the workers, and the service that approves them. Look fails with fault.Stale where another leader has spoken to the worker and with fault.NotCurrent where the worker has restarted; after any other error the order may have taken effect or may still do so. Advise fails with fault.Overloaded where the service takes no more questions.
type Workers struct {
	Start func(ctx context.Context, o StartOrder) StartResult
	Stop  func(ctx context.Context, o StopOrder) error
	Pace  func(ctx context.Context, o ThrottleOrder) error
	Look  func(ctx context.Context, o PollOrder) (PollReply, error)

	Advise func(ctx context.Context, o AdviceOrder) (Advice, error)
}
