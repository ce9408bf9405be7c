package main

import (
	"context"
	"fmt"
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
// reverted.
func (t *injector) run(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(t.rnd.ExpFloat64()*float64(meanFaultInterval)))
		if ctx.Err() != nil {
			break
		}
		name, undo := t.inject()
		d := time.Duration(t.rnd.Int64N(int64(maxFaultTime)))
		t.logf("%6.2f s %s for %v", time.Since(t.began).Seconds(), name, d.Round(time.Millisecond))
		t.wg.Go(func() {
			sleep(ctx, d)
			undo()
		})
	}
	t.wg.Wait()
}

func noUndo() {}

func (t *injector) inject() (name string, undo func()) {
	h := t.hosts[t.rnd.IntN(len(t.hosts))]
	n := t.rnd.IntN(len(t.workers))
	w := t.site.Workers[n]
	switch t.rnd.IntN(14) {
	case 0:
		h.signal(syscall.SIGKILL)
		return "kill " + h.name, noUndo
	case 1:
		h.signal(syscall.SIGTERM)
		return "terminate " + h.name, noUndo
	case 2:
		h.signal(syscall.SIGSTOP)
		return "pause " + h.name, func() { h.signal(syscall.SIGCONT) }
	case 3:
		h.signal(syscall.SIGHUP)
		return "send SIGHUP to " + h.name, noUndo
	case 4:
		for _, h := range t.hosts {
			h.signal(syscall.SIGKILL)
		}
		return "kill all hosts", noUndo
	case 5, 6:
		s := t.randomSetting()
		return fmt.Sprintf("%s between %s and the log", s.Mode, h.name), setProxy(h.log, s)
	case 7, 8:
		s := t.randomSetting()
		return fmt.Sprintf("%s between the hosts and worker %d", s.Mode, n), setProxy(t.workers[n], s)
	case 9:
		all := []emulator.LogFault{emulator.Refusing, emulator.Silent, emulator.Losing, emulator.Late}
		kind := all[t.rnd.IntN(len(all))]
		t.site.Log.SetFault(kind)
		return "log " + string(kind), func() { t.site.Log.SetFault(emulator.NoFault) }
	case 10:
		t.site.Log.DropHistory()
		return "log drops its history", noUndo
	case 11:
		w.Crash()
		t.site.List(n, "ready")
		return fmt.Sprintf("worker %d restarts", n), noUndo
	case 12:
		w.DelayStarts(time.Duration(500+t.rnd.IntN(4000)) * time.Millisecond)
		return fmt.Sprintf("worker %d starts late", n), func() { w.DelayStarts(0) }
	default:
		t.version += 1 + t.rnd.IntN(3)
		t.site.Configure(t.version, service)
		w.Hang(true)
		return fmt.Sprintf("configuration %d, worker %d hangs", t.version, n), func() { w.Hang(false) }
	}
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
