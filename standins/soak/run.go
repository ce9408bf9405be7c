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

const (
	service   = "trim"
	downTime  = 800 * time.Millisecond // of a worker that has crashed
	heartbeat = time.Second            // interval at which workers renew their entries
)

// runConfig configures a run.
type runConfig struct {
	Binary  string // path of persimmonpickd
	Dir     string // directory for settings and logs
	Seed    uint64
	Length  time.Duration // of the period with faults
	Hosts   int
	Workers int
	Callers int
	// Evacuate has availability zones evacuated beside the faults.
	Evacuate bool
	Logf     func(format string, args ...any) // logs each fault
}

// result is the result of a run.
type result struct {
	Jobs, Starts int
	GivenUp      int // jobs without a deadly task that were shown as failed
	Violations   []string
}

// run runs the workload of one seed and checks the invariants.
func run(cfg runConfig) (result, error) {
	c := newChecker()
	var proxies []*faultproxy.Proxy
	var proxyErr error
	site := emulator.NewSite(emulator.SiteConfig{
		Workers: cfg.Workers, Heartbeat: heartbeat,
		Worker: func(i int) emulator.WorkerConfig {
			id := workerName(i)
			return emulator.WorkerConfig{
				ID: id, Service: service, Zone: zoneOf(i), Rack: fmt.Sprintf("r%d", i/4), CPU: 8000, MemoryMB: 32000,
				Duration: taskDuration,
				Started:  func(task string, run int) { c.runStarted(id, task, run) },
				Answered: func(task string, run int) { c.startAnswered(id, zoneOf(i), task, run) },
				Ended:    func(task string, run int, how string) { c.runEnded(id, task, run, how) },
				Crashes: emulator.CrashConfig{
					Deadly: isDeadly, Down: downTime, NextID: func(life int) string { return fmt.Sprintf("%s-%d", id, life) },
				},
			}
		},
		ListedAddress: func(_ int, address string) string {
			p, err := faultproxy.Listen("127.0.0.1:0", address)
			if err != nil {
				proxyErr = err
				return address
			}
			proxies = append(proxies, p)
			return p.Address()
		},
	})
	defer site.Close()
	if proxyErr != nil {
		return result{}, proxyErr
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
	runWorkload(cfg, c, hosts, &injector{
		checker: c, hosts: hosts, site: site, workers: proxies, rnd: rand.New(rand.NewPCG(cfg.Seed, 0)), began: time.Now(), version: 1, logf: cfg.Logf,
	})
	c.finish()
	return result{len(c.jobs), c.starts, c.givenUp(), c.violations}, nil
}

// runWorkload runs the callers while faults are injected. Then it waits until all accepted jobs have ended, but at most
// for settleTimeout, and for cancelled jobs to stop.
func runWorkload(cfg runConfig, c *checker, hosts []*host, t *injector) {
	ctx, cancel := context.WithTimeout(context.Background(), cfg.Length)
	defer cancel()
	var wg sync.WaitGroup
	for n := range cfg.Callers {
		wg.Go(func() { newCaller(hosts, c, cfg.Seed, uint64(n+1)).run(ctx) })
	}
	wg.Go(func() { t.run(ctx) })
	if cfg.Evacuate {
		wg.Go(func() { t.evacuate(ctx, cfg.Seed) })
	}
	wg.Wait()
	last := newCaller(hosts, c, cfg.Seed, 0)
	for end := time.Now().Add(settleTimeout); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		open := c.openJobs()
		if len(open) == 0 {
			break
		}
		for _, id := range open {
			last.pollJob(id)
		}
	}
	time.Sleep(maxCancelTime)
}

func workerName(n int) string { return fmt.Sprintf("w%d", n) }

// taskDuration derives the duration of a task, from 50 ms to 1.5 s, from a hash of its name.
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
