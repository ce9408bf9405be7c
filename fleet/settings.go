package fleet

import (
	"time"

	"persimmonpick/fault"
	"persimmonpick/table"
)

// Settings is what an entry host is told at its start.
type Settings struct {
	Host                string
	Zone                table.ZoneID
	Callers             string        // host:port that callers connect to
	Readiness           string        // host:port of the readiness check
	Metrics             string        // host:port of the metrics; empty for none
	Relay               string        // host:port for the records of other hosts while this one leads; empty for none
	Log                 string        // host:port of the platform's log
	Approver            string        // host:port of the service that approves workers; empty for none
	Machines            string        // host:port of the service that knows the machines; empty for none
	MaintenanceDuration time.Duration // that a machine is down for its maintenance
	Cores               float64       // cores of this host
	StopGrace           time.Duration // between the signal to stop and the kill
	MaxLease            time.Duration // longest lease of a worker
	StatusRetention     time.Duration // how long callers may ask for a final job
	RemoteSlowdown      float64       // how many times longer a task takes away from its data
}

// The bounds of settings that a platform may leave out.
const (
	maxLease               = 6 * time.Second // survives the restart of all hosts and an election
	statusRetentionMargin  = 30 * time.Second
	defaultStatusRetention = 120 * time.Second
	defaultGrace           = 5 * time.Second
	leaseMargin            = 100 * time.Millisecond
)

// Check fails with fault.Invalid where s cannot be used.
func (s Settings) Check() error {
	for name, v := range map[string]string{"Host": s.Host, "Callers": s.Callers, "Readiness": s.Readiness, "Log": s.Log} {
		if v == "" {
			return fault.New(fault.Invalid, "setting %s is missing", name)
		}
	}
	if s.StopGrace < 0 || s.MaxLease < 0 || s.StatusRetention < 0 || s.Cores < 0 {
		return fault.New(fault.Invalid, "a setting is negative")
	}
	return nil
}

// lease returns the term of leases.
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
