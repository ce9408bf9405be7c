package table

// WorkerID names a worker of the platform.
type WorkerID string

// RackID names a rack of workers.
type RackID string

// ZoneID names an availability zone.
type ZoneID string

// InstanceID names an instance of a service.
type InstanceID string

// ServiceID names a service that serves latency-critical requests.
type ServiceID string

// KindID names a kind of request or job.
type KindID string

// TeamID names a team.
type TeamID string

// JobID names a job.
type JobID string

// TaskID names a task of a job.
type TaskID string

// LimitID names a limit that operators can set.
type LimitID string

// PlanID names a configuration plan that an operator confirms.
type PlanID string

// SeatID names one of the configured entry hosts, independent of the process that runs there.
type SeatID string

// Incarnation names one process that runs on a seat.
type Incarnation string

// Offset is the position of an entry in the platform's log; the first entry has offset 1.
type Offset uint64

// Token is a fencing token: the offset of the record that granted a lease.
type Token = Offset

// Millicores is an amount of processor capacity in thousandths of a core.
type Millicores int64

// Bytes is an amount of memory or data in bytes.
type Bytes int64

// Millis is a duration in milliseconds.
type Millis int64

// UnixMillis is a wall-clock time in milliseconds since the Unix epoch.
type UnixMillis int64

// Resources is an amount of processors, memory and accelerators.
type Resources struct {
	CPU          Millicores
	Memory       Bytes
	Accelerators int
}

// Plus returns the sum of r and o.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.Memory + o.Memory, r.Accelerators + o.Accelerators}
}

// Minus returns r minus o.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.Memory - o.Memory, r.Accelerators - o.Accelerators}
}

// Fits reports whether r is at most o in every dimension.
func (r Resources) Fits(o Resources) bool {
	return r.CPU <= o.CPU && r.Memory <= o.Memory && r.Accelerators <= o.Accelerators
}

// Negative reports whether any dimension of r is below zero.
func (r Resources) Negative() bool {
	return r.CPU < 0 || r.Memory < 0 || r.Accelerators < 0
}
