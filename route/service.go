package route

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"persimmonpick/table"
)

// medianRefresh is how old the median latency of a service may be.
const medianRefresh = 50 * time.Millisecond

// service is what this host has measured of the instances of one service.
type service struct {
	cfg   *Config
	queue *queue

	mu            sync.Mutex
	states        map[table.InstanceID]*instanceState
	instanceCount int           // instances in the newest view
	median        time.Duration // of the latency averages
	medianAt      time.Time
	ejectedCount  int   // members that are ejected
	permutation   []int // a permutation of the indices of instances, reused
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

// update forgets instances that left and sets the count that the floor of ejection relies on.
func (s *service) update(instances []table.Instance) {
	s.instanceCount = len(instances)
	if len(s.states) <= len(instances) {
		return
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

// pick chooses an instance that passes usable and, while others are in use, was not tried: one whose probe is due, else the better of two random ones.
//
// Always taking the best would send every host to the same instance.
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

// betterOfTwo draws instances at random until two may be used, and returns the index of the one with the lower score, or -1.
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

// initPermutation makes draw a permutation of the first n numbers.
func (s *service) initPermutation(n int) {
	if len(s.permutation) == n {
		return
	}
	s.permutation = make([]int, n)
	for i := range s.permutation {
		s.permutation[i] = i
	}
}

// anyUntried says whether an instance in use was not tried yet.
func (s *service) anyUntried(instances []table.Instance, tried map[table.InstanceID]bool) bool {
	for _, inst := range instances {
		if !tried[inst.ID] && !s.state(inst.ID).ejected {
			return true
		}
	}
	return false
}

// score is the expected latency: the average, with a handicap for another zone, times the requests in flight.
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

// currentMedian returns the median latency average of instances with enough samples.
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

// recordEnd learns from an attempt.
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
		return // says nothing about the instance
	}
	if timedOut(out) && !s.isSlow(out.latency, now) {
		return // the caller gave too little time
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
		return // sent before the ejection
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

// tryEject ejects m unless too few instances would stay in use.
func (s *service) tryEject(m *instanceState, now time.Time) {
	left := float64(s.instanceCount - s.ejectedCount - 1)
	if left < s.cfg.EjectFloor*float64(s.instanceCount) {
		return
	}
	s.ejectedCount++
	m.eject(now)
}

// typicalLatency returns the typical latency of an answer, 0 if unknown.
func (s *service) typicalLatency() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.currentMedian(time.Now())
}
