package main

import (
	"strings"
	"sync"
	"time"
)

// taskState is what is known of a task that lasts.
type taskState struct {
	runs   int
	away   time.Time // since when it has not run, zero while it does
	byStop bool      // ended by an order of the system
	atWork time.Time // when it is at work after its last start
}

// budget checks how many tasks of a step are away by the doing of the system.
type budget struct {
	play *play

	mu    sync.Mutex
	tasks map[string]map[string]*taskState // by step and task
}

func (b *budget) task(name string) (map[string]*taskState, *taskState) {
	step := name[:strings.LastIndex(name, ".")]
	if b.tasks[step] == nil {
		b.tasks[step] = map[string]*taskState{}
	}
	if b.tasks[step][name] == nil {
		b.tasks[step][name] = &taskState{}
	}
	return b.tasks[step], b.tasks[step][name]
}

func (b *budget) started(_ *worker, task string, _ step) {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, t := b.task(task)
	t.runs++
	t.away, t.atWork = time.Time{}, time.Now().Add(startup)
}

// isAway reports whether t counts as away: ended by an order, or not at work for the time of the rule.
func (t *taskState) isAway(now time.Time) bool {
	switch {
	case t.runs == 0:
		return false
	case t.away.IsZero():
		return t.byStop && now.Before(t.atWork)
	}
	return t.byStop || now.Sub(t.away) >= noticeTime
}

func (b *budget) ended(w *worker, task, how string) {
	s, _, _ := b.play.stepOf(task)
	if s.MayMiss == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	step, t := b.task(task)
	worked := t.away.IsZero() && !now.Before(t.atWork)
	t.away, t.byStop = now, how == "stopped" || how == "down"
	if !worked || !t.byStop {
		return
	}
	var others []string
	for name, o := range step {
		if o != t && o.isAway(now) {
			others = append(others, name)
		}
	}
	if len(others) >= s.MayMiss {
		w.play.rec.violation("AVAIL: %s ends on worker %s, %s, while %v are away and %d may be", task, w.life.id, how, others, s.MayMiss)
	}
}

// playAvail stops the hosts in turn, the leader first, while machines are emptied for their upkeep. The tasks on them
// last, and one of each step may be away.
func playAvail(p *play) error {
	const workers, jobs, tasks = 24, 10, 6
	b := &budget{play: p, tasks: map[string]map[string]*taskState{}}
	if err := p.configure(true); err != nil {
		return err
	}
	cfg := workerConfig{guards: true, stopTime: stopTimeout, judge: b.started, ended: b.ended}
	if err := p.addWorkers(workers, cfg, func(int) (string, capacity) { return "std", capacity{CPU: 16000, MemoryMB: 64000} }); err != nil {
		return err
	}
	m := newMachines(p)
	address := p.serve(m)
	if err := p.startHosts(3, func(settings map[string]any) {
		settings["cloudApi"] = map[string]any{"address": address, "ratePerS": 60.0, "duties": []string{"upkeep"}, "dutyPerS": 60.0}
	}); err != nil {
		return err
	}
	for range jobs {
		j := p.newJob(time.Minute, step{Count: tasks, CPU: 2000, MemoryMB: 256, EstimateMs: 500, LongRunning: true, MayMiss: 1})
		if !p.submit(j) {
			return nil
		}
	}
	p.sleep(4 * time.Second)
	p.background.Go(func() { p.stopInTurn(time.Second) })
	for _, number := range []int{4, 9} {
		if err := m.request(wave{Wave: number, PeriodS: 90, Maximum: 4}); err != nil {
			return err
		}
		for p.ctx.Err() == nil && time.Since(p.rec.began) < 95*time.Second && !m.over() {
			p.sleep(200 * time.Millisecond)
		}
	}
	return nil
}
