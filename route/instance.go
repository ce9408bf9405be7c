package route

import (
	"time"

	"persimmonpick/table"
)

const (
	// ewmaWeight is the weight of the newest latency. Three responses of ten times the usual latency lift the
	// average over outlierFactor.
	ewmaWeight = 0.1
	// outlierFactor is the multiple of the service's median latency above which an instance is an outlier.
	outlierFactor = 3
	// outlierMargin keeps instances from being ejected for differences that no caller notices.
	outlierMargin = 2 * time.Millisecond
	// minOutlierSamples is the number of latencies that the average of an outlier must be based on.
	minOutlierSamples = 5
	minEjection       = time.Second
	maxEjection       = 30 * time.Second
	// nonIdempotentProbeDelay is how long after its due time a probe may also be a non-idempotent request.
	// Until then it waits for an idempotent one.
	nonIdempotentProbeDelay = 5 * time.Second
)

// instanceState holds the measurements of one instance on this host. The mutex of its service guards it.
type instanceState struct {
	id                  table.InstanceID
	inflight            int
	ewma                time.Duration
	samples             int
	consecutiveFailures int

	ejected      bool
	ejectedUntil time.Time // end of the ejection; probation starts here
	ejections    int       // consecutive
	probing      bool      // the single request of the probation is in flight
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

// probeDue reports whether an ejected instance may get the single request of its probation.
func (m *instanceState) probeDue(now time.Time, idempotent bool) bool {
	if !m.ejected || m.probing {
		return false
	}
	if idempotent {
		return !now.Before(m.ejectedUntil)
	}
	return !now.Before(m.ejectedUntil.Add(nonIdempotentProbeDelay))
}
