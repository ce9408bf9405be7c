package dispatch

import (
	"context"
	"time"

	"persimmonpick/table"
	"persimmonpick/workload"
)

// FenceToken is a fencing token: a worker obeys only orders with the highest token that it has seen.
type FenceToken uint64

// WorkerClock is a time on the monotonic clock of one incarnation of a worker, in milliseconds.
type WorkerClock int64

// ClockRange is what the clock of one incarnation of a worker may read until an order to it is answered; the zero value
// means that this is not known.
type ClockRange struct{ Least, Most WorkerClock }

// Excludes reports whether c is a reading of another incarnation; a reading within the range may be of either.
func (r ClockRange) Excludes(c WorkerClock) bool { return r.Most != 0 && (c < r.Least || c > r.Most) }

// ResultNumber numbers the ended runs of one incarnation of a worker, from 1.
type ResultNumber int64

// WorkerInfo is the entry of a worker in the worker list.
type WorkerInfo struct {
	ID          table.WorkerID
	Service     table.ServiceID
	Address     string // host:port
	Zone        table.ZoneID
	Rack        table.RackID
	Labels      []string
	Capacity    table.Resources
	Incarnation table.UnixMillis // start time of the incarnation, which identifies it
	Draining    bool
	LeavesIn    time.Duration // minimum time until a draining worker leaves
}

// StartOrder asks a worker to start a run of a task.
type StartOrder struct {
	Worker     table.WorkerID
	Address    string
	Task       workload.TaskKey
	Run        workload.RunNumber
	Payload    string
	Checkpoint string
	Ticket     string      // from the approval service, if the queue needs approval
	LeaseUntil WorkerClock // lease of all runs on the worker
	Token      FenceToken
	Clock      ClockRange // of a reply by the incarnation that the order is for

	incarnation table.UnixMillis // that the order is for
}

// Outcome returns the outcome of o, which a worker has answered with the given result at the given time on its clock.
func (o StartOrder) Outcome(res StartResult, clock WorkerClock) StartResult {
	if o.Clock.Excludes(clock) && res != RefusedIncarnation {
		return AnsweredByAnother
	}
	return res
}

// StopOrder asks a worker to stop a run.
type StopOrder struct {
	Worker  table.WorkerID
	Address string
	Task    workload.TaskKey
	Run     workload.RunNumber
	Token   FenceToken
}

// ThrottleOrder sets the share of its processors that a run may use, in percent.
type ThrottleOrder struct {
	Worker  table.WorkerID
	Address string
	Task    workload.TaskKey
	Run     workload.RunNumber
	Percent int
	Token   FenceToken
}

// PollOrder asks a worker for its running and ended runs, and may extend its lease.
type PollOrder struct {
	Worker     table.WorkerID
	Address    string
	Token      FenceToken
	Acked      ResultNumber  // results up to this number need not be listed again
	LeaseUntil WorkerClock   // 0 leaves the lease as it is
	Wait       time.Duration // how long the worker waits for a run to end before it answers

	clock ClockRange // of a reply by the incarnation that the order is for
}

// StartResult is the outcome of a StartOrder.
type StartResult uint8

// The outcomes of a StartOrder; all but Started, StartUnknown and AnsweredByAnother mean that the run did not start.
const (
	Started StartResult = iota
	StartUnknown
	RefusedFence        // the worker has seen a higher fencing token
	RefusedStaleRun     // the worker has stopped or ended this run or a later one
	RefusedLeaseExpired // the lease had ended
	RefusedCapacity     // the worker has no room for the task
	RefusedTicket       // the ticket has expired
	RefusedIncarnation  // the worker has restarted
	RefusedUnhealthy    // the worker accepts no tasks
	RefusedInvalid      // the worker could not parse the order
	NotSent
	AnsweredByAnother // another incarnation than the one that the order is for may have started the run
)

var startResultNames = [...]string{
	"Started", "Unknown", "Fence", "Old", "Late", "Room", "Ticket", "Life", "Unhealthy", "Invalid", "NotSent", "AnotherLife",
}

// String returns the name of r.
func (r StartResult) String() string { return startResultNames[r] }

// EndCause is the reason why a run ended.
type EndCause uint8

// The causes of the end of a run.
const (
	EndDone           EndCause = iota
	EndFailed                  // through a fault of the task or of the worker
	EndStopped                 // by a stop order
	EndLeaseExpired            // the lease ended
	EndGangBroken              // another member of the gang ended
	EndGangIncomplete          // the other members of the gang did not start
)

var endCauseNames = [...]string{"Done", "Failed", "Stopped", "Lapsed", "Broken", "Alone"}

// String returns the name of c.
func (c EndCause) String() string { return endCauseNames[c] }

// RunningTask is a run that a worker lists as running.
type RunningTask struct {
	Task       workload.TaskKey
	Run        workload.RunNumber
	Checkpoint string
	Percent    int              // of its work; 100 for a long-running task that is ready
	Tail       time.Duration    // recent tail latency, of a latency-critical task
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

// PollReply is the reply to a PollOrder.
type PollReply struct {
	Incarnation table.UnixMillis // 0 if the worker did not report it
	Clock       WorkerClock
	Running     []RunningTask
	Ended       []TaskResult
}

// ApprovalOrder is an approval request: it asks which workers may run a step.
type ApprovalOrder struct {
	Step          workload.StepKey
	Workers       []table.WorkerID
	EstimatedTime time.Duration // expected time until the response
}

// ApprovalResponse is the response to an ApprovalOrder; workers without a ticket may not run the step.
type ApprovalResponse struct {
	Tickets  map[table.WorkerID]string
	Validity time.Duration // of the tickets; 0 if the response does not give it
}

// Workers holds the calls to the workers and to the approval service. Poll fails with fault.Stale if the worker has
// seen the token of another leader, and with fault.NotCurrent if it has restarted; after any other error the order may
// have taken effect or may still do so. RequestApproval fails with fault.Overloaded if the approval service accepts no
// more requests.
type Workers struct {
	Start    func(ctx context.Context, o StartOrder) StartResult
	Stop     func(ctx context.Context, o StopOrder) error
	Throttle func(ctx context.Context, o ThrottleOrder) error
	Poll     func(ctx context.Context, o PollOrder) (PollReply, error)

	RequestApproval func(ctx context.Context, o ApprovalOrder) (ApprovalResponse, error)
}
