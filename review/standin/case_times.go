package main

import (
	"fmt"
	"time"
)

// playTimes hands in a job that runs each minute for weeks, with a first start so long ago that all of its times are
// due, and small jobs once most of them have run.
func playTimes(rec *record, trouble, keep bool) verdict {
	w, err := newWorld(rec, trouble, 3, addWorkers(48))
	if w != nil {
		defer func() { w.close(keep) }()
	}
	if err != nil {
		return verdict{err: err}
	}
	const times, before, ms, interval = 24300, 23500, 40, time.Minute
	begin, parts := time.Now().Add(-times*interval), 1
	if !trouble {
		parts = 2 // as many times in two jobs
	}
	for i := range parts {
		start := begin.Add(time.Duration(i) * times / 2 * interval)
		schedule := map[string]any{"repeatCount": times / parts, "startTimeMs": start.UnixMilli(), "intervalMs": interval.Milliseconds()}
		if _, err := w.submit(taskSpec{Ms: ms}, schedule, step{"count": 1, "cpu": 100, "memMb": 10, "estimateMs": ms}); err != nil {
			return verdict{err: err}
		}
	}
	for end := time.Now().Add(80 * time.Second); w.done("") < before && time.Now().Before(end); {
		time.Sleep(time.Second)
	}
	if w.done("") < before {
		return verdict{err: fmt.Errorf("only %d of %d tasks are done in time", w.done(""), before)}
	}
	time.Sleep(2 * time.Second)
	rec.printf("judge: %d tasks are done", w.done(""))
	var small []string
	for range 12 {
		one := step{"count": 2, "cpu": 1000, "memMb": 100, "estimateMs": 1000}
		two := step{"count": 2, "cpu": 1000, "memMb": 100, "estimateMs": 1000, "after": []int{0}}
		three := step{"count": 2, "cpu": 1000, "memMb": 100, "estimateMs": 1000, "after": []int{1}}
		id, err := w.submit(taskSpec{Ms: 1000}, nil, one, two, three)
		if err != nil {
			return verdict{err: err}
		}
		small = append(small, id)
		time.Sleep(300 * time.Millisecond)
	}
	time.Sleep(finishTime)
	idle := make(chan bool, len(small))
	for _, id := range small {
		go func() { idle <- w.state(id) != "completed" && w.watchIdle(id, 1000, 100, 2, 8*time.Second) }()
	}
	v := verdict{}
	for range small {
		v.broken = <-idle || v.broken
	}
	return v
}
