package placement

import (
	"math"

	"persimmonpick/interference"
	"persimmonpick/queue"
	"persimmonpick/table"
)

// Weights of the terms of a placement score; the worker with the lowest score is chosen.
const (
	fitWeight          = 1.0
	interferenceWeight = 4.0
	noInstanceCost     = 0.05 // added slowdown above which a worker without instances scores better
	spreadWeight       = 0.5
	acceleratorCost    = 2.0 // for a task without accelerators on a worker that has some
)

// Limits on predictions and on the search for a worker.
const (
	looseSlowdownBound = 1.22 // predicted slowdown factor allowed at latency weight 0
	tightSlowdownBound = 1.18 // predicted slowdown factor allowed at latency weight 1
	negligibleSlowdown = 0.03 // added slowdown still allowed beside an instance that misses its objective
	minConfidence      = 0.1  // predictions below it count in the score but not as a limit
	defaultLoad        = 0.5  // load of an instance without a report, as a share of its slots
	scanStride         = 7919 // prime, so that the scans of successive ticks start at different workers
	fullScanLimit      = 256  // workers up to which all of them are scored
)

// choose returns the worker with the lowest score for one task of e, or nil if none fits. Among more than
// fullScanLimit workers it scores only the first maxCandidates that fit.
func (p *placer) choose(e queue.Entry) *workerState {
	n := len(p.workers)
	if n == 0 {
		return nil
	}
	start, limit := 0, n
	if n > fullScanLimit {
		start = int(uint64(p.t.Applied)*scanStride+uint64(len(p.records))*scanStride) % n
		limit = maxCandidates
	}
	var best *workerState
	lowest := math.Inf(1)
	for i := 0; i < n && limit > 0; i++ {
		s := p.workers[(start+i)%n]
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

// fits reports whether one task of e may be placed on s.
func (p *placer) fits(s *workerState, e queue.Entry) bool {
	if !s.open || !e.Need.Fits(s.free) {
		return false
	}
	if e.Job.Urgent {
		return e.Need.Fits(s.free.Minus(s.claimed))
	}
	free := s.free.Minus(s.claimed)
	if !s.withoutBatch() {
		// Without batch work the headroom may be used, or a task larger than the remaining capacity would never
		// start.
		free = free.Minus(s.headroom(p.in.Policy.UrgentHeadroom))
	}
	if !e.Need.Fits(free) || !p.in.Reservations.allows(p, s, e) {
		return false
	}
	return p.interferenceAllows(s, e)
}

// interferenceAllows reports whether one more task of e keeps the predicted slowdown of the instances on s in bounds.
// Beside an instance that misses its objective, only a negligible added slowdown is allowed.
func (p *placer) interferenceAllows(s *workerState, e queue.Entry) bool {
	if !p.in.Policy.Interference || len(s.instances) == 0 {
		return true
	}
	if !p.objectivesMet(s) {
		before, _ := p.worstSlowdown(s, p.neighbours(s))
		after, _ := p.slowdownWith(s, e)
		return after-before <= negligibleSlowdown
	}
	if p.in.Reservations.due(e.Job.ID, s, p.now) {
		return p.interferenceAllowsAlone(s, e)
	}
	return p.withinSlowdownBound(p.slowdownWith(s, e))
}

// objectivesMet reports whether no instance on s is known to miss its objective.
func (p *placer) objectivesMet(s *workerState) bool {
	if p.in.ObjectiveMet == nil {
		return true
	}
	for _, in := range s.instances {
		if !p.in.ObjectiveMet(in.ID) {
			return false
		}
	}
	return true
}

// interferenceAllowsAlone reports whether one task of e, with no other batch work on s, keeps the predicted
// slowdown of the instances on s in bounds.
func (p *placer) interferenceAllowsAlone(s *workerState, e queue.Entry) bool {
	if !p.in.Policy.Interference {
		return true
	}
	return p.withinSlowdownBound(p.worstSlowdown(s, []interference.Neighbour{{Kind: e.Job.Kind, Weight: cpuShare(e.Need, s.w)}}))
}

// withinSlowdownBound reports whether a predicted slowdown is within the bound that the latency weight sets, or too
// uncertain to count. The bound is looseSlowdownBound at weight 0 and tightSlowdownBound at weight 1.
func (p *placer) withinSlowdownBound(slowdown, confidence float64) bool {
	if confidence < minConfidence {
		return true
	}
	weight := p.in.Policy.LatencyWeight
	return slowdown <= looseSlowdownBound+weight*(tightSlowdownBound-looseSlowdownBound)
}

// slowdownWith predicts the largest slowdown of the instances on s with one more task of e, and the confidence in it.
func (p *placer) slowdownWith(s *workerState, e queue.Entry) (worst, confidence float64) {
	s.neighbours = addNeighbour(p.neighbours(s), e.Job.Kind, cpuShare(e.Need, s.w))
	worst, confidence = p.worstSlowdown(s, s.neighbours)
	s.neighbours = addNeighbour(s.neighbours, e.Job.Kind, -cpuShare(e.Need, s.w))
	return worst, confidence
}

// worstSlowdown returns the largest predicted slowdown of the instances on s beside ns, and the confidence in it.
func (p *placer) worstSlowdown(s *workerState, ns []interference.Neighbour) (worst, confidence float64) {
	worst, confidence = 1, 0
	if p.in.Slowdown == nil {
		return worst, confidence
	}
	for _, in := range s.instances {
		predicted, certainty := p.in.Slowdown(in.Service, ns, p.load(in.ID))
		if predicted > worst {
			worst, confidence = predicted, certainty
		}
	}
	return worst, confidence
}

// load returns the newest reported load of an instance, or defaultLoad if loads are not known.
func (p *placer) load(id table.InstanceID) float64 {
	if p.in.Load == nil {
		return defaultLoad
	}
	return p.in.Load(id)
}

// score returns the cost of placing one task of e on s; lower is better.
func (p *placer) score(s *workerState, e queue.Entry) float64 {
	left := s.free.Minus(e.Need)
	score := fitWeight * meanShare(left, s.w.Capacity)
	if p.in.Policy.Interference {
		score += p.latencyCost(s, e)
	}
	if e.Need.Accelerators == 0 && s.w.Capacity.Accelerators > 0 {
		score += acceleratorCost
	}
	return score + spreadWeight*p.spread.crowding(e.Job, s.w)
}

// latencyCost weighs the slowdown that one more task of e adds to the instances on s. A worker without
// instances has a small cost too, which keeps it for tasks that interfere more.
func (p *placer) latencyCost(s *workerState, e queue.Entry) float64 {
	if len(s.instances) == 0 {
		return interferenceWeight * noInstanceCost
	}
	before, _ := p.worstSlowdown(s, p.neighbours(s))
	after, _ := p.slowdownWith(s, e)
	return interferenceWeight * max(0, after-before)
}

// meanShare returns the share of c that r takes, averaged over processors and memory.
func meanShare(r, c table.Resources) float64 {
	if c.CPU <= 0 || c.Memory <= 0 {
		return 0
	}
	return (float64(r.CPU)/float64(c.CPU) + float64(r.Memory)/float64(c.Memory)) / 2
}
