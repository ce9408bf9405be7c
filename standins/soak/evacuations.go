package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"persimmonpick/platform/emulator"
)

// Times of evacuations.
const (
	zones          = 3
	leastEvacuated = emulator.EvacuationDelay + time.Second
	meanEvacuated  = 3 * time.Second // beyond the least
	meanBetween    = 3 * time.Second
	// A host that was paused may send an order that it had decided on before.
	thawTime = time.Second
	// A faulty link may hold an order up for longer than the fault lasts.
	linkTime = maxFaultTime
)

func zoneOf(worker int) string { return fmt.Sprintf("z%d", worker%zones) }

// evacuate has zones evacuated one after the other until ctx is done, with a random sequence of its own.
func (t *injector) evacuate(ctx context.Context, seed uint64) {
	rnd := rand.New(rand.NewPCG(seed, 1<<32))
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(rnd.ExpFloat64()*float64(meanBetween)))
		z := zoneOf(rnd.IntN(zones))
		lasts := leastEvacuated + time.Duration(rnd.ExpFloat64()*float64(meanEvacuated))
		t.logf("%6.2f s zone %s is evacuated for %v", time.Since(t.began).Seconds(), z, lasts.Round(time.Millisecond))
		t.site.Evacuate(z, true)
		t.checker.zoneEvacuated(z)
		sleep(ctx, lasts)
		t.checker.zoneTakenBack(z)
		t.site.Evacuate(z, false)
	}
}

// zoneEvacuated records a request to evacuate a zone that is in the log.
func (c *checker) zoneEvacuated(zone string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.zones[zone] = time.Now()
}

// zoneTakenBack records that a zone is about to be taken back.
func (c *checker) zoneTakenBack(zone string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.zones, zone)
}

// hostThawed records that a host runs again after a pause.
func (c *checker) hostThawed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.thawed = time.Now()
}

// checkZone checks an answered start against the evacuation of its zone, unless the order may have been held up on its
// way; the caller holds the lock.
func (c *checker) checkZone(worker, zone, task string, run int) {
	at, evacuated := c.zones[zone]
	late := time.Since(at) - emulator.EvacuationDelay
	if !evacuated || late <= 0 || time.Since(c.thawed) < thawTime || c.linkFaulty(worker) {
		return
	}
	c.report(startedInZone, "task %s: run %d started on %s in zone %s %v too late", task, run, worker, zone, late)
}

// linkFaulty reports whether the link to a worker has been faulty of late; the caller holds the lock.
func (c *checker) linkFaulty(worker string) bool {
	since := time.Now().Add(-linkTime)
	for _, f := range c.faults {
		if f.worker == worker && (f.to.IsZero() || f.to.After(since)) {
			return true
		}
	}
	return false
}
