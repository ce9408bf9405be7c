package main

import (
	"sync"
	"time"
)

// runningOn holds where each task runs.
type runningOn struct {
	play *play

	mu    sync.Mutex
	tasks map[string]map[*worker]bool
}

func (r *runningOn) started(w *worker, task string, _ step) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.tasks[task] == nil {
		r.tasks[task] = map[*worker]bool{}
	}
	for o := range r.tasks[task] {
		r.play.rec.violation("TWICE: %s starts on worker %s while it runs on %s", task, w.cfg.id, o.cfg.id)
	}
	r.tasks[task][w] = true
}

func (r *runningOn) ended(w *worker, task, _ string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.tasks[task], w)
}

// playTwice has workers leave orders unanswered and carry them out late, while two of them crash and are back.
func playTwice(p *play) error {
	const workers, jobs, tasks = 14, 40, 16
	r := &runningOn{play: p, tasks: map[string]map[*worker]bool{}}
	if err := p.configure(true); err != nil {
		return err
	}
	room := capacity{CPU: 32000, MemoryMB: 125000}
	cfg := workerConfig{guards: true, stopTime: 300 * time.Millisecond, judge: r.started, ended: r.ended}
	if err := p.addWorkers(workers, cfg, func(int) (string, capacity) { return "std", room }); err != nil {
		return err
	}
	if err := p.startHosts(3, nil); err != nil {
		return err
	}
	for n := 0; p.ctx.Err() == nil && time.Since(p.rec.began) < 95*time.Second; n++ {
		p.lateOrders(0.5)
		var open []*job
		for range jobs {
			j := p.newJob(time.Minute, step{Count: tasks, CPU: 500, MemoryMB: 256, EstimateMs: 500, LongRunning: true})
			if !p.submit(j) {
				return nil
			}
			open = append(open, j)
		}
		p.sleep(2800 * time.Millisecond)
		if p.trouble {
			p.crashTwo(4*n, room)
		}
		p.sleep(1200 * time.Millisecond) // the first two are back
		if p.trouble {
			p.crashTwo(4*n+2, room)
		}
		p.sleep(1400 * time.Millisecond)
		p.lateOrders(0)
		p.sleep(3 * time.Second)
		for _, j := range open {
			p.cancel(j)
		}
		p.sleep(1500 * time.Millisecond)
	}
	return nil
}

// crashTwo crashes two workers, from the given one on, which are back after a second.
func (p *play) crashTwo(from int, c capacity) {
	for i := range 2 {
		w := p.workers[(from+i)%len(p.workers)]
		w.crash(time.Second, w.cfg.id, "std", c)
	}
}

// lateOrders sets the share of the orders that no worker answers.
func (p *play) lateOrders(share float64) {
	if !p.trouble {
		return
	}
	for _, w := range p.workers {
		w.setLate(share)
	}
}
