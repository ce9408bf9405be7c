package settings

import (
	"time"

	"persimmonpick/table"
)

// Duration is a time.Duration written in JSON as a string such as "250ms".
type Duration time.Duration

// Seat is one configured entry host.
type Seat struct {
	ID          table.SeatID
	Zone        table.ZoneID
	PeerAddress string // host:port of its peer listener
}

// Listener is one address that the daemon listens on, with its TLS files.
type Listener struct {
	Address  string // host:port; port 0 lets the kernel choose
	Plain    bool   // serve without TLS; must be said for operators and peers
	CertFile string
	KeyFile  string
	CAFile   string // clients must present a certificate of this authority
}

// Limits bounds what callers may ask of one entry host.
type Limits struct {
	MaxBody        table.Bytes // largest request body
	MaxAnswer      table.Bytes // largest answer of a backend server
	MaxHeader      table.Bytes
	MaxConnections int
	MaxInFlight    int // requests served at once
	MaxQueue       int // requests that may wait for a slot, per service
	MaxTasksPerJob int
}

// Timing holds the bounds on time that the mechanisms rely on.
type Timing struct {
	Tick           Duration // period of the control loop
	Heartbeat      Duration // period of heartbeats between entry hosts
	PeerTimeout    Duration // a peer silent for this long counts as dead for proposing, never for safety
	LogGrace       Duration // see the fence in docs/design.md
	LeaseTerm      Duration
	ClockBound     Duration // stated bound on clock error between hosts and workers
	BatchDelay     Duration // longest wait to fill a batch of records
	HostListPeriod Duration
	ReportPeriod   Duration // how often each worker is asked for its report
	RequestTimeout Duration // default time for a waiting caller
	MaxRequestTime Duration // longest time that any request may take
	LoanTerm       Duration // how long slots are lent to a peer
	DrainDelay     Duration // time between failing readiness and closing listeners
	StopTimeout    Duration // longest graceful shutdown
	KeyRetention   Duration // how long idempotency keys are kept
	JobRetention   Duration // how long final jobs are kept
	SnapshotPeriod Duration
}

// Policy weighs tail latency against batch throughput and switches the parts of the policy.
type Policy struct {
	LatencyWeight   float64  // 0 weighs batch throughput alone, 1 tail latency alone
	Interference    bool     // place by learned interference
	Correction      bool     // correct declared sizes from usage
	Throttle        bool     // throttle before evicting
	EvictionBudget  float64  // evictions an hour for each 100 running batch tasks
	QuarantineShare float64  // largest share of workers in quarantine
	QuarantineAfter int      // failures in a row of distinct jobs
	QuarantineFor   Duration // time until probation
	UrgentHeadroom  float64  // share of each worker kept free of batch work
	ListDropShare   float64  // a host list that loses more than this share at once is not believed
	Hedge           bool     // send a second copy of a slow idempotent request
	RetryBudget     float64  // retries as a share of requests
	EjectAfter      int      // failures in a row before an instance is ejected
	EjectFloor      float64  // smallest share of instances that stay in use
	ZonePreference  Duration // latency that an instance of another zone must make up for
	BurnShortWindow Duration
	BurnLongWindow  Duration
}

// Settings is the whole settings file of persimmonpickd.
type Settings struct {
	Seat        table.SeatID
	Zone        table.ZoneID
	Seats       []Seat
	PlatformURL string
	Callers     Listener
	Operators   Listener
	Peers       Listener
	TeamTokens  map[string]table.TeamID // bearer token of a caller to its team
	LogLevel    string
	Limits      Limits
	Timing      Timing
	Policy      Policy
}

// Default returns settings with every bound set and no addresses.
func Default() Settings {
	return Settings{
		LogLevel: "info",
		Limits: Limits{
			MaxBody: 1 << 20, MaxAnswer: 4 << 20, MaxHeader: 16 << 10,
			MaxConnections: 4096, MaxInFlight: 1024, MaxQueue: 256, MaxTasksPerJob: 1000,
		},
		Timing: Timing{
			Tick: Duration(50 * time.Millisecond), Heartbeat: Duration(250 * time.Millisecond),
			PeerTimeout: Duration(2 * time.Second), LogGrace: Duration(30 * time.Second),
			LeaseTerm: Duration(15 * time.Second), ClockBound: Duration(500 * time.Millisecond),
			BatchDelay: Duration(5 * time.Millisecond), HostListPeriod: Duration(time.Second),
			ReportPeriod: Duration(time.Second), RequestTimeout: Duration(2 * time.Second),
			MaxRequestTime: Duration(10 * time.Second), LoanTerm: Duration(2 * time.Second),
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

// D returns d as a time.Duration.
func (d Duration) D() time.Duration {
	return time.Duration(d)
}
