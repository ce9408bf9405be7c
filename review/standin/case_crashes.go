package main

import "time"

// playCrashes lets the only worker of a kind go down and up while a task that needs this kind begins there.
func playCrashes(rec *record, trouble, keep bool) verdict {
	w, err := newWorld(rec, trouble, 3, func(s *site) error {
		if err := addWorkers(9)(s); err != nil {
			return err
		}
		_, err := s.addWorker("minion-b-0001", serviceName, []string{"b", "r9"}, workerCPU, workerMem)
		return err
	})
	if w != nil {
		defer func() { w.close(keep) }()
	}
	if err != nil {
		return verdict{err: err}
	}
	x := w.worker("minion-b-0001")
	job, err := w.submit(taskSpec{Ms: 4000}, nil, step{"count": 1, "cpu": 1000, "memMb": 1000, "estimateMs": 4000, "requirements": "b"})
	if err != nil {
		return verdict{err: err}
	}
	if trouble {
		const gap, length = 1400 * time.Millisecond, 6500 * time.Millisecond
		rec.printf("disruption: %s goes down and up, period %v, for %v", x.id, gap, length)
		time.Sleep(300 * time.Millisecond)
		for end := time.Now().Add(length); time.Now().Before(end); {
			x.crash()
			time.Sleep(gap / 2)
			if err := x.restart(); err != nil {
				return verdict{err: err}
			}
			time.Sleep(gap / 2)
		}
	}
	time.Sleep(finishTime)
	state := w.waitState(20*time.Second, job, "completed", "failed", "cancelled")
	failures := 0
	for _, r := range w.runsOf(job + ".") {
		if r.how == "failed" {
			failures++
		}
	}
	rec.printf("judge: state %s, %d runs, %d ends failed", state, w.started(job+"."), failures)
	return verdict{broken: state == "failed" && failures == 0}
}
