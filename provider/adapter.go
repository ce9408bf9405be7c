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

// Page is the answer to one read of a stream.
type Page struct {
	Entries []Entry
	Oldest  table.Offset // oldest offset still retained
	End     table.Offset // next offset to be assigned, as of the read
}

// Log is the platform's append-only log service; both functions fail with fault.LogUnavailable in an outage.
type Log struct {
	// Append adds data to a stream and returns its offset; after an error it may or may not have taken effect.
	Append func(ctx context.Context, stream string, data []byte) (table.Offset, error)
	// Read returns entries from offset from on, at most n; it waits up to wait for one to arrive, and fails with fault.NotFound if from is no longer retained.
	Read func(ctx context.Context, stream string, from table.Offset, n int, wait time.Duration) (Page, error)
}

// WorkerInfo is one row of the platform's list of hosts.
type WorkerInfo struct {
	ID       table.WorkerID
	Rack     table.RackID
	Zone     table.ZoneID
	Capacity table.Resources
	Leaving  bool
}

// HostList is the platform's lagging list of live and leaving hosts and of the instances on them.
type HostList struct {
	AsOf      time.Time
	Workers   []WorkerInfo
	Instances []table.Instance
}

// Hosts is the platform's list of hosts.
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
	Until      time.Time // the worker stops the task at this time unless renewed
}

// Renewal extends one lease.
type Renewal struct {
	Task  table.TaskID
	Token table.Token
	Until time.Time
}

// RunState is the state of a task as its worker knows it.
type RunState string

// The states that a worker reports.
const (
	RunUnaccepted RunState = "Unaccepted" // the worker never accepted this token
	RunRunning    RunState = "Running"
	RunStopped    RunState = "Stopped"
	RunFinished   RunState = "Finished"
	RunFailed     RunState = "Failed"
)

// TaskStatus is what a worker says about one task under one token.
type TaskStatus struct {
	Task       table.TaskID
	Token      table.Token
	State      RunState
	Checkpoint []byte
	Result     []byte
	Reason     string
}

// TaskUsage is what one task used when a report was taken.
type TaskUsage struct {
	Task     table.TaskID
	Token    table.Token
	Used     table.Resources
	Progress float64 // share done, 0 to 1
}

// InstanceUsage is how one instance fared when a report was taken.
type InstanceUsage struct {
	Instance table.InstanceID
	Load     float64 // share of its slots in use
	P99      time.Duration
}

// Report is what a worker says about itself; usage lags, statuses do not.
type Report struct {
	Worker    table.WorkerID
	Statuses  []TaskStatus // running tasks and ended ones not yet forgotten
	Taken     time.Time    // when the usage was measured
	Tasks     []TaskUsage
	Instances []InstanceUsage
}

// Workers reaches the workers; after an error a command may or may not have taken effect.
type Workers struct {
	// Start starts a task; a repeat with the same token has no effect; it fails with fault.Stale for an old or stopped token and fault.Capacity where it does not fit.
	Start func(ctx context.Context, w table.WorkerID, req StartRequest) error
	// Renew extends leases; tokens that are not running are passed over.
	Renew func(ctx context.Context, w table.WorkerID, rs []Renewal) error
	// Stop stops a task and returns its state; after it the worker never starts this token or an older one.
	Stop func(ctx context.Context, w table.WorkerID, task table.TaskID, token table.Token) (TaskStatus, error)
	// Checkpoint makes a running task save a checkpoint, which the next report carries.
	Checkpoint func(ctx context.Context, w table.WorkerID, task table.TaskID, token table.Token) error
	// Throttle sets the share of its processors that a task may use, 0 to 1.
	Throttle func(ctx context.Context, w table.WorkerID, task table.TaskID, token table.Token, share float64) error
	// Report returns the newest report of a worker.
	Report func(ctx context.Context, w table.WorkerID) (Report, error)
	// Forget drops ended tasks whose outcome is in the log.
	Forget func(ctx context.Context, w table.WorkerID, rs []Renewal) error
}

// Platform is all that the platform gives.
type Platform struct {
	Log     Log
	Hosts   Hosts
	Workers Workers
}
