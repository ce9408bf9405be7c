package settings

import "time"

// Default returns the default settings, which have no addresses, seats or tokens.
func Default() Settings {
	return Settings{
		LogLevel: "info",
		Limits: Limits{
			MaxBody: 1 << 20, MaxAnswer: 4 << 20, MaxHeader: 16 << 10,
			MaxHeld: 16 << 20, MinRate: 16 << 10, MaxUnfinished: 1024,
			MaxConnections: 4096, MaxInFlight: 1024, MaxQueue: 256, MaxTasksPerJob: 1000,
		},
		Timing: Timing{
			Tick: Duration(50 * time.Millisecond), Heartbeat: Duration(250 * time.Millisecond),
			PeerTimeout: Duration(2 * time.Second), LogGrace: Duration(5 * time.Second),
			LeaseTerm: Duration(15 * time.Second), ClockBound: Duration(500 * time.Millisecond),
			BatchDelay: Duration(5 * time.Millisecond), HostListPeriod: Duration(time.Second),
			ReportPeriod: Duration(time.Second), RequestTimeout: Duration(2 * time.Second),
			MaxRequestTime: Duration(5 * time.Second), LoanTerm: Duration(2 * time.Second),
			DrainDelay: Duration(2 * time.Second), StopTimeout: Duration(30 * time.Second),
			KeyRetention: Duration(24 * time.Hour), JobRetention: Duration(24 * time.Hour),
			SnapshotPeriod: Duration(time.Minute),
		},
		Policy: Policy{
			LatencyWeight: 0.5, Interference: true, Correction: true, Throttle: true,
			EvictionBudget: 6, QuarantineShare: 0.1, QuarantineAfter: 3, QuarantineFor: Duration(5 * time.Minute),
			UrgentHeadroom: 0, ListDropShare: 0.3, RetryBudget: 0.1, EjectAfter: 5, EjectFloor: 0.5,
			ZonePreference: Duration(time.Millisecond), BurnShortWindow: Duration(5 * time.Minute),
			BurnLongWindow: Duration(time.Hour),
		},
	}
}
