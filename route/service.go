package route

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"persimmonpick/table"
)

// medianPeriod is how old the median latency of a service may be.
const medianPeriod = 50 * time.Millisecond

// service is what this host has measured of the instances of one service.
type service struct {
	cfg   *Config
	queue *queue

	mu       sync.Mutex
	members  map[table.InstanceID]*member
	count    int           // instances in the newest view
	median   time.Duration // of the latency averages
	medianAt time.Time
	ejected  int   // members that are ejected
	draw     []int // a permutation of the indices of instances, reused
}

func newService(cfg *Config) *service {
	return &service{cfg: cfg, members: map[table.InstanceID]*member{}, queue: newQueue()}
}

func (s *service) member(id table.InstanceID) *member {
	m := s.members[id]
	if m == nil {
		m = &member{id: id}
		s.members[id] = m
	}
	return m
}

// update forgets instances that left and sets the count that the floor of ejection relies on.
func (s *service) update(instances []table.Instance) {
	s.count = len(instances)
	if len(s.members) <= len(instances) {
		return
	}
	keep := map[table.InstanceID]bool{}
	for _, inst := range instances {
		keep[inst.ID] = true
	}
	for id, m := range s.members {
		if keep[id] || m.inflight > 0 {
			continue
		}
		if m.ejected {
			s.ejected--
		}
		delete(s.members, id)
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
	if len(tried) > 0 && !s.anyFresh(instances, tried) {
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
	if s.ejected == 0 {
		return -1
	}
	for i, inst := range instances {
		m := s.member(inst.ID)
		if m.probeDue(now, !req.Kind.NonIdempotent) && !tried[inst.ID] && usable(inst) {
			return i
		}
	}
	return -1
}

// betterOfTwo draws instances at random until two may be used, and returns the index of the one with the lower score, or -1.
func (s *service) betterOfTwo(instances []table.Instance, tried map[table.InstanceID]bool, usable func(table.Instance) bool, now time.Time) int {
	s.fillDraw(len(instances))
	median := s.medianNow(now)
	best := -1
	var bestScore float64
	for k := range s.draw {
		other := k + rand.IntN(len(s.draw)-k)
		s.draw[k], s.draw[other] = s.draw[other], s.draw[k]
		inst := instances[s.draw[k]]
		m := s.member(inst.ID)
		if m.ejected || tried[inst.ID] || !usable(inst) {
			continue
		}
		score := s.score(m, inst, median)
		if best < 0 {
			best = s.draw[k]
			bestScore = score
			continue
		}
		if score < bestScore {
			best = s.draw[k]
		}
		break
	}
	return best
}

// fillDraw makes draw a permutation of the first n numbers.
func (s *service) fillDraw(n int) {
	if len(s.draw) == n {
		return
	}
	s.draw = make([]int, n)
	for i := range s.draw {
		s.draw[i] = i
	}
}

// anyFresh says whether an instance in use was not tried yet.
func (s *service) anyFresh(instances []table.Instance, tried map[table.InstanceID]bool) bool {
	for _, inst := range instances {
		if !tried[inst.ID] && !s.member(inst.ID).ejected {
			return true
		}
	}
	return false
}

// score is the expected latency: the average, with a handicap for another zone, times the requests in flight.
func (s *service) score(m *member, inst table.Instance, median time.Duration) float64 {
	latency := m.ewma
	if latency == 0 {
		latency = median
	}
	if inst.Zone != s.cfg.Zone {
		latency += s.cfg.ZonePreference
	}
	return float64(latency+time.Microsecond) * float64(m.inflight+1)
}

// medianNow returns the median latency average of instances with enough samples.
func (s *service) medianNow(now time.Time) time.Duration {
	if now.Sub(s.medianAt) < medianPeriod {
		return s.median
	}
	s.medianAt = now
	var all []time.Duration
	for _, m := range s.members {
		if m.samples >= outlierSamples {
			all = append(all, m.ewma)
		}
	}
	if len(all) > 0 {
		slices.Sort(all)
		s.median = all[(len(all)-1)/2]
	}
	return s.median
}

func (s *service) begin(id table.InstanceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.member(id)
	m.inflight++
	if m.ejected {
		m.probing = true
	}
}

// end learns from an attempt.
func (s *service) end(out *outcome) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.member(out.inst.ID)
	m.inflight--
	s.learn(m, out, now)
	m.probing = m.probing && m.inflight > 0
}

func (s *service) learn(m *member, out *outcome, now time.Time) {
	if out.abandoned || out.refused {
		return // says nothing about the instance
	}
	if outOfTime(out) && !s.slow(out.latency, now) {
		return // the caller gave too little time
	}
	if m.ejected {
		s.judgeProbe(m, out, now)
		return
	}
	if !out.good() {
		m.failures++
	} else {
		m.failures = 0
	}
	if out.sent {
		m.sample(out.latency)
	}
	if m.failures >= s.cfg.EjectAfter || s.outlier(m, now) {
		s.tryEject(m, now)
	}
}

func (s *service) judgeProbe(m *member, out *outcome, now time.Time) {
	if !m.probing {
		return // sent before the ejection
	}
	if out.good() && !s.slow(out.latency, now) {
		m.readmit()
		s.ejected--
		return
	}
	m.eject(now)
}

func (s *service) outlier(m *member, now time.Time) bool {
	return m.samples >= outlierSamples && s.slow(m.ewma, now)
}

func (s *service) slow(latency time.Duration, now time.Time) bool {
	median := s.medianNow(now)
	return median > 0 && latency > outlierFactor*median && latency > median+outlierMargin
}

// tryEject ejects m unless too few instances would stay in use.
func (s *service) tryEject(m *member, now time.Time) {
	left := float64(s.count - s.ejected - 1)
	if left < s.cfg.EjectFloor*float64(s.count) {
		return
	}
	s.ejected++
	m.eject(now)
}

// usual returns the typical latency of an answer, 0 if unknown.
func (s *service) usual() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.medianNow(time.Now())
}
