package main

import (
	"fmt"
	"time"
)

// playGang cuts off both workers of a gang, which is done meanwhile, and crashes one of them behind the cut.
func playGang(rec *record, trouble, keep bool) verdict {
	w, err := newWorld(rec, trouble, 3, func(s *site) error {
		if err := addWorkers(10)(s); err != nil {
			return err
		}
		for _, id := range []string{"minion-b-0001", "minion-b-0002"} {
			if _, err := s.addWorker(id, serviceName, []string{"b", "r9"}, workerCPU, workerMem); err != nil {
				return err
			}
		}
		return nil
	})
	if w != nil {
		defer func() { w.close(keep) }()
	}
	if err != nil {
		return verdict{err: err}
	}
	job, err := w.submit(taskSpec{Ms: 3500}, nil, step{
		"count": 2, "cpu": 1000, "memMb": 1000, "estimateMs": 3500, "gang": true, "maxPerServer": 1, "requirements": "b",
	})
	if err != nil {
		return verdict{err: err}
	}
	traffic := time.Now()
	if !waitFor(5*time.Second, func() bool { return w.started(job+".") == 2 }) {
		return verdict{err: fmt.Errorf("the gang does not start")}
	}
	if trouble {
		time.Sleep(700 * time.Millisecond)
		x, y := w.worker("minion-b-0001"), w.worker("minion-b-0002")
		rec.printf("disruption: %s and %s are cut off, %s crashes behind the cut", x.id, y.id, y.id)
		x.cutOff(5500 * time.Millisecond)
		y.cutOff(5500 * time.Millisecond)
		time.Sleep(4 * time.Second)
		y.crash()
		time.Sleep(4500 * time.Millisecond)
		if err := y.restart(); err != nil {
			return verdict{err: err}
		}
	}
	time.Sleep(time.Until(later(traffic, time.Now()).Add(finishTime)))
	if state := w.waitState(5*time.Second, job, "completed"); state == "completed" {
		return verdict{}
	}
	return verdict{broken: w.watchIdle(job, 1000, 1000, 2, 10*time.Second)}
}
