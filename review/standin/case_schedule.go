package main

import (
	"fmt"
	"syscall"
	"time"
)

// playSchedule stops the leader while an occurrence of a scheduled job waits for room and the next one runs.
func playSchedule(rec *record, trouble, keep bool) verdict {
	w, err := newWorld(rec, trouble, 3, addWorkers(3))
	if w != nil {
		defer func() { w.close(keep) }()
	}
	if err != nil {
		return verdict{err: err}
	}
	begin := time.Now()
	// Other jobs fill all workers, the first one for less long.
	for _, ms := range []int{10000, 16000, 16000, 16000, 16000, 16000} {
		if _, err := w.submit(taskSpec{Ms: ms}, nil, step{"count": 1, "cpu": workerCPU / 2, "memMb": 1000, "estimateMs": ms}); err != nil {
			return verdict{err: err}
		}
	}
	job, err := w.submit(taskSpec{Ms: 5000}, map[string]any{"repeatCount": 2, "startTimeMs": begin.Add(2 * time.Second).UnixMilli(), "intervalMs": 6000},
		step{"count": 1, "cpu": workerCPU / 2, "memMb": 1000, "estimateMs": 5000})
	if err != nil {
		return verdict{err: err}
	}
	traffic := time.Now()
	if !waitFor(20*time.Second, func() bool { return w.started(job+".1.") > 0 }) || w.started(job+".0.") > 0 {
		return verdict{err: fmt.Errorf("the second occurrence did not start before the first")}
	}
	time.Sleep(time.Second)
	if trouble {
		h := w.leader()
		if h == nil {
			return verdict{err: fmt.Errorf("no leader")}
		}
		rec.printf("disruption: SIGTERM to %s, which leads, and a new start", h.name)
		if err := restart(h, syscall.SIGTERM); err != nil {
			return verdict{err: err}
		}
	}
	time.Sleep(time.Until(later(traffic, time.Now()).Add(finishTime)))
	if w.started(job+".0.") > 0 {
		state := w.waitState(20*time.Second, job, "completed")
		rec.printf("judge: the first occurrence has run; state %s", state)
		return verdict{}
	}
	return verdict{broken: w.watchIdle(job, workerCPU/2, 1000, 1, 10*time.Second)}
}
