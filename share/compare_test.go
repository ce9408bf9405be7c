package share

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"persimmonpick/table"
)

const (
	compareHosts     = 8
	compareInstances = 16
	compareService   = 20 * time.Millisecond // mean of an exponential distribution
	compareRun       = time.Second
)

// compareHost is one entry host in the comparison; its requests take any slot at hand, else borrow, else wait.
type compareHost struct {
	m     *Manager
	insts []table.Instance
	wake  chan struct{}
	turns chan struct{} // held by the requests first in line; the others wait for a turn

	mu      sync.Mutex
	rng     *rand.Rand
	waiting int
	calls   int
}

func (h *compareHost) order() []int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.rng.Perm(len(h.insts))
}

func (h *compareHost) acquire() (func(), bool) {
	h.mu.Lock()
	h.waiting++
	h.mu.Unlock()
	defer func() {
		h.mu.Lock()
		h.waiting--
		h.mu.Unlock()
	}()
	end := time.After(2 * time.Second)
	select {
	case h.turns <- struct{}{}:
		defer func() { <-h.turns }()
	case <-end:
		return nil, false
	}
	for {
		for _, i := range h.order() {
			if release, ok := h.m.TryAcquire(h.insts[i]); ok {
				return release, true
			}
		}
		if h.borrow() {
			continue
		}
		select {
		case <-h.wake:
		case <-time.After(2 * time.Millisecond):
		case <-end:
			return nil, false
		}
	}
}

func (h *compareHost) borrow() bool {
	for _, i := range h.order() {
		if !h.m.CanBorrow(h.insts[i]) {
			continue
		}
		_, _ = h.m.Borrow(context.Background(), h.insts[i], (h.waiters()+3)/4)
		h.mu.Lock()
		defer h.mu.Unlock()
		h.calls++
		return true
	}
	return false
}

func (h *compareHost) waiters() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.waiting
}

// measured is one row of the comparison.
type measured struct {
	answered, lost, calls int
	mean, p99             time.Duration
	idle                  float64 // share of slots that are idle while some request waits
}

// compare measures loans or a fixed split at one load, with the callers on the first senders hosts.
func compare(split bool, load float64, senders int) (out measured) {
	c := newCluster(compareHosts, compareInstances, func() string { return "" })
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var hosts []*compareHost
	for i, seat := range c.seats {
		h := &compareHost{m: c.managers[seat], insts: slices.Clone(c.insts), wake: make(chan struct{}, 1), turns: make(chan struct{}, 4), rng: rand.New(rand.NewPCG(1, uint64(i)))}
		if split {
			c.seats = []table.SeatID{seat}
			h.m = New(c.config(seat, func() bool { return true }))
			for j := range h.insts {
				h.insts[j].Slots /= compareHosts
			}
		}
		h.m.OnFree(func(table.Instance) {
			select {
			case h.wake <- struct{}{}:
			default:
			}
		})
		go h.m.Run(ctx)
		hosts = append(hosts, h)
	}
	slots := 8 * compareInstances
	var mu sync.Mutex
	var waits []time.Duration
	busy, idle, samples := 0, 0, 0
	go func() {
		for ctx.Err() == nil {
			time.Sleep(time.Millisecond)
			waiting := 0
			for _, h := range hosts {
				waiting += h.waiters()
			}
			mu.Lock()
			samples++
			if waiting > 0 {
				idle += slots - busy
			}
			mu.Unlock()
		}
	}()
	rng := rand.New(rand.NewPCG(7, 7))
	var wg sync.WaitGroup
	gap := float64(compareService) / float64(slots) / load
	for start := time.Now(); time.Since(start) < compareRun; {
		h := hosts[rng.IntN(senders)]
		service := time.Duration(rng.ExpFloat64() * float64(compareService))
		wg.Go(func() {
			begin := time.Now()
			release, ok := h.acquire()
			mu.Lock()
			waits = append(waits, time.Since(begin))
			out.lost += map[bool]int{false: 1}[ok]
			busy += map[bool]int{true: 1}[ok]
			mu.Unlock()
			if !ok {
				return
			}
			time.Sleep(min(service, testLongest))
			mu.Lock()
			busy--
			mu.Unlock()
			release()
		})
		time.Sleep(time.Duration(rng.ExpFloat64() * gap))
	}
	mu.Lock()
	out.idle = float64(idle) / float64(samples*slots)
	mu.Unlock()
	wg.Wait()
	cancel()
	slices.Sort(waits)
	var sum time.Duration
	for _, w := range waits {
		sum += w
	}
	out.answered = len(waits) - out.lost
	out.mean = sum / time.Duration(len(waits))
	out.p99 = waits[len(waits)*99/100]
	for _, h := range hosts {
		out.calls += h.calls
	}
	time.Sleep(testTerm + testLongest)
	return out
}

// Guards against loans that leave more slots idle, or make callers wait longer, than a fixed split; run with -v for the table.
func TestCompareSharing(t *testing.T) {
	is := is.New(t)
	for _, senders := range []int{compareHosts, 1} {
		for _, load := range []float64{0.8, 0.95} {
			rows := map[bool]measured{}
			for _, split := range []bool{true, false} {
				synctest.Test(t, func(t *testing.T) {
					m := compare(split, load, senders)
					rows[split] = m
					t.Logf("fixed split %-5v hosts with callers %d load %.2f: answered %5d lost %5d wait mean %8.3f ms p99 %8.2f ms idle while waiting %5.1f%% calls %5d",
						split, senders, load, m.answered, m.lost, m.mean.Seconds()*1e3, m.p99.Seconds()*1e3, m.idle*100, m.calls)
				})
			}
			is.True(rows[false].mean <= rows[true].mean)
			is.True(rows[false].answered >= rows[true].answered)
		}
	}
}
