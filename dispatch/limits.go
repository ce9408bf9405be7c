package dispatch

import "time"

// The timing of what the dispatcher does; bounds that an installation states come with Config.
const (
	fullPercent = 100 // percent

	clockDrift = 0.025                  // a worker's clock may be 2% slow; with a margin
	leaseSlack = 100 * time.Millisecond // for rounding to milliseconds

	pollPause    = 80 * time.Millisecond  // between looks at a worker, so that close endings share a look
	pollPausePerWorker   = 350 * time.Microsecond // more between looks for each worker, so that looks cost no more than a part of one core
	pollWaitMixed     = 400 * time.Millisecond // longest wait of a look where tasks that serve and tasks that fill share a worker
	pollWaitRunning  = 700 * time.Millisecond // longest wait of a look where tasks run; bounds how late a stalled task shows
	pollWaitIdle     = 2 * time.Second        // longest wait of a look at an idle worker
	pollRetryDelay    = 150 * time.Millisecond // after a look without an answer, doubled up to lookRetryMax
	pollRetryMaxDelay = 1200 * time.Millisecond
	pollGrace    = 900 * time.Millisecond  // of the answer beyond the wait
	orderTimeout = 500 * time.Millisecond  // of starts, stops and paces; many times the usual answer
	maxPollAge    = 3500 * time.Millisecond // a worker not heard for this long gets no work

	stopAgain   = 700 * time.Millisecond // a stop whose end is not listed is sent again
	refusedWait = 250 * time.Millisecond // before a task that a worker refused is placed again
	failedWait  = 50 * time.Millisecond  // before a task that failed is placed again

	stallAfter   = 1500 * time.Millisecond // a task that makes no progress for this long is moved
	slowFactor   = 2.5                     // a run this many times longer than its peers is moved
	slowAtLeast  = 1200 * time.Millisecond // shorter runs are never moved
	quarantineMin     = 3 * time.Second         // a worker that fails or stalls gets no work for this long
	quarantineMax   = 24 * time.Second
	quarantineDoublings = 3
	quarantineStreak    = 2 // failures in a row that make a worker bad

	criticalCPUUse = 0.5 // estimated use of the processors that tasks that serve ask for

	missingGrace = 2500 * time.Millisecond // a worker that left the list for less may be back after an outage of the store
	drainMargin  = 600 * time.Millisecond  // a draining worker is empty this long before it leaves

	modelWriteInterval = 2 * time.Second // factors change within seconds

	supersededExtension = 4 * time.Second // a displaced leader extends leases no longer than this after its last append
)
