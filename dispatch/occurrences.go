package dispatch

import (
	"maps"
	"slices"

	"persimmonpick/workload"
)

// maxListed is the number of steps of finished occurrences, and of open occurrences, up to which the progress record
// of a scheduled job lists each of them for leaders of earlier versions.
const maxListed = 1024

// Limits on what of one job is open at a time, which bound its record and its memory. Later occurrences, and steps of
// an oversized job, wait until others are finished.
const (
	maxOpenOccurrences = 4096
	maxOpenTasks       = 65536
)

// occurrenceSet is a set of occurrences of a scheduled job, as ascending ranges that do not touch.
type occurrenceSet []workload.OccurrenceRange

func (s occurrenceSet) has(occurrence int) bool {
	i := s.search(occurrence)
	return i < len(s) && s[i].First <= occurrence
}

// search returns the index of the first range that ends beyond the given occurrence.
func (s occurrenceSet) search(occurrence int) int {
	i, _ := slices.BinarySearchFunc(s, occurrence, func(r workload.OccurrenceRange, n int) int { return r.First + r.Count - 1 - n })
	return i
}

func (s occurrenceSet) len() int {
	n := 0
	for _, r := range s {
		n += r.Count
	}
	return n
}

// end returns the number that follows the highest occurrence in s.
func (s occurrenceSet) end() int {
	if len(s) == 0 {
		return 0
	}
	last := s[len(s)-1]
	return last.First + last.Count
}

// with returns s with one more occurrence; s must not be used any more.
func (s occurrenceSet) with(occurrence int) occurrenceSet {
	if s.has(occurrence) {
		return s
	}
	i := s.search(occurrence)
	afterRange := i > 0 && s[i-1].First+s[i-1].Count == occurrence
	beforeRange := i < len(s) && s[i].First == occurrence+1
	switch {
	case afterRange && beforeRange:
		s[i-1].Count += 1 + s[i].Count
		return slices.Delete(s, i, i+1)
	case afterRange:
		s[i-1].Count++
	case beforeRange:
		s[i].First--
		s[i].Count++
	default:
		return slices.Insert(s, i, workload.OccurrenceRange{First: occurrence, Count: 1})
	}
	return s
}

// finishOccurrence records that all tasks of an occurrence are done, and drops those of a scheduled job.
func (j *job) finishOccurrence(occurrence int) {
	j.finished = j.finished.with(occurrence)
	j.nextOccurrence = max(j.nextOccurrence, occurrence+1)
	gs := j.groups[occurrence]
	if j.spec.Repeat <= 0 || gs == nil {
		return
	}
	for _, g := range gs {
		j.finishedSummary.add(g)
		j.created -= len(g.tasks)
	}
	delete(j.groups, occurrence)
}

// mayOpen reports whether the next occurrence of j may be opened beside those that are open.
func (j *job) mayOpen() bool {
	open := len(j.groups)
	return open == 0 || open < maxOpenOccurrences && (open+1)*j.tasks <= maxOpenTasks
}

// oversized reports whether one occurrence of j has more tasks than may be open. Its steps get their tasks in turn.
func (j *job) oversized() bool { return j.tasks > maxOpenTasks }

// createTasks creates the tasks of the steps of an oversized job that come next, as far as others are finished.
func (j *job) createTasks() {
	for _, k := range slices.Sorted(maps.Keys(j.groups)) {
		for _, g := range j.groups[k] {
			if g.tasks != nil || g.unfinished == 0 {
				continue
			}
			if j.created > 0 && j.created+g.step.Count > maxOpenTasks {
				return
			}
			g.createTasks()
		}
	}
}

// createTasks creates the tasks of g, unless they exist or are done.
func (g *group) createTasks() {
	if g.tasks != nil || g.unfinished == 0 {
		return
	}
	g.tasks = make([]*task, g.step.Count)
	for n := range g.tasks {
		g.tasks[n] = &task{
			key:   workload.TaskKey{Job: g.job.id, Occurrence: g.occurrence, Step: g.index, Index: n},
			group: g, cpuPercent: fullPercent,
		}
	}
	g.job.created += len(g.tasks)
}

// dropTasks drops the tasks of a finished step of an oversized job, and creates those of the steps that come next.
func (j *job) dropTasks(g *group) {
	if !j.oversized() {
		return
	}
	j.finishedSummary.addTasks(g)
	j.created -= len(g.tasks)
	g.tasks = nil
	j.createTasks()
}

// completed reports whether all occurrences of j are finished.
func (j *job) completed() bool { return j.finished.len() >= j.spec.Occurrences() }

// restoreOccurrences completes the occurrences of a job whose record was applied: each below the highest one that the
// record names is finished or open.
func (j *job) restoreOccurrences(p workload.Progress) {
	for k, gs := range j.groups {
		for _, g := range gs {
			if g.unfinished == 0 {
				j.dropTasks(g)
			}
		}
		if !slices.ContainsFunc(gs, func(g *group) bool { return g.unfinished > 0 }) {
			j.finishOccurrence(k)
		}
	}
	var missing []int
	for k := range j.nextOccurrence {
		if j.groups[k] == nil && !j.finished.has(k) {
			missing = append(missing, k)
		}
	}
	// An earlier version lists each finished occurrence that it knows of, and drops the ranges that it cannot read.
	dropped := p.Opened == 0 && len(missing)*len(j.spec.Steps) >= maxListed-len(j.spec.Steps)
	for _, k := range missing {
		if dropped {
			j.finishOccurrence(k)
		} else {
			j.openOccurrence(k)
		}
	}
}

// listedOccurrences returns the entries of finished and waiting occurrences for leaders of earlier versions, which
// know an occurrence by its entries only. Of too many finished ones, only the highest is listed, so that these
// leaders start none again.
func (j *job) listedOccurrences() []workload.TaskProgress {
	var entries []workload.TaskProgress
	if j.spec.Repeat <= 0 {
		return nil
	}
	first := 0
	if j.foldsRecord || j.finished.len()*len(j.spec.Steps) >= maxListed {
		first = j.finished.end() - 1
	}
	for _, r := range j.finished {
		for k := max(first, r.First); k < r.First+r.Count; k++ {
			for i := range j.spec.Steps {
				entries = append(entries, workload.TaskProgress{Occurrence: k, Step: i, Index: allTasks, Phase: workload.Done})
			}
		}
	}
	if j.foldsRecord || len(j.groups) >= maxListed {
		return entries
	}
	for k, gs := range j.groups {
		if !slices.ContainsFunc(gs, (*group).recorded) {
			entries = append(entries, workload.TaskProgress{Occurrence: k})
		}
	}
	return entries
}

// recorded reports whether the progress record has an entry for a task of g.
func (g *group) recorded() bool {
	return g.unfinished == 0 || slices.ContainsFunc(g.tasks, func(t *task) bool { return t.run > 0 || t.phase == done })
}
