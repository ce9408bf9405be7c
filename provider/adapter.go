package provider

import (
	"context"
	"time"

	"persimmonpick/table"
)

// Entry is one entry of a stream of the log.
type Entry struct {
	Offset table.Offset
	Data   []byte
}

// Page is the result of one read of a stream.
type Page struct {
	Entries []Entry
	Oldest  table.Offset // oldest offset still retained
	End     table.Offset // next offset to be assigned, as of the read
}

// Log is the platform's append-only log; both functions return an error of kind fault.LogUnavailable in an outage.
type Log struct {
	// Append appends data to a stream and returns its offset; after an error it may or may not have taken effect.
	Append func(ctx context.Context, stream string, data []byte) (table.Offset, error)
	// Read returns at most n entries from offset from on. It waits up to wait for one to arrive, and returns an error
	// of kind fault.NotFound if from is no longer retained.
	Read func(ctx context.Context, stream string, from table.Offset, n int, wait time.Duration) (Page, error)
}

// WorkerInfo is one worker in the platform's host list.
type WorkerInfo struct {
	ID       table.WorkerID
	Rack     table.RackID
	Zone     table.ZoneID
	Capacity table.Resources
	Leaving  bool
}

// HostList is the platform's list of live and leaving hosts and of the instances on them; it lags behind.
type HostList struct {
	AsOf      time.Time
	Workers   []WorkerInfo
	Instances []table.Instance
}

// Hosts is the platform's host list service.
type Hosts struct {
	List func(ctx context.Context) (HostList, error)
}

// StartRequest asks a worker to start a task under a lease.
type StartRequest struct {
	Task       table.TaskID
	Token      table.Token
	Kind       table.KindID
	Need       table.Resources
	Payload    []byte
	Checkpoint []byte
	Until      time.Time // expiry of the lease; the worker then stops the task
}

// Renewal extends one lease, or names an ended task in Workers.Forget.
type Renewal struct {
	Task  table.TaskID
	Token table.Token
	Until time.Time
}

// RunState is the state of a task as reported by its worker.
type RunState string

// States that a worker reports.
const (
	RunUnaccepted RunState = "Unaccepted" // the worker never accepted this token
	RunRunning    RunState = "Running"
	RunStopped    RunState = "Stopped"
	RunFinished   RunState = "Finished"
	RunFailed     RunState = "Failed"
)

// TaskStatus is a worker's status of one task under one token.
type TaskStatus struct {
	Task       table.TaskID
	Token      table.Token
	State      RunState
	Checkpoint []byte
	Result     []byte
	Reason     string
}

// TaskUsage is the resource usage of one task when a report was taken.
type TaskUsage struct {
	Task     table.TaskID
	Token    table.Token
	Used     table.Resources
	Progress float64 // completed share of the task, 0 to 1
}

// InstanceUsage is the load and latency of one instance when a report was taken.
type InstanceUsage struct {
	Instance table.InstanceID
	Load     float64 // share of its slots in use
	P99      time.Duration
}

// Report is a worker's report of its tasks and instances; statuses are current, usage lags behind.
type Report struct {
	Worker    table.WorkerID
	Statuses  []TaskStatus // running tasks, and ended tasks that were not dropped by Workers.Forget
	Taken     time.Time    // when the usage was measured
	Tasks     []TaskUsage
	Instances []InstanceUsage
}

// Workers sends commands to workers; after an error a command may or may not have taken effect.
type Workers struct {
	// Start starts a task; a repeat with the same token has no effect. It returns an error of kind fault.Stale for an
	// old or stopped token, and of kind fault.Capacity if the task does not fit.
	Start func(ctx context.Context, w table.WorkerID, req StartRequest) error
	// Renew extends leases; it ignores tokens that are not running.
	Renew func(ctx context.Context, w table.WorkerID, rs []Renewal) error
	// Stop stops a task and returns its status; afterwards the worker never starts this token or an older one.
	Stop func(ctx context.Context, w table.WorkerID, task table.TaskID, token table.Token) (TaskStatus, error)
	// Checkpoint makes a running task save a checkpoint, which the next report carries.
	Checkpoint func(ctx context.Context, w table.WorkerID, task table.TaskID, token table.Token) error
	// Throttle sets the CPU share of a task, 0 to 1 of its processors.
	Throttle func(ctx context.Context, w table.WorkerID, task table.TaskID, token table.Token, share float64) error
	// Report returns the latest report of a worker.
	Report func(ctx context.Context, w table.WorkerID) (Report, error)
	// Forget drops ended tasks whose outcome is recorded in the log.
	Forget func(ctx context.Context, w table.WorkerID, rs []Renewal) error
}

// Platform is the client of all services of the platform.
type Platform struct {
	Log     Log
	Hosts   Hosts
	Workers Workers
}
