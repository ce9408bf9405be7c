package triage

import "slices"

// Parameters of the floor.
const (
	// Jobs of a size that are served this many times less often than all jobs of the queue come first. Above a half,
	// since those that are helped must still be finished.
	floorShare    = 0.6
	sizesKept     = 100  // recent jobs of a queue by which sizes are told apart
	minSizes      = 20   // fewer do not tell what is large
	outcomeWeight = 0.95 // of earlier outcomes after one more of the queue
)

// sizeClass is a part of the jobs of a queue by size.
type sizeClass int

const (
	smaller sizeClass = iota
	large             // the fifth below the largest tenth
	largest           // the largest tenth
	numSizeClasses
)

// outcomes counts jobs, the recent ones most.
type outcomes struct{ served, all float64 }

func (o outcomes) share() float64 { return o.served / max(1e-9, o.all) }

// sizes tracks how often the jobs of a queue are served, by size.
type sizes struct {
	recent  []Work // of jobs with an outcome, the newest sizesKept
	next    int    // index in recent of the oldest
	large   Work   // from which a job is large
	largest Work
	byClass [numSizeClasses]outcomes
	useless map[Key]bool // jobs that are recorded as not served and have not ended
}

// record records the first outcome of j.
func (s *sizes) record(j *Job, served bool) {
	if s.useless[j.Key] {
		return
	}
	if !served {
		s.useless[j.Key] = true
	}
	if len(s.recent) < sizesKept {
		s.recent = append(s.recent, j.Size)
	} else {
		s.recent[s.next] = j.Size
		s.next = (s.next + 1) % sizesKept
	}
	sorted := slices.Sorted(slices.Values(s.recent))
	s.large, s.largest = sorted[len(sorted)*7/10], sorted[len(sorted)*9/10]
	for i := range s.byClass {
		s.byClass[i].served *= outcomeWeight
		s.byClass[i].all *= outcomeWeight
	}
	o := &s.byClass[s.classOf(j.Size)]
	o.all++
	if served {
		o.served++
	}
}

func (s *sizes) classOf(w Work) sizeClass {
	switch {
	case w >= s.largest:
		return largest
	case w >= s.large:
		return large
	}
	return smaller
}

// isBehind reports whether jobs of size w are served too rarely.
func (s *sizes) isBehind(w Work) bool {
	c := s.classOf(w)
	if len(s.recent) < minSizes || c == smaller {
		return false
	}
	var all outcomes
	for _, o := range s.byClass {
		all.served += o.served
		all.all += o.all
	}
	return s.byClass[c].all > 0 && s.byClass[c].share() < floorShare*all.share()
}
