package fleet

import (
	"time"

	"persimmonpick/fault"
	"persimmonpick/table"
)

// Settings are the settings of an entry host, fixed for the life of a process.
type Settings struct {
	Host                string
	Zone                table.ZoneID
	Callers             string // host:port of the callers' listener
	Readiness           string // host:port of the readiness check
	Metrics             string // host:port of the metrics and status pages; empty for none
	Relay               string // host:port of the listener for other hosts; empty for none
	Log                 string // host:port of the platform's log
	LogLimits           LogLimits
	ApprovalService     string        // host:port of the approval service; empty for none
	Machines            string        // host:port of the machine service, for maintenance; empty for none
	MaintenanceDuration time.Duration // usual time that a machine is down
	Cores               float64       // cores available to this host; may be a fraction
	Memory              table.Bytes   // of the machine; 0 for that of the smallest one
	MaxFiles            int           // descriptors; 0 for those of the smallest machine
	StopGrace           time.Duration // between the stop signal and the kill
	MaxLease            time.Duration // longest lease of a worker
	DeferDisplaced      bool          // long-running tasks that lose their room wait behind urgent short jobs
	StatusRetention     time.Duration // how long callers can query a finished job
	EvacuationDelay     time.Duration // within which a zone evacuation takes effect; 0 if none is stated
	RemoteFactor        float64       // run time of a task with remote data, relative to local data
}

// LogLimits are the size limits of the platform's log; 0 means no limit.
type LogLimits struct {
	Record table.Bytes // of a record
	Append table.Bytes // of all records of an append
}

// Defaults and limits of optional settings.
const (
	maxLease               = 6 * time.Second // outlasts a restart of all hosts and an election
	statusRetentionMargin  = 30 * time.Second
	defaultStatusRetention = 120 * time.Second
	defaultGrace           = 5 * time.Second
	leaseMargin            = 100 * time.Millisecond
)

// Check returns an error of kind fault.Invalid if s is unusable.
func (s Settings) Check() error {
	for name, v := range map[string]string{"Host": s.Host, "Callers": s.Callers, "Readiness": s.Readiness, "Log": s.Log} {
		if v == "" {
			return fault.New(fault.Invalid, "setting %s is missing", name)
		}
	}
	if s.StopGrace < 0 || s.MaxLease < 0 || s.StatusRetention < 0 || s.EvacuationDelay < 0 || s.Cores < 0 {
		return fault.New(fault.Invalid, "a setting is negative")
	}
	return nil
}

// lease returns the lease term, which stays below the limit of the platform.
func (s Settings) lease() time.Duration {
	if s.MaxLease <= 0 {
		return maxLease
	}
	return min(maxLease, s.MaxLease-leaseMargin)
}

func (s Settings) statusRetention() time.Duration {
	if s.StatusRetention <= 0 {
		return defaultStatusRetention + statusRetentionMargin
	}
	return s.StatusRetention + statusRetentionMargin
}

func (s Settings) grace() time.Duration {
	if s.StopGrace <= 0 {
		return defaultGrace
	}
	return s.StopGrace
}

// drainTimes divides the grace period: connections first end with their next response, then open requests are waited
// for, and the rest is left until the kill.
func (s Settings) drainTimes() (keepAlives, open time.Duration) {
	half := s.grace() / 2
	return half, half - min(stopMargin, s.grace()/stopMarginPart)
}
