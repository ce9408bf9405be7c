package route

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"persimmonpick/table"
)

// medianRefresh is how long the median latency of a service is cached.
const medianRefresh = 50 * time.Millisecond

// service holds the measurements of the instances of one service on this host.
type service struct {
	cfg   *Config
	queue *queue

	mu            sync.Mutex
	states        map[table.InstanceID]*instanceState
	newest        *table.Instance // first instance of the newest view, which tells it from others
	instanceCount int             // instances in the newest view
	median        time.Duration   // median of the instances' average latencies
	medianAt      time.Time
	ejectedCount  int // number of ejected instances
	// permutation holds the indices of the instances in some order. It is reused between picks.
	permutation []int
}

func newService(cfg *Config) *service {
	return &service{cfg: cfg, states: map[table.InstanceID]*instanceState{}, queue: newQueue()}
}

func (s *service) state(id table.InstanceID) *instanceState {
	m := s.states[id]
	if m == nil {
		m = &instanceState{id: id}
		s.states[id] = m
	}
	return m
}

// update removes the state of instances that are gone and sets instanceCount, the base of EjectFloor.
func (s *service) update(instances []table.Instance) {
	sameView := len(instances) == s.instanceCount && (len(instances) == 0 || &instances[0] == s.newest)
	if sameView && len(s.states) <= len(instances) {
		return
	}
	s.instanceCount = len(instances)
	if len(instances) > 0 {
		s.newest = &instances[0]
	}
	keep := map[table.InstanceID]bool{}
	for _, inst := range instances {
		keep[inst.ID] = true
	}
	for id, m := range s.states {
		if keep[id] || m.inflight > 0 {
			continue
		}
		if m.ejected {
			s.ejectedCount--
		}
		delete(s.states, id)
	}
}

// pick chooses an instance that passes usable. An ejected instance whose probe is due comes first, otherwise
// the better of two random instances. Instances in tried are skipped while there are others that are not ejected.
//
// Choosing the best of all instances would make every host send to the same one.
func (s *service) pick(instances []table.Instance, req *Request, tried map[table.InstanceID]bool, usable func(table.Instance) bool) (table.Instance, bool) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.update(instances)
	if len(tried) > 0 && !s.anyUntried(instances, tried) {
		tried = nil
	}
	if i := s.dueProbe(instances, req, tried, usable, now); i >= 0 {
		return instances[i], true
	}
	i := s.betterOfTwo(instances, tried, usable, now)
	if i < 0 {
		return table.Instance{}, false
	}
	return instances[i], true
}

// dueProbe returns the index of an ejected instance that may get the single request of its probation, or -1.
func (s *service) dueProbe(instances []table.Instance, req *Request, tried map[table.InstanceID]bool, usable func(table.Instance) bool, now time.Time) int {
	if s.ejectedCount == 0 {
		return -1
	}
	for i, inst := range instances {
		m := s.state(inst.ID)
		if m.probeDue(now, !req.Kind.NonIdempotent) && !tried[inst.ID] && usable(inst) {
			return i
		}
	}
	return -1
}

// betterOfTwo picks two usable instances at random and returns the index of the one with the lower score, or
// -1 if there is none.
func (s *service) betterOfTwo(instances []table.Instance, tried map[table.InstanceID]bool, usable func(table.Instance) bool, now time.Time) int {
	s.initPermutation(len(instances))
	median := s.currentMedian(now)
	best := -1
	var bestScore float64
	for k := range s.permutation {
		other := k + rand.IntN(len(s.permutation)-k)
		s.permutation[k], s.permutation[other] = s.permutation[other], s.permutation[k]
		inst := instances[s.permutation[k]]
		m := s.state(inst.ID)
		if m.ejected || tried[inst.ID] || !usable(inst) {
			continue
		}
		score := s.score(m, inst, median)
		if best < 0 {
			best = s.permutation[k]
			bestScore = score
			continue
		}
		if score < bestScore {
			best = s.permutation[k]
		}
		break
	}
	return best
}

// initPermutation sets permutation to the numbers from 0 to n-1 if its length differs from n.
func (s *service) initPermutation(n int) {
	if len(s.permutation) == n {
		return
	}
	s.permutation = make([]int, n)
	for i := range s.permutation {
		s.permutation[i] = i
	}
}

// anyUntried reports whether there is an instance that is not ejected and was not tried yet.
func (s *service) anyUntried(instances []table.Instance, tried map[table.InstanceID]bool) bool {
	for _, inst := range instances {
		if !tried[inst.ID] && !s.state(inst.ID).ejected {
			return true
		}
	}
	return false
}

// score returns the expected latency: the average, plus ZonePreference for an instance in another zone, times
// the requests in flight.
func (s *service) score(m *instanceState, inst table.Instance, median time.Duration) float64 {
	latency := m.ewma
	if latency == 0 {
		latency = median
	}
	if inst.Zone != s.cfg.Zone {
		latency += s.cfg.ZonePreference
	}
	return float64(latency+time.Microsecond) * float64(m.inflight+1)
}

// currentMedian returns the median of the average latencies of instances with enough samples.
func (s *service) currentMedian(now time.Time) time.Duration {
	if now.Sub(s.medianAt) < medianRefresh {
		return s.median
	}
	s.medianAt = now
	var all []time.Duration
	for _, m := range s.states {
		if m.samples >= minOutlierSamples {
			all = append(all, m.ewma)
		}
	}
	if len(all) > 0 {
		slices.Sort(all)
		s.median = all[(len(all)-1)/2]
	}
	return s.median
}

func (s *service) recordStart(id table.InstanceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.state(id)
	m.inflight++
	if m.ejected {
		m.probing = true
	}
}

// recordEnd updates the state of an instance after an attempt.
func (s *service) recordEnd(out *outcome) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.state(out.inst.ID)
	m.inflight--
	s.recordOutcome(m, out, now)
	m.probing = m.probing && m.inflight > 0
}

func (s *service) recordOutcome(m *instanceState, out *outcome, now time.Time) {
	if out.abandoned || out.refused {
		return // the outcome says nothing about the instance
	}
	if timedOut(out) && !s.isSlow(out.latency, now) {
		return // the caller's deadline was too short
	}
	if m.ejected {
		s.recordProbe(m, out, now)
		return
	}
	if !out.succeeded() {
		m.consecutiveFailures++
	} else {
		m.consecutiveFailures = 0
	}
	if out.sent {
		m.addSample(out.latency)
	}
	if m.consecutiveFailures >= s.cfg.EjectAfter || s.isOutlier(m, now) {
		s.tryEject(m, now)
	}
}

func (s *service) recordProbe(m *instanceState, out *outcome, now time.Time) {
	if !m.probing {
		return // the request was sent before the ejection
	}
	if out.succeeded() && !s.isSlow(out.latency, now) {
		m.readmit()
		s.ejectedCount--
		return
	}
	m.eject(now)
}

func (s *service) isOutlier(m *instanceState, now time.Time) bool {
	return m.samples >= minOutlierSamples && s.isSlow(m.ewma, now)
}

func (s *service) isSlow(latency time.Duration, now time.Time) bool {
	median := s.currentMedian(now)
	return median > 0 && latency > outlierFactor*median && latency > median+outlierMargin
}

// tryEject ejects m unless that would leave fewer instances in use than EjectFloor allows.
func (s *service) tryEject(m *instanceState, now time.Time) {
	left := float64(s.instanceCount - s.ejectedCount - 1)
	if left < s.cfg.EjectFloor*float64(s.instanceCount) {
		return
	}
	s.ejectedCount++
	m.eject(now)
}

// typicalLatency returns the median latency of the service, or 0 if it is unknown.
func (s *service) typicalLatency() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.currentMedian(time.Now())
}
