package provider

import (
	"time"

	"persimmonpick/table"
)

// Paths of the platform's HTTP API; each takes a POST with a JSON body.
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

// AppendCall is the request body of PathAppend.
type AppendCall struct {
	Stream string
	Data   []byte
}

// AppendAnswer is the response body of PathAppend.
type AppendAnswer struct {
	Offset table.Offset
}

// ReadCall is the request body of PathRead.
type ReadCall struct {
	Stream   string
	From     table.Offset
	Count    int
	Wait     time.Duration // nanoseconds
	MaxBytes table.Bytes   // limit of a page, which holds at least one entry even if larger
}

// WorkerCall is the request body of all calls to a worker; each call uses the fields that it needs.
type WorkerCall struct {
	Worker   table.WorkerID
	Start    *StartRequest `json:",omitempty"`
	Renewals []Renewal     `json:",omitempty"`
	Task     table.TaskID  `json:",omitempty"`
	Token    table.Token   `json:",omitempty"`
	Share    float64
}

// Refusal is the response body of every failed call; Code is the code of a fault.Kind.
type Refusal struct {
	Code    string
	Message string
}
