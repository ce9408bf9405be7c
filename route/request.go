package route

import (
	"net/http"
	"time"

	"persimmonpick/fault"
	"persimmonpick/table"
)

// Request is one request whose caller waits.
type Request struct {
	ID       string // sent as X-Request-Id
	Kind     table.Kind
	Team     table.TeamID
	Body     []byte
	Header   http.Header
	Deadline time.Time // zero takes the timeout of the kind
	Key      string    // idempotency key, if any; it is not sent to the backend server
}

// Response is the whole answer of a backend server.
type Response struct {
	Status   int
	Header   http.Header
	Body     []byte
	Instance table.InstanceID
	Ran      fault.Ran
}

// Observation tells how one request ended.
type Observation struct {
	Kind     table.KindID
	Instance table.InstanceID // last instance tried, if any
	Worker   table.WorkerID
	Latency  time.Duration // as the caller saw it, with all waiting and retries
	Fault    fault.Kind    // BackendFailed also for a whole answer with status 500 or above
	At       time.Time     // when it ended
}
