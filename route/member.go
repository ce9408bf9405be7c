package route

import (
	"time"

	"persimmonpick/table"
)

const (
	// ewmaWeight is the weight of the newest latency: three answers of ten times the usual latency lift the average over outlierFactor.
	ewmaWeight = 0.1
	// outlierFactor is how many times the median latency of its service an instance may have.
	outlierFactor = 3
	// outlierMargin keeps differences that no caller notices from ejecting instances.
	outlierMargin = 2 * time.Millisecond
	// minOutlierSamples is how many answers an average must rest on.
	minOutlierSamples = 5
	minEjection       = time.Second
	maxEjection       = 30 * time.Second
	// nonIdempotentProbeDelay is how long after its due time a probe may be a non-idempotent request, where no other arrives.
	nonIdempotentProbeDelay = 5 * time.Second
)

// instanceState is what this host has measured of one instance; the mutex of its service guards it.
type instanceState struct {
	id                  table.InstanceID
	inflight            int
	ewma                time.Duration
	samples             int
	consecutiveFailures int // in a row

	ejected      bool
	ejectedUntil time.Time // probation starts here
	ejections    int       // in a row
	probing      bool      // the single request of probation is in flight
}

func (m *instanceState) addSample(latency time.Duration) {
	m.samples++
	if m.ewma == 0 {
		m.ewma = latency
		return
	}
	m.ewma += time.Duration(ewmaWeight * float64(latency-m.ewma))
}

func (m *instanceState) eject(now time.Time) {
	term := min(maxEjection, minEjection<<min(m.ejections, 8))
	m.ejected = true
	m.ejectedUntil = now.Add(term)
	m.ejections++
	m.consecutiveFailures = 0
}

func (m *instanceState) readmit() {
	m.ejected = false
	m.ejections = 0
	m.consecutiveFailures = 0
	m.samples = 0
	m.ewma = 0
}

// probeDue says whether an ejected instance may get the single request of its probation.
func (m *instanceState) probeDue(now time.Time, idempotent bool) bool {
	if !m.ejected || m.probing {
		return false
	}
	if idempotent {
		return !now.Before(m.ejectedUntil)
	}
	return !now.Before(m.ejectedUntil.Add(nonIdempotentProbeDelay))
}
