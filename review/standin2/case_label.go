package main

import (
	"math/rand/v2"
	"time"
)

// The kinds of workers; the steps ask for the first.
var kinds = [2]string{"std", "wide"}

// playLabel crashes workers that come back at once under their ID and address, as workers of the other kind.
func playLabel(p *play) error {
	const workers = 12
	judge := func(w *worker, task string, s step) {
		if s.Label != "" && s.Label != w.life.kind && w.life.listed {
			w.play.rec.violation("ROUTE: worker %s, which has said that it was born at %d, starts %s, which requires %s, and is of kind %s",
				w.life.id, w.life.born.UnixMilli(), task, s.Label, w.life.kind)
		}
	}
	room := capacity{CPU: 16000, MemoryMB: 64000}
	if err := p.configure(true); err != nil {
		return err
	}
	if err := p.addWorkers(workers, workerConfig{guards: true, stopTime: 200 * time.Millisecond, judge: judge}, func(i int) (string, capacity) {
		return kinds[i%2], room
	}); err != nil {
		return err
	}
	if err := p.startHosts(3, nil); err != nil {
		return err
	}
	p.background.Go(func() { p.crashInTurn(1600*time.Millisecond, time.Second, room) })
	for p.ctx.Err() == nil && time.Since(p.rec.began) < 90*time.Second {
		j := p.newJob(1700*time.Millisecond, step{Count: 8, CPU: 3500, MemoryMB: 256, EstimateMs: 1700, Label: kinds[0]})
		if !p.submit(j) {
			return nil
		}
		p.sleep(600 * time.Millisecond)
	}
	return nil
}

// crashInTurn crashes one worker after another until the case ends, each at the given interval or up to a quarter later,
// so that heartbeats and crashes do not keep step.
func (p *play) crashInTurn(every, downFor time.Duration, c capacity) {
	if !p.trouble {
		return
	}
	for n := 0; p.sleep(every + time.Duration(rand.Int64N(int64(every/4)))); n++ {
		w := p.workers[n%len(p.workers)]
		w.mu.Lock()
		up, id, kind := w.server != nil, w.life.id, w.life.kind
		w.mu.Unlock()
		if !up {
			continue
		}
		next := kinds[0]
		if kind == kinds[0] {
			next = kinds[1]
		}
		w.crash(downFor, id, next, c)
	}
}
