package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"persimmonpick/platform/emulator"
	"persimmonpick/standins/faultproxy"
)

const service = "trim"

// runConfig configures one run.
type runConfig struct {
	Binary  string // of persimmonpickd
	Dir     string // for settings and logs
	Seed    uint64
	Length  time.Duration // of the time with faults
	Hosts   int
	Workers int
	Callers int
	Logf    func(format string, args ...any)
}

// result is what a run has shown.
type result struct {
	Jobs, Starts int
	Violations   []string
}

// run plays one seed.
func run(cfg runConfig) (result, error) {
	j := newChecker()
	var proxies []*faultproxy.Proxy
	var failed error
	site := emulator.NewSite(emulator.SiteConfig{
		Workers: cfg.Workers,
		Worker: func(i int) emulator.WorkerConfig {
			id := fmt.Sprintf("w%d", i)
			return emulator.WorkerConfig{
				ID: id, Service: service, Zone: "z1", Rack: fmt.Sprintf("r%d", i/4), CPU: 8000, MemoryMB: 32000,
				Duration: taskDuration,
				Started:  func(task string, run int) { j.runStarted(id, task, run) },
				Ended:    func(task string, run int, how string) { j.runEnded(id, task, run, how) },
			}
		},
		Through: func(_ int, address string) string {
			p, err := faultproxy.Listen("127.0.0.1:0", address)
			if err != nil {
				failed = err
				return address
			}
			proxies = append(proxies, p)
			return p.Address()
		},
	})
	defer site.Close()
	if failed != nil {
		return result{}, failed
	}
	site.Configure(1, service)
	var hosts []*host
	for i := range cfg.Hosts {
		h, err := newHost(i, cfg.Binary, cfg.Dir, site.LogAddr)
		if err != nil {
			return result{}, err
		}
		defer h.stop()
		if err := h.start(); err != nil {
			return result{}, err
		}
		hosts = append(hosts, h)
	}
	runWorkload(cfg, j, hosts, &injector{
		hosts: hosts, site: site, workers: proxies, rnd: rand.New(rand.NewPCG(cfg.Seed, 0)), began: time.Now(), version: 1, logf: cfg.Logf,
	})
	j.finish()
	return result{len(j.jobs), j.starts, j.violations}, nil
}

// runWorkload has callers work while faults come and go, and then waits for what was accepted.
func runWorkload(cfg runConfig, j *checker, hosts []*host, t *injector) {
	ctx, cancel := context.WithTimeout(context.Background(), cfg.Length)
	defer cancel()
	var wg sync.WaitGroup
	for n := range cfg.Callers {
		wg.Go(func() { newCaller(hosts, j, cfg.Seed, uint64(n+1)).run(ctx) })
	}
	wg.Go(func() { t.run(ctx) })
	wg.Wait()
	last := newCaller(hosts, j, cfg.Seed, 0)
	for end := time.Now().Add(settleTimeout); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		open := j.openJobs()
		if len(open) == 0 {
			break
		}
		for _, id := range open {
			last.pollJob(id)
		}
	}
	time.Sleep(maxCancelTime)
}

// taskDuration spreads the work of tasks from 50 ms to 1.5 s by their names.
func taskDuration(task string) time.Duration {
	h := 0
	for _, r := range task {
		h = (h*31 + int(r)) % 997
	}
	return 50*time.Millisecond + time.Duration(h)*1450*time.Microsecond
}

func printTo(f *os.File) func(string, ...any) {
	return func(format string, args ...any) { fmt.Fprintf(f, format+"\n", args...) }
}
