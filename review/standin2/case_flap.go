package main

import (
	"net/http"
	"strings"
	"time"
)

// playFlap has a worker go down and up by turns for a while, several times. Only this one has the kind that the jobs
// require. No run ends as failed.
func playFlap(p *play) error {
	const workers = 10
	judge := func(*worker, string, step) {}
	if err := p.configure(true); err != nil {
		return err
	}
	room := capacity{CPU: 32000, MemoryMB: 125000}
	cfg := workerConfig{guards: true, stopTime: 200 * time.Millisecond, judge: judge}
	if err := p.addWorkers(workers, cfg, func(i int) (string, capacity) { return kinds[min(i, 1)], room }); err != nil {
		return err
	}
	if err := p.startHosts(3, nil); err != nil {
		return err
	}
	p.background.Go(func() { p.flap(p.workers[0], room) })
	var open []*job
	for p.ctx.Err() == nil && time.Since(p.rec.began) < 90*time.Second {
		j := p.newJob(1700*time.Millisecond, step{Count: 1, CPU: 3500, MemoryMB: 256, EstimateMs: 1700, Label: kinds[0]})
		if !p.submit(j) {
			return nil
		}
		open = append(open, j)
		p.sleep(700 * time.Millisecond)
	}
	p.sleep(8 * time.Second)
	for _, j := range open {
		if _, text := p.call(p.hosts[0], http.MethodGet, j.ID, nil); strings.Contains(text, "failed") {
			p.rec.violation("LOST: job %s is shown as failed, and no run of it has ended so", j.ID)
		}
	}
	return nil
}

// flap takes a worker down and up, with a period of 0.93 s, for 6.2 s out of about 11 s.
func (p *play) flap(w *worker, c capacity) {
	if !p.trouble {
		return
	}
	for p.sleep(5 * time.Second) {
		for end := time.Now().Add(6200 * time.Millisecond); time.Now().Before(end); {
			w.crash(465*time.Millisecond, w.cfg.id, kinds[0], c)
			if !p.sleep(930 * time.Millisecond) {
				return
			}
		}
	}
}
