package main

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"persimmonpick/platform/emulator"
	"persimmonpick/standins/faultproxy"
	"persimmonpick/table"
)

const (
	maxFaultTime      = 5 * time.Second        // so that some faults outlast the leases of workers
	meanFaultInterval = 900 * time.Millisecond // so that faults overlap
)

// injector injects random faults and reverts each after a while.
type injector struct {
	checker *checker
	hosts   []*host
	site    *emulator.Site
	workers []*faultproxy.Proxy
	rnd     *rand.Rand
	began   time.Time
	version int
	logf    func(format string, args ...any)

	wg sync.WaitGroup
}

// run injects faults at exponentially distributed intervals until ctx is done. It returns when all of them are
// reverted. With half of the seeds, series of crashes and late starts go on all the time.
func (t *injector) run(ctx context.Context) {
	if t.rnd.IntN(2) == 0 {
		crashes := t.crashInSeries(ctx, math.MaxInt)
		starts, _ := t.delayStarts(ctx)
		t.logf("%6.2f s %s and %s until the end", time.Since(t.began).Seconds(), crashes, starts)
	}
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(t.rnd.ExpFloat64()*float64(meanFaultInterval)))
		if ctx.Err() != nil {
			break
		}
		name, undo := t.inject(ctx)
		d := time.Duration(t.rnd.Int64N(int64(maxFaultTime)))
		t.logf("%6.2f s %s for %v", time.Since(t.began).Seconds(), name, d.Round(time.Millisecond))
		t.wg.Go(func() {
			sleep(ctx, d)
			undo()
		})
	}
	t.wg.Wait()
	for _, w := range t.site.Workers {
		w.DelayStarts(0)
	}
}

func noUndo() {}

func (t *injector) inject(ctx context.Context) (name string, undo func()) {
	h := t.hosts[t.rnd.IntN(len(t.hosts))]
	n := t.rnd.IntN(len(t.workers))
	w := t.site.Workers[n]
	switch t.rnd.IntN(16) {
	case 0:
		h.signal(syscall.SIGKILL)
		return t.disturbs("", "kill "+h.name, noUndo)
	case 1:
		h.signal(syscall.SIGTERM)
		return t.disturbs("", "terminate "+h.name, noUndo)
	case 2:
		h.signal(syscall.SIGSTOP)
		return t.disturbs("", "pause "+h.name, func() {
			h.signal(syscall.SIGCONT)
			t.checker.hostThawed()
		})
	case 3:
		h.signal(syscall.SIGHUP)
		return t.disturbs("", "send SIGHUP to "+h.name, noUndo)
	case 4:
		for _, h := range t.hosts {
			h.signal(syscall.SIGKILL)
		}
		return t.disturbs("", "kill all hosts", noUndo)
	case 5, 6:
		s := t.randomSetting()
		return t.disturbs("", fmt.Sprintf("%s between %s and the log", s.Mode, h.name), setProxy(h.log, s))
	case 7, 8:
		s := t.randomSetting()
		return t.disturbs(workerName(n), fmt.Sprintf("%s between the hosts and worker %d", s.Mode, n), setProxy(t.workers[n], s))
	case 9:
		all := []emulator.LogFault{emulator.Refusing, emulator.Silent, emulator.Losing, emulator.Late}
		kind := all[t.rnd.IntN(len(all))]
		t.site.Log.SetFault(kind)
		return t.disturbs("", "log "+string(kind), func() { t.site.Log.SetFault(emulator.NoFault) })
	case 10:
		t.site.Log.DropHistory()
		return t.disturbs("", "log drops its history", noUndo)
	case 11:
		w.Crash()
		t.site.List(n, "ready")
		return fmt.Sprintf("worker %d restarts", n), noUndo
	case 12:
		w.DelayStarts(time.Duration(500+t.rnd.IntN(4000)) * time.Millisecond)
		return fmt.Sprintf("worker %d starts late", n), func() { w.DelayStarts(0) }
	case 13:
		return t.crashInSeries(ctx, 3+t.rnd.IntN(5)), noUndo
	case 14:
		return t.delayStarts(ctx)
	default:
		t.version += 1 + t.rnd.IntN(3)
		t.site.Configure(t.version, service)
		w.Hang(true)
		return t.disturbs("", fmt.Sprintf("configuration %d, worker %d hangs", t.version, n), func() { w.Hang(false) })
	}
}

// disturbs tells the checker that a fault has begun, and with undo that it has ended.
func (t *injector) disturbs(worker, name string, undo func()) (string, func()) {
	ended := t.checker.faultBegan(worker)
	return name, func() {
		undo()
		ended()
	}
}

func (t *injector) largeShare() float64 { return 0.5 + 0.45*t.rnd.Float64() }

func (t *injector) crashInterval() time.Duration {
	return time.Duration(1000+t.rnd.IntN(3000)) * time.Millisecond
}

// crashInSeries crashes many workers again and again, all at once or each at an interval of its own, until ctx is
// done. Some of them are unreachable for a while before and after each crash.
func (t *injector) crashInSeries(ctx context.Context, times int) string {
	drawn := t.rnd.Perm(len(t.workers))[:int(math.Ceil(t.largeShare()*float64(len(t.workers))))]
	interval, together := t.crashInterval(), t.rnd.IntN(2) == 0
	for _, n := range drawn {
		if !together {
			interval = t.crashInterval()
		}
		var dark time.Duration
		if t.rnd.IntN(2) == 0 {
			dark = time.Duration(t.rnd.Int64N(int64(interval)))
		}
		t.wg.Go(func() { t.crashRepeatedly(ctx, n, times, interval, dark) })
	}
	return fmt.Sprintf("workers %d crash in series", drawn)
}

func (t *injector) crashRepeatedly(ctx context.Context, n, times int, interval, dark time.Duration) {
	sleep(ctx, interval)
	for range times {
		if ctx.Err() != nil {
			return
		}
		undo := noUndo
		if dark > 0 {
			_, undo = t.disturbs(workerName(n), "", setProxy(t.workers[n], faultproxy.Setting{Mode: faultproxy.Freeze}))
		}
		sleep(ctx, dark/2)
		t.site.Workers[n].GoDown()
		sleep(ctx, dark/2)
		undo()
		sleep(ctx, interval-dark)
	}
}

// delayStarts makes a large share of the starts take effect late and get no response.
func (t *injector) delayStarts(ctx context.Context) (name string, undo func()) {
	ctx, cancel := context.WithCancel(ctx)
	share, rnd := t.largeShare(), rand.New(rand.NewPCG(t.rnd.Uint64(), 0))
	t.wg.Go(func() {
		for ctx.Err() == nil {
			for _, w := range t.site.Workers {
				var d time.Duration
				if rnd.Float64() < share {
					d = time.Duration(2000+rnd.IntN(10000)) * time.Millisecond
				}
				w.DelayStarts(d)
			}
			sleep(ctx, 100*time.Millisecond)
		}
		for _, w := range t.site.Workers {
			w.DelayStarts(0)
		}
	})
	return fmt.Sprintf("%.2f of the starts are late", share), cancel
}

func (t *injector) randomSetting() faultproxy.Setting {
	modes := []faultproxy.Mode{
		faultproxy.Delay, faultproxy.Cut, faultproxy.HalfOpen, faultproxy.Freeze, faultproxy.DropReplies, faultproxy.Truncate,
	}
	return faultproxy.Setting{Mode: modes[t.rnd.IntN(len(modes))], Delay: table.Millis(t.rnd.IntN(400)), Bytes: t.rnd.IntN(2000)}
}

func setProxy(p *faultproxy.Proxy, s faultproxy.Setting) func() {
	if err := p.Set(s); err != nil {
		return noUndo // the setting was refused, so there is nothing to undo
	}
	return func() {
		_ = p.Set(faultproxy.Setting{Mode: faultproxy.Pass}) // Pass is never refused
	}
}
