package placement

import (
	"math"

	"persimmonpick/interference"
	"persimmonpick/queue"
	"persimmonpick/table"
)

// Weights of the parts of a score; the lowest score is chosen.
const (
	fitWeight          = 1.0
	interferenceWeight = 4.0
	quietCost          = 0.05 // added slowdown above which a task is better off away from instances
	spreadWeight       = 0.5
	acceleratorCost    = 2.0 // a task that needs none on a worker that has some
)

// Bounds on the predicted slowdown beside an instance, with latency weight 0 and 1.
const (
	loosestSlowdown   = 1.22
	tightestSlowdown  = 1.18
	harmless          = 0.03 // added slowdown that may start beside an instance that misses its objective
	enoughConfidence  = 0.1  // below it a prediction only counts in the score
	defaultLoadKnown  = 0.5
	hashStep          = 7919 // prime, so that successive ticks start at different workers
	fewWorkersScanAll = 256
)

// choose returns the best worker for one task of e, or nil.
func (p *tick) choose(e queue.Entry) *site {
	n := len(p.sites)
	if n == 0 {
		return nil
	}
	start, limit := 0, n
	if n > fewWorkersScanAll {
		start = int(uint64(p.t.Applied)*hashStep+uint64(len(p.records))*hashStep) % n
		limit = maxCandidates
	}
	var best *site
	lowest := math.Inf(1)
	for i := 0; i < n && limit > 0; i++ {
		s := p.sites[(start+i)%n]
		if !p.fits(s, e) {
			continue
		}
		limit--
		if score := p.score(s, e); score < lowest {
			best, lowest = s, score
		}
	}
	return best
}

// fits says whether one task of e may be granted a place on s.
func (p *tick) fits(s *site, e queue.Entry) bool {
	if !s.open || !e.Need.Fits(s.free) {
		return false
	}
	if e.Job.Urgent {
		return e.Need.Fits(s.free.Minus(s.claimed))
	}
	free := s.free.Minus(s.claimed)
	if !s.batchFree() {
		// An empty worker may be filled up, as a task larger than the rest would otherwise never start.
		free = free.Minus(s.headroom(p.in.Policy.UrgentHeadroom))
	}
	if !e.Need.Fits(free) || !p.in.Reserved.passes(p, s, e) {
		return false
	}
	return p.bearable(s, e)
}

// bearable says whether the instances on s bear one more task of e by the learned interference.
func (p *tick) bearable(s *site, e queue.Entry) bool {
	if !p.in.Policy.Interference || len(s.instances) == 0 {
		return true
	}
	if !p.calm(s) {
		before, _ := p.predict(s, p.neighbours(s))
		after, _ := p.slowdown(s, e)
		return after-before <= harmless
	}
	if p.in.Reserved.due(e.Job.ID, s, p.now) {
		return p.bearableAlone(s, e)
	}
	return p.within(p.slowdown(s, e))
}

// calm says whether every instance on s met its objective lately.
func (p *tick) calm(s *site) bool {
	if p.in.Calm == nil {
		return true
	}
	for _, in := range s.instances {
		if !p.in.Calm(in.ID) {
			return false
		}
	}
	return true
}

// bearableAlone says whether the instances on s bear one task of e without other batch work.
func (p *tick) bearableAlone(s *site, e queue.Entry) bool {
	if !p.in.Policy.Interference {
		return true
	}
	return p.within(p.predict(s, []interference.Neighbour{{Kind: e.Job.Kind, Weight: weightOf(e.Need, s.w)}}))
}

// within says whether a predicted slowdown is within the bound, or too uncertain to count.
func (p *tick) within(slow, confidence float64) bool {
	if confidence < enoughConfidence {
		return true
	}
	weight := p.in.Policy.LatencyWeight
	return slow <= loosestSlowdown+weight*(tightestSlowdown-loosestSlowdown)
}

// slowdown predicts the largest slowdown of the instances on s with one more task of e.
func (p *tick) slowdown(s *site, e queue.Entry) (worst, confidence float64) {
	s.near = addNeighbour(p.neighbours(s), e.Job.Kind, weightOf(e.Need, s.w))
	worst, confidence = p.predict(s, s.near)
	s.near = addNeighbour(s.near, e.Job.Kind, -weightOf(e.Need, s.w))
	return worst, confidence
}

// predict returns the largest slowdown of the instances on s beside ns, and its confidence.
func (p *tick) predict(s *site, ns []interference.Neighbour) (worst, confidence float64) {
	worst, confidence = 1, 0
	if p.in.Slowdown == nil {
		return worst, confidence
	}
	for _, in := range s.instances {
		slow, sure := p.in.Slowdown(in.Service, ns, p.load(in.ID))
		if slow > worst {
			worst, confidence = slow, sure
		}
	}
	return worst, confidence
}

func (p *tick) load(id table.InstanceID) float64 {
	if p.in.Load == nil {
		return defaultLoadKnown
	}
	return p.in.Load(id)
}

func (p *tick) score(s *site, e queue.Entry) float64 {
	left := s.free.Minus(e.Need)
	score := fitWeight * share(left, s.w.Capacity)
	if p.in.Policy.Interference {
		score += p.latencyCost(s, e)
	}
	if e.Need.Accelerators == 0 && s.w.Capacity.Accelerators > 0 {
		score += acceleratorCost
	}
	return score + spreadWeight*p.spread.crowding(e.Job, s.w)
}

// latencyCost weighs what one more task of e adds to the slowdown on s; a worker without instances costs something too, as louder work needs it more.
func (p *tick) latencyCost(s *site, e queue.Entry) float64 {
	if len(s.instances) == 0 {
		return interferenceWeight * quietCost
	}
	before, _ := p.predict(s, p.neighbours(s))
	after, _ := p.slowdown(s, e)
	return interferenceWeight * max(0, after-before)
}

// share returns the mean share of c that r is, over processors and memory.
func share(r, c table.Resources) float64 {
	if c.CPU <= 0 || c.Memory <= 0 {
		return 0
	}
	return (float64(r.CPU)/float64(c.CPU) + float64(r.Memory)/float64(c.Memory)) / 2
}
