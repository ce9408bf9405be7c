package provider

import (
	"time"

	"persimmonpick/table"
)

// The paths of the platform's HTTP protocol; each takes a POST with a JSON body.
const (
	PathAppend     = "/log/append"
	PathRead       = "/log/read"
	PathHosts      = "/hosts/list"
	PathStart      = "/workers/start"
	PathRenew      = "/workers/renew"
	PathStop       = "/workers/stop"
	PathCheckpoint = "/workers/checkpoint"
	PathThrottle   = "/workers/throttle"
	PathReport     = "/workers/report"
	PathForget     = "/workers/forget"
)

// AppendCall is the body of a call of PathAppend.
type AppendCall struct {
	Stream string
	Data   []byte
}

// AppendAnswer is the answer to a call of PathAppend.
type AppendAnswer struct {
	Offset table.Offset
}

// ReadCall is the body of a call of PathRead.
type ReadCall struct {
	Stream   string
	From     table.Offset
	Count    int
	Wait     time.Duration // nanoseconds
	MaxBytes table.Bytes   // the page ends before an entry that exceeds this, but holds at least one
}

// WorkerCall is the body of the calls that go to one worker; each call uses the fields that it needs.
type WorkerCall struct {
	Worker   table.WorkerID
	Start    *StartRequest `json:",omitempty"`
	Renewals []Renewal     `json:",omitempty"`
	Task     table.TaskID  `json:",omitempty"`
	Token    table.Token   `json:",omitempty"`
	Share    float64
}

// Refusal is the body of every answer that is not a success; Code is the stable code of a fault.Kind.
type Refusal struct {
	Code    string
	Message string
}
