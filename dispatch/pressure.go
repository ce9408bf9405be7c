package dispatch

// pressure is the load that best-effort images add to tasks that miss their targets.
type pressure struct {
	byImage map[string]float64
	most    float64 // largest of one image
	excess  float64 // load above what the tasks tolerate
}

// pressureOn returns the pressure of the given shares of a worker on tasks that miss their targets.
func (sched *Scheduler) pressureOn(missed map[string]*load, shares map[string]float64) pressure {
	p := pressure{byImage: make(map[string]float64, len(shares))}
	for critical, l := range missed {
		for bestEffort, x := range shares {
			p.byImage[bestEffort] = max(p.byImage[bestEffort], sched.interference.coefficient(bestEffort, critical)*x)
			p.most = max(p.most, p.byImage[bestEffort])
		}
		p.excess = max(p.excess, l.mean+sched.interference.addedLoad(shares, critical)-sched.interference.sensitivityOf(critical).loadAt(tailLow))
	}
	return p
}

// attributeByShare attributes the pressure by CPU share when no image is known to interfere: the largest user is
// the most likely cause.
func (p *pressure) attributeByShare(shares map[string]float64) {
	for bestEffort, x := range shares {
		p.byImage[bestEffort] = x
		p.most = max(p.most, x)
	}
}

// mustYield reports whether an image adds so much load that it must be throttled.
func (p *pressure) mustYield(bestEffort string) bool {
	x := p.byImage[bestEffort]
	return x > 0 && x >= pressureShare*p.most
}

// keptPart returns the part of their CPU share that the images to throttle may keep.
func (p *pressure) keptPart() float64 {
	sum := 0.0
	for bestEffort, x := range p.byImage {
		if p.mustYield(bestEffort) {
			sum += x
		}
	}
	return min(throttleMaxKept, max(0, 1-p.excess/max(sum, minPressure)))
}

// loadExplainsMisses reports whether the load by their own users alone is known to make the tasks miss their
// targets.
func loadExplainsMisses(model *interferenceModel, missed map[string]*load) bool {
	for critical, l := range missed {
		if l.mean < model.sensitivityOf(critical).loadAt(tailHigh) || l.variance > knownLoadVariance {
			return false
		}
	}
	return true
}
