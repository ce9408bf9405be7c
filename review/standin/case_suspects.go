package main

import (
	"fmt"
	"time"
)

// playSuspects crashes the two workers of a kind twice, each time just after the tasks of many small jobs have begun
// there.
func playSuspects(rec *record, trouble, keep bool) verdict {
	const jobs, cpu, ms = 60, 400, 4000
	w, err := newWorld(rec, trouble, 3, func(s *site) error {
		if err := addWorkers(13)(s); err != nil {
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
	var ids []string
	for range jobs {
		id, err := w.submit(taskSpec{Ms: ms}, nil, step{"count": 1, "cpu": cpu, "memMb": 100, "estimateMs": ms, "requirements": "b"})
		if err != nil {
			return verdict{err: err}
		}
		ids = append(ids, id)
	}
	traffic := time.Now()
	pair := []*worker{w.worker("minion-b-0001"), w.worker("minion-b-0002")}
	if trouble {
		for n := 1; n <= 2; n++ {
			if !waitFor(10*time.Second, func() bool { return w.started("") >= n*jobs }) {
				return verdict{err: fmt.Errorf("the tasks do not start")}
			}
			time.Sleep(300 * time.Millisecond)
			rec.printf("disruption: both workers of the kind crash, for 1 s")
			for _, x := range pair {
				x.crash()
			}
			time.Sleep(time.Second)
			for _, x := range pair {
				if err := x.restart(); err != nil {
					return verdict{err: err}
				}
			}
		}
	}
	time.Sleep(time.Until(traffic.Add(finishTime)))
	idle := make(chan bool, len(ids))
	for _, id := range ids {
		go func() { idle <- w.state(id) != "completed" && w.watchIdle(id, cpu, 100, 1, 10*time.Second) }()
	}
	v := verdict{}
	for range ids {
		v.broken = <-idle || v.broken
	}
	return v
}
