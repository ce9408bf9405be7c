package main

import "time"

// playLong hands in jobs whose tasks take minutes.
func playLong(rec *record, trouble, keep bool) verdict {
	w, err := newWorld(rec, trouble, 3, addWorkers(4))
	if w != nil {
		defer func() { w.close(keep) }()
	}
	if err != nil {
		return verdict{err: err}
	}
	ms := 15000
	if trouble {
		ms = 240000
	}
	var jobs []string
	for range 12 {
		id, err := w.submit(taskSpec{Ms: ms}, nil, step{"count": 1, "cpu": 1000, "memMb": 1000, "estimateMs": ms})
		if err != nil {
			return verdict{err: err}
		}
		jobs = append(jobs, id)
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(finishTime)
	type watch struct {
		id   string
		idle bool
	}
	found := make(chan watch, len(jobs))
	for _, id := range jobs {
		go func() {
			if w.state(id) == "completed" {
				found <- watch{id, false}
				return
			}
			found <- watch{id, w.watchIdle(id, 1000, 1000, 1, 30*time.Second)}
		}()
	}
	bad := 0
	for range jobs {
		if r := <-found; r.idle {
			bad++
		}
	}
	return verdict{broken: bad > 0}
}
