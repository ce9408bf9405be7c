package main

import (
	"strings"
	"time"
)

// Bounds of the pages.
const (
	finishTime = 14 * time.Second // after the end of the traffic, jobs are asked for
	idleBound  = 3 * time.Second  // a job may have nothing running for less
)

// watchIdle watches for d a job of which due tasks, not done yet, have their turn. It returns true once nothing of the
// job has run for idleBound while one worker has room for twice that and under half of the processors are in use.
func (w *world) watchIdle(id string, cpu, mem, due int, d time.Duration) bool {
	done := w.done(id + ".")
	var since time.Time
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if w.done(id+".") >= done+due {
			return false
		}
		best, used := w.room(cpu, mem)
		if w.quiet(id+".", time.Time{}) == 0 || best < 2*due || used >= 0.5 {
			since = time.Time{}
			continue
		}
		if since.IsZero() {
			since = time.Now()
		}
		if time.Since(since) >= idleBound {
			w.rec.printf("judge: nothing of %s has run for %v, %d tasks are due, the emptiest worker has room for %d, %.0f%% of the processors are in use", id, idleBound, due, best, 100*used)
			return true
		}
	}
	return false
}

// done returns the number of tasks whose names begin with prefix that have ended done.
func (s *site) done(prefix string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	tasks := map[string]bool{}
	for _, r := range s.runs {
		if r.how == "done" && strings.HasPrefix(r.task, prefix) {
			tasks[r.task] = true
		}
	}
	return len(tasks)
}
