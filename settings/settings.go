package settings

import (
	"time"

	"persimmonpick/table"
)

// Duration is a time.Duration that JSON encodes as a string such as "250ms".
type Duration time.Duration

// Seat is one configured entry host.
type Seat struct {
	ID          table.SeatID
	Zone        table.ZoneID
	PeerAddress string // IP address and port of its peer listener
}

// Listener is one address that the daemon listens on, with its TLS files.
type Listener struct {
	Address  string // IP address and port; the kernel chooses a port for 0
	Plain    bool   // serve without TLS; otherwise CertFile and KeyFile are required
	CertFile string
	KeyFile  string
	CAFile   string // CA of client certificates, which Operators and Peers require
}

// Limits holds the limits of requests to one entry host.
type Limits struct {
	MaxBody        table.Bytes // largest request body
	MaxAnswer      table.Bytes // largest response of a backend server
	MaxHeader      table.Bytes
	MaxHeld        table.Bytes // of all requests that are not answered, by their cost in memory
	MinRate        table.Bytes // per second, of a request that arrives for longer than MaxRequestTime
	MaxConnections int         // of callers, operators and peers together
	MaxUnfinished  int         // connections whose request has not arrived whole
	MaxInFlight    int         // requests served at once
	MaxQueue       int         // requests that may wait for a slot, per service
	MaxTasksPerJob int
}

// Timing holds periods, timeouts and other bounds on time.
type Timing struct {
	Tick           Duration // period of the control loop
	Heartbeat      Duration // period of heartbeats between entry hosts
	PeerTimeout    Duration // silence after which a peer counts as dead for proposals, never for safety
	LogGrace       Duration // how long the fence relies on a log read or heartbeat, see docs/design.md
	LeaseTerm      Duration
	ClockBound     Duration // assumed bound on the clock error of hosts and workers
	BatchDelay     Duration // longest wait for more records in a batch
	HostListPeriod Duration
	ReportPeriod   Duration // period between reports of each worker
	RequestTimeout Duration // default timeout of a waiting caller
	MaxRequestTime Duration // longest timeout of any request
	LoanTerm       Duration // duration of a slot loan to a peer
	DrainDelay     Duration // time between failing readiness and closing listeners
	StopTimeout    Duration // longest graceful shutdown
	KeyRetention   Duration // retention of idempotency keys
	JobRetention   Duration // retention of jobs in a final state
	SnapshotPeriod Duration
}

// Policy weighs tail latency against batch throughput and configures the scheduling policy.
type Policy struct {
	LatencyWeight   float64  // 0 weighs batch throughput alone, 1 tail latency alone
	Interference    bool     // use interference estimates in placement
	Correction      bool     // correct declared sizes by measured usage
	Throttle        bool     // throttle before evicting
	EvictionBudget  float64  // evictions per hour and 100 running batch tasks
	QuarantineShare float64  // largest share of workers in quarantine
	QuarantineAfter int      // consecutive failures of distinct jobs
	QuarantineFor   Duration // time until probation
	UrgentHeadroom  float64  // share of each worker that batch work leaves free
	ListDropShare   float64  // a host list that drops a larger share at once is rejected
	Hedge           bool     // send a second copy of a slow idempotent request
	RetryBudget     float64  // retries as a share of requests
	EjectAfter      int      // consecutive failures before an instance is ejected
	EjectFloor      float64  // least share of instances that stay in use
	ZonePreference  Duration // latency by which an instance in another zone must be better
	BurnShortWindow Duration
	BurnLongWindow  Duration
}

// Settings is the settings file of persimmonpickd.
type Settings struct {
	Seat        table.SeatID
	Zone        table.ZoneID
	Seats       []Seat
	PlatformURL string
	Callers     Listener
	Operators   Listener
	Peers       Listener
	TeamTokens  map[string]table.TeamID // by the callers' bearer token
	LogLevel    string
	Limits      Limits
	Timing      Timing
	Policy      Policy
}
