package settings

import (
	"time"

	"persimmonpick/table"
)

// Limits of settings. The last four are factors of other settings.
const (
	minLeaseTerm    = time.Second // a shorter lease expires during an ordinary pause of a process
	minKeyRetention = time.Minute
	maxTick         = time.Second // urgent work must start within 4.5 s
	maxBatchDelay   = 100 * time.Millisecond
	maxDuration     = 366 * 24 * time.Hour // keeps sums and products of durations far from overflow
	// A repeated request must find its idempotency key even after several full request times.
	keyRetentionRequests = 10
	leaseClockBounds     = 3
	leaseReportPeriods   = 2
	heldBodies           = 8 // cost of a body that is decoded, see package ingress
	heldHeaders          = 4 // cost of a header and of what is read beyond it
)

func (l Limits) check(f *faults) {
	sizes := []struct {
		name  string
		value table.Bytes
	}{{"MaxBody", l.MaxBody}, {"MaxAnswer", l.MaxAnswer}, {"MaxHeader", l.MaxHeader}, {"MaxHeld", l.MaxHeld}, {"MinRate", l.MinRate}}
	for _, size := range sizes {
		checkPositive("Limits."+size.name, int64(size.value), f)
	}
	counts := []struct {
		name  string
		value int
	}{
		{"MaxConnections", l.MaxConnections},
		{"MaxUnfinished", l.MaxUnfinished},
		{"MaxInFlight", l.MaxInFlight},
		{"MaxQueue", l.MaxQueue},
		{"MaxTasksPerJob", l.MaxTasksPerJob},
	}
	for _, count := range counts {
		checkPositive("Limits."+count.name, int64(count.value), f)
	}
	if l.MaxHeld < heldBodies*l.MaxBody+heldHeaders*l.MaxHeader {
		f.add("Limits.MaxHeld", "must be at least %d times Limits.MaxBody and %d times Limits.MaxHeader, which a request may cost", heldBodies, heldHeaders)
	}
}

func checkPositive(path string, value int64, f *faults) {
	if value <= 0 {
		f.add(path, "must be above 0")
	}
}

func (t Timing) check(f *faults) {
	t.checkPositive(f)
	t.checkBounds(f)
	t.checkRelations(f)
}

func (t Timing) checkPositive(f *faults) {
	times := []struct {
		name  string
		value Duration
	}{
		{"Tick", t.Tick},
		{"Heartbeat", t.Heartbeat},
		{"PeerTimeout", t.PeerTimeout},
		{"LogGrace", t.LogGrace},
		{"LeaseTerm", t.LeaseTerm},
		{"ClockBound", t.ClockBound},
		{"BatchDelay", t.BatchDelay},
		{"HostListPeriod", t.HostListPeriod},
		{"ReportPeriod", t.ReportPeriod},
		{"RequestTimeout", t.RequestTimeout},
		{"MaxRequestTime", t.MaxRequestTime},
		{"LoanTerm", t.LoanTerm},
		{"DrainDelay", t.DrainDelay},
		{"StopTimeout", t.StopTimeout},
		{"KeyRetention", t.KeyRetention},
		{"JobRetention", t.JobRetention},
		{"SnapshotPeriod", t.SnapshotPeriod},
	}
	for _, d := range times {
		checkPositive("Timing."+d.name, int64(d.value), f)
		atMost("Timing."+d.name, d.value, maxDuration, "", f)
	}
}

func (t Timing) checkBounds(f *faults) {
	atLeast("Timing.LeaseTerm", t.LeaseTerm, minLeaseTerm, "", f)
	atLeast("Timing.KeyRetention", t.KeyRetention, minKeyRetention, "", f)
	atMost("Timing.Tick", t.Tick, maxTick, "", f)
	atMost("Timing.BatchDelay", t.BatchDelay, maxBatchDelay, "", f)
}

func (t Timing) checkRelations(f *faults) {
	atLeast("Timing.KeyRetention", t.KeyRetention, keyRetentionRequests*t.MaxRequestTime.D(), "10 times MaxRequestTime", f)
	above("Timing.PeerTimeout", t.PeerTimeout, t.Heartbeat.D(), "Heartbeat", f)
	above("Timing.LogGrace", t.LogGrace, t.PeerTimeout.D(), "PeerTimeout", f)
	above("Timing.LeaseTerm", t.LeaseTerm, leaseClockBounds*t.ClockBound.D(), "3 times ClockBound", f)
	above("Timing.LeaseTerm", t.LeaseTerm, leaseReportPeriods*t.ReportPeriod.D(), "2 times ReportPeriod", f)
	atMost("Timing.RequestTimeout", t.RequestTimeout, t.MaxRequestTime.D(), "MaxRequestTime", f)
	// A graceful stop must not interrupt requests in flight.
	atLeast("Timing.StopTimeout", t.StopTimeout, t.DrainDelay.D()+t.MaxRequestTime.D(), "DrainDelay + MaxRequestTime", f)
}

// describeBound returns a bound followed by the settings from which it derives.
func describeBound(bound time.Duration, name string) string {
	if name == "" {
		return bound.String()
	}
	return bound.String() + " (" + name + ")"
}

func atLeast(path string, d Duration, bound time.Duration, name string, f *faults) {
	if d.D() < bound {
		f.add(path, "must be at least %s", describeBound(bound, name))
	}
}

func atMost(path string, d Duration, bound time.Duration, name string, f *faults) {
	if d.D() > bound {
		f.add(path, "must be at most %s", describeBound(bound, name))
	}
}

func above(path string, d Duration, bound time.Duration, name string, f *faults) {
	if d.D() <= bound {
		f.add(path, "must be above %s", describeBound(bound, name))
	}
}

func (p Policy) check(f *faults) {
	shares := []struct {
		name  string
		value float64
	}{
		{"LatencyWeight", p.LatencyWeight},
		{"QuarantineShare", p.QuarantineShare},
		{"UrgentHeadroom", p.UrgentHeadroom},
		{"ListDropShare", p.ListDropShare},
		{"RetryBudget", p.RetryBudget},
		{"EjectFloor", p.EjectFloor},
	}
	for _, share := range shares {
		if !(share.value >= 0 && share.value <= 1) {
			f.add("Policy."+share.name, "must be between 0 and 1")
		}
	}
	if !(p.EvictionBudget >= 0) {
		f.add("Policy.EvictionBudget", "must be at least 0")
	}
	if p.ZonePreference < 0 {
		f.add("Policy.ZonePreference", "must be at least 0s")
	}
	checkPositive("Policy.QuarantineAfter", int64(p.QuarantineAfter), f)
	checkPositive("Policy.QuarantineFor", int64(p.QuarantineFor), f)
	checkPositive("Policy.EjectAfter", int64(p.EjectAfter), f)
	checkPositive("Policy.BurnShortWindow", int64(p.BurnShortWindow), f)
	above("Policy.BurnLongWindow", p.BurnLongWindow, p.BurnShortWindow.D(), "BurnShortWindow", f)
}
