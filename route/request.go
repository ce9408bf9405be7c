package route

import (
	"net/http"
	"time"

	"persimmonpick/fault"
	"persimmonpick/table"
)

// Request is a request whose caller waits for the response.
type Request struct {
	ID       string // sent as X-Request-Id
	Kind     table.Kind
	Team     table.TeamID
	Body     []byte
	Header   http.Header
	Deadline time.Time // zero means the timeout of the kind
	Key      string    // idempotency key, if any; not sent to the backend server
}

// Response is the complete response of a backend server.
type Response struct {
	Status   int
	Header   http.Header
	Body     []byte
	Instance table.InstanceID
	Ran      fault.Ran
}

// Observation describes how a request ended.
type Observation struct {
	Kind     table.KindID
	Instance table.InstanceID // last instance tried, if any
	Worker   table.WorkerID
	Latency  time.Duration // as seen by the caller, including queueing and retries
	Fault    fault.Kind    // BackendFailed also for a complete response with a status of 500 or above
	At       time.Time     // when the request ended
}
