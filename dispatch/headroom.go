package dispatch

// headroom is the additional load that the latency-critical tasks on a worker tolerate.
type headroom struct {
	current float64 // at the current load by their own users
	atPeak  float64 // at the recent peak load by their own users
}

// recordHeadroom records the headroom of tasks of one image under the load by their users; the minimum over the
// tasks on w is kept.
func (w *worker) recordHeadroom(image string, most float64, l *load) {
	h := headroom{current: most - l.mean, atPeak: most - l.peak}
	if before, ok := w.headrooms[image]; ok {
		h.current, h.atPeak = min(h.current, before.current), min(h.atPeak, before.atPeak)
	}
	w.headrooms[image] = h
}

// headroomOf returns the headroom of the tasks of image on w, or the prior one if none has been measured.
func (sched *Scheduler) headroomOf(w *worker, image string) headroom {
	if h, ok := w.headrooms[image]; ok {
		return h
	}
	most := sched.interference.sensitivityOf(image).loadAt(tailPlan)
	return headroom{current: most - typicalPeakLoad, atPeak: most - typicalPeakLoad}
}

// tolerablePart returns the share of their full speed at which the latency-critical tasks on w tolerate the best-effort
// tasks there now.
func (sched *Scheduler) tolerablePart(w *worker) float64 {
	part := 1.0
	for critical := range w.criticalByImage {
		if added := sched.plannedLoad(w, critical, nil); added > 0 {
			part = min(part, max(0, sched.headroomOf(w, critical).current-headroomReserve)/added)
		}
	}
	return part
}

// plannedLoad returns the load that the best-effort tasks on w add at full speed to tasks of image critical,
// including t unless it is nil.
func (sched *Scheduler) plannedLoad(w *worker, critical string, t *task) float64 {
	sum := 0.0
	for bestEffort, cpu := range w.bestEffortByImage {
		sum += sched.interference.coefficient(bestEffort, critical) * float64(cpu) / w.processors()
	}
	if t != nil {
		sum += sched.interference.coefficient(t.group.step.Image, critical) * float64(t.group.step.Need.CPU) / w.processors()
	}
	return sum
}

// tolerable reports whether the latency-critical tasks on w meet their targets at their peak load with the
// best-effort tasks there at full speed, including t unless it is nil.
func (sched *Scheduler) tolerable(w *worker, t *task) bool {
	for critical := range w.criticalByImage {
		if sched.plannedLoad(w, critical, t) > max(minPressure, sched.headroomOf(w, critical).atPeak) {
			return false
		}
	}
	return true
}
