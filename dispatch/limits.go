package dispatch

import "time"

// Timing and thresholds of the scheduler. Bounds that an installation sets are in Config.
const (
	fullPercent = 100 // for CPU shares and progress

	clockDrift = 0.025                  // a worker's clock may be 2% slow; with a margin
	leaseSlack = 100 * time.Millisecond // for rounding to milliseconds

	// Pause between polls of a worker, so that runs that end close together are reported in one poll.
	pollPause = 80 * time.Millisecond
	// Additional pause per worker in the fleet, which bounds the cost of polling to a part of one core.
	pollPausePerWorker = 350 * time.Microsecond
	// Maximum wait of a poll at a worker with latency-critical and best-effort tasks.
	pollWaitMixed = 400 * time.Millisecond
	// Maximum wait of a poll at a worker with tasks; bounds how late a stalled task is noticed.
	pollWaitRunning   = 700 * time.Millisecond
	pollWaitIdle      = 2 * time.Second        // maximum wait of a poll at an idle worker
	pollRetryDelay    = 150 * time.Millisecond // after a failed poll; doubled up to pollRetryMaxDelay
	pollRetryMaxDelay = 1200 * time.Millisecond
	pollGrace         = 900 * time.Millisecond  // allowed for the answer beyond the wait
	longestAckWait    = time.Second             // results that wait longer come before the next start
	orderTimeout      = 500 * time.Millisecond  // of start, stop and throttle calls; many times the usual latency
	maxPollAge        = 3500 * time.Millisecond // a worker whose last answer is older gets no new tasks

	stopRetryDelay = 700 * time.Millisecond // a stop order is repeated if the end of the run has not been reported
	refusedBackoff = 250 * time.Millisecond // before a task is placed again that a worker refused
	failedBackoff  = 50 * time.Millisecond  // before a task is placed again that failed

	stallTimeout        = 1500 * time.Millisecond // the least time without progress after which a run is moved
	slowFactor          = 2.5                     // a run that takes this many times longer than its peers is moved
	minSlowRun          = 1200 * time.Millisecond // shorter runs are never moved as slow
	firstQuarantine     = 3 * time.Second         // first quarantine of a worker with failed or stalled tasks
	longestQuarantine   = 24 * time.Second
	quarantineDoublings = 3
	quarantineStreak    = 2 // failures in a row that quarantine a worker

	criticalCPUUse = 0.5 // estimated use of the processors that latency-critical tasks reserve

	// A worker that is missing from the worker list for less is kept, since an outage of the store may be the reason.
	missingGrace = 2500 * time.Millisecond
	// An order without an answer may be carried out seconds later, by a later incarnation too, but not after this time.
	lateOrderLimit = 13 * time.Second
	// A worker that still answers so long after its evacuation has ended stays.
	evacuatedGrace = 2 * time.Second
	drainMargin    = 600 * time.Millisecond // a draining worker must be empty this long before it leaves

	modelWriteInterval = 2 * time.Second // coefficients change within seconds

	// A superseded leader extends leases for at most this long after its last append.
	supersededExtension = 4 * time.Second
)
