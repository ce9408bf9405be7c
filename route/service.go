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
	if len(s.members) <= 2*len(instances) {
		return
	}
	keep := map[table.InstanceID]bool{}
	for _, inst := range instances {
		keep[inst.ID] = true
	}
	for id, m := range s.members {
		if !keep[id] && m.inflight == 0 {
			delete(s.members, id)
		}
	}
}

// candidate is an instance that may be chosen.
type candidate struct {
	inst  table.Instance
	score float64
}

// pick orders the instances that pass usable and, while others are in use, were not tried: a probe that is due, then the better of two random ones, then the rest by score.
func (s *service) pick(instances []table.Instance, req *Request, tried map[table.InstanceID]bool, usable func(table.Instance) bool) []table.Instance {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.update(instances)
	median := s.medianNow(now)
	if !s.anyFresh(instances, tried) {
		tried = nil
	}
	var probe, rest []candidate
	for _, inst := range instances {
		m := s.member(inst.ID)
		if tried[inst.ID] || !usable(inst) {
			continue
		}
		switch {
		case !m.ejected:
			rest = append(rest, candidate{inst, s.score(m, inst, median)})
		case m.probeDue(now, !req.Kind.NonIdempotent):
			probe = append(probe, candidate{inst: inst})
		}
	}
	chooseOfTwo(rest)
	return inOrder(append(probe, rest...))
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

// chooseOfTwo moves the better of two random candidates to the front: always taking the best would send every host to the same instance.
func chooseOfTwo(cs []candidate) {
	if len(cs) < 2 {
		return
	}
	slices.SortFunc(cs, func(a, b candidate) int {
		switch {
		case a.score < b.score:
			return -1
		case a.score > b.score:
			return 1
		}
		return 0
	})
	i := min(rand.IntN(len(cs)), rand.IntN(len(cs)))
	best := cs[i]
	copy(cs[1:i+1], cs[:i])
	cs[0] = best
}

func inOrder(cs []candidate) []table.Instance {
	out := make([]table.Instance, len(cs))
	for i, c := range cs {
		out[i] = c.inst
	}
	return out
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
	out := 1
	for _, other := range s.members {
		if other.ejected {
			out++
		}
	}
	if float64(s.count-out) < s.cfg.EjectFloor*float64(s.count) {
		return
	}
	m.eject(now)
}

// usual returns the typical latency of an answer, 0 if unknown.
func (s *service) usual() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.medianNow(time.Now())
}
