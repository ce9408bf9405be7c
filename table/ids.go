package table

// WorkerID names a worker of the platform.
type WorkerID string

// RackID names a rack of workers.
type RackID string

// ZoneID names an availability zone.
type ZoneID string

// InstanceID names one running copy of a service.
type InstanceID string

// ServiceID names a service that answers waiting callers.
type ServiceID string

// KindID names a kind of request or job.
type KindID string

// TeamID names a team with a quota.
type TeamID string

// JobID names a job.
type JobID string

// TaskID names one task of a job.
type TaskID string

// LimitID names a limit that operators set.
type LimitID string

// PlanID names a plan that an operator confirms.
type PlanID string

// SeatID names one of the configured entry hosts, whichever process runs there.
type SeatID string

// Incarnation names one process on a seat.
type Incarnation string

// Offset is the position of an entry in the platform's log; the first entry has offset 1.
type Offset uint64

// Token is a fencing token: the offset of the record that granted a lease.
type Token = Offset

// Millicores counts processors in thousandths of a core.
type Millicores int64

// Bytes counts memory or data in bytes.
type Bytes int64

// Millis counts time in milliseconds.
type Millis int64

// UnixMillis is a wall-clock time in milliseconds since 1970.
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

// Minus returns r less o.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.Memory - o.Memory, r.Accelerators - o.Accelerators}
}

// Fits says whether r is at most o in every dimension.
func (r Resources) Fits(o Resources) bool {
	return r.CPU <= o.CPU && r.Memory <= o.Memory && r.Accelerators <= o.Accelerators
}

// Negative says whether any dimension of r is below zero.
func (r Resources) Negative() bool {
	return r.CPU < 0 || r.Memory < 0 || r.Accelerators < 0
}
