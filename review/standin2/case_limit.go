package main

import "time"

// playLimit stops the hosts in turn, the leader first, while callers cancel jobs and others wait for the room. The
// workers do not guard their capacity, and a stop takes as long as it may.
func playLimit(p *play) error {
	const workers, cpu, tasks, need = 6, 16000, 6, 4000
	judge := func(w *worker, task string, s step) {
		if used := w.used(w.life); used.CPU+s.CPU > w.life.capacity.CPU {
			w.play.rec.violation("LIMIT: worker %s starts %s, which needs %d, with %d of %d in use", w.life.id, task, s.CPU, used.CPU, w.life.capacity.CPU)
		}
	}
	if err := p.configure(false); err != nil {
		return err
	}
	if err := p.addWorkers(workers, workerConfig{stopTime: stopTimeout, judge: judge}, func(int) (string, capacity) {
		return "std", capacity{CPU: cpu, MemoryMB: 64000}
	}); err != nil {
		return err
	}
	if err := p.startHosts(3, nil); err != nil {
		return err
	}
	p.background.Go(func() { p.stopInTurn(9 * time.Second) })
	// One job at work for each six tasks of room, and as many again wait.
	var open []*job
	for p.ctx.Err() == nil && time.Since(p.rec.began) < 75*time.Second {
		for len(open) < 2*workers*cpu/(tasks*need) {
			j := p.newJob(time.Minute, step{Count: tasks, CPU: need, MemoryMB: 256, EstimateMs: 60000})
			if !p.submit(j) {
				return nil
			}
			open = append(open, j)
		}
		p.sleep(400 * time.Millisecond)
		p.cancel(open[0])
		open = open[1:]
	}
	return nil
}

// stopInTurn stops the leader and starts it again, at the given interval, until the case ends.
func (p *play) stopInTurn(every time.Duration) {
	if !p.trouble {
		return
	}
	for p.sleep(every) {
		h := p.leader()
		if h == nil {
			continue
		}
		p.stop(h)
		if p.ctx.Err() != nil || p.start(h) != nil {
			return
		}
	}
}
