package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"time"
)

// memoryLimit is the memory in the settings of an entry host; the platform kills a process that exceeds it.
const memoryLimit = 284 << 20

// restartDelay is the time from the end of a process until it is started again; by then another host leads.
const restartDelay = 3 * time.Second

// Bounds of the rule on processes that end by themselves.
const (
	mostEnds     = 2 // of one host; with one more it counts as failed
	leastFailing = 2 // hosts, a tenth of those in use being fewer
)

// playMemory submits a burst of jobs. With the disruption they are large.
func playMemory(p *play) error {
	const jobs, workers = 50, 12
	judge := func(*worker, string, step) {}
	if err := p.configure(true); err != nil {
		return err
	}
	cfg := workerConfig{guards: true, stopTime: stopTimeout, judge: judge}
	if err := p.addWorkers(workers, cfg, func(int) (string, capacity) { return "std", capacity{CPU: 32000, MemoryMB: 125000} }); err != nil {
		return err
	}
	if err := p.startHosts(3, nil); err != nil {
		return err
	}
	count := 8
	if p.trouble {
		count = 4096
	}
	ends := map[*host]int{}
	p.background.Go(func() { p.limitMemory(ends) })
	for range jobs {
		steps := []step{{Count: count, CPU: 100, MemoryMB: 64, EstimateMs: 1000}, {Count: count, CPU: 100, MemoryMB: 64, EstimateMs: 1000, After: []int{0}}}
		if !p.submit(p.newJob(time.Second, steps...)) {
			return nil
		}
		p.sleep(80 * time.Millisecond)
	}
	small := p.newJob(time.Second, step{Count: 4, CPU: 100, MemoryMB: 64, EstimateMs: 1000})
	p.submit(small)
	for time.Since(p.rec.began) < 80*time.Second && p.sleep(3*time.Second) {
		p.call(p.hosts[0], http.MethodGet, small.ID, nil)
	}
	return nil
}

// limitMemory kills each host that exceeds its memory, as the platform does, and starts it again, until the case ends.
func (p *play) limitMemory(ends map[*host]int) {
	for p.sleep(100 * time.Millisecond) {
		for _, h := range p.hosts {
			used := h.memory()
			if used <= memoryLimit {
				continue
			}
			p.kill(h)
			ends[h]++
			p.rec.add("host %s is killed with %d MB in use, for the %d. time", h.name, used>>20, ends[h])
			p.judgeEnds(ends)
			p.sleep(restartDelay)
			if p.ctx.Err() != nil || p.start(h) != nil {
				return
			}
		}
	}
}

func (p *play) judgeEnds(ends map[*host]int) {
	var failing []string
	for _, h := range p.hosts {
		if ends[h] > mostEnds {
			failing = append(failing, fmt.Sprintf("%s %d times", h.name, ends[h]))
		}
	}
	if len(failing) >= leastFailing {
		p.rec.violation("Fault: processes have ended by themselves, over their memory: %v", failing)
	}
}

// memory returns the resident memory of the process of h in bytes, 0 if it does not run.
func (h *host) memory() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range bytes.Lines(data) {
		if rest, ok := bytes.CutPrefix(line, []byte("VmRSS:")); ok {
			kb, err := strconv.Atoi(string(bytes.Fields(rest)[0]))
			if err != nil {
				return 0
			}
			return kb << 10
		}
	}
	return 0
}
