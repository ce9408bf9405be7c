package main

import "time"

// playProgress hands in a job with many tasks, and small jobs after it.
func playProgress(rec *record, trouble, keep bool) verdict {
	w, err := newWorld(rec, trouble, 3, addWorkers(48))
	if w != nil {
		defer func() { w.close(keep) }()
	}
	if err != nil {
		return verdict{err: err}
	}
	const tasks, steps, cpu, ms = 4000, 3, 25, 90000
	wide := step{"count": tasks, "cpu": cpu, "memMb": 50, "estimateMs": ms}
	jobs := [][]step{{wide, wide, wide}}
	if !trouble {
		jobs = [][]step{{wide}, {wide}, {wide}} // as many tasks in three jobs
	}
	for _, steps := range jobs {
		if _, err := w.submit(taskSpec{Ms: ms}, nil, steps...); err != nil {
			return verdict{err: err}
		}
	}
	waitFor(5*time.Second, func() bool { return w.runningTasks() == steps*tasks })
	rec.printf("judge: %d tasks run", w.runningTasks())
	var small []string
	for range 12 {
		one := step{"count": 2, "cpu": 1000, "memMb": 100, "estimateMs": 1000}
		two := step{"count": 2, "cpu": 1000, "memMb": 100, "estimateMs": 1000, "after": []int{0}}
		id, err := w.submit(taskSpec{Ms: 1000}, nil, one, two)
		if err != nil {
			return verdict{err: err}
		}
		small = append(small, id)
		time.Sleep(300 * time.Millisecond)
	}
	time.Sleep(finishTime)
	idle := make(chan bool, len(small))
	for _, id := range small {
		go func() {
			idle <- w.state(id) != "completed" && w.watchIdle(id, 1000, 100, 2, 12*time.Second)
		}()
	}
	v := verdict{}
	for range small {
		v.broken = <-idle || v.broken
	}
	return v
}
