package experiment

import (
	"math"
	"math/rand/v2"
	"time"

	"persimmonpick/table"
)

// instance is one running copy of a service.
type instance struct {
	e       *table.Instance
	service int
	draws   *rand.Rand
	drift   float64 // of its load from that of all
	load    float64
	recent  [int(reportWindow / step)]float64 // log of the true p99 in each of the last steps
}

// quantile99 is the 99th percentile of the standard normal distribution.
const quantile99 = 2.326

// serve draws the requests that the instances of h answer in one step.
func (w *world) serve(h *host) {
	if w.quiet {
		return
	}
	for _, in := range h.instances {
		in.drift = 0.98*in.drift + 0.012*in.draws.NormFloat64()
		in.load = clamp(w.load+in.drift, 0.1, 0.75)
		slow := w.slowdown(h, in)
		q := newWaiting(in.load, slow)
		in.recent[int(w.at/step)%len(in.recent)] = math.Log(q.p99())
		for range sampledPerStep {
			latency := q.draw(in.draws)
			if w.measuring() {
				w.res.request(latency)
			}
		}
	}
}

// slowdown is the hidden truth that the policy has to learn.
func (w *world) slowdown(h *host, in *instance) float64 {
	slow := 1 + overcommitted*h.over
	for k, used := range h.using {
		slow += w.sc.slowing[in.service][k] * used * (0.5 + in.load)
	}
	return slow
}

// waiting is a queue with several servers, in seconds.
type waiting struct {
	service float64 // median service time
	busy    float64 // chance that all slots are in use
	wait    float64 // mean wait when they are
}

func newWaiting(load, slow float64) waiting {
	service := medianService.Seconds() * slow
	rho := min(load*slow, 0.97)
	return waiting{service: service, busy: erlangC(rho), wait: service / (slots * (1 - rho))}
}

// erlangC returns the chance that a request waits for one of the slots.
func erlangC(rho float64) float64 {
	blocked := 1.0
	for n := 1; n <= slots; n++ {
		offered := rho * slots
		blocked = offered * blocked / (float64(n) + offered*blocked)
	}
	return blocked / (1 - rho*(1-blocked))
}

// draw always uses the same number of draws, so that all variants meet the same requests.
func (q waiting) draw(r *rand.Rand) time.Duration {
	latency := q.service * math.Exp(serviceSpread*r.NormFloat64())
	waits, long := r.Float64(), r.ExpFloat64()
	if waits < q.busy {
		latency += q.wait * long
	}
	return time.Duration(latency * float64(time.Second))
}

// p99 approximates the 99th percentile.
func (q waiting) p99() float64 {
	long := 0.0
	if q.busy > 0.01 {
		long = q.wait * math.Log(q.busy/0.01)
	}
	alone := q.service * math.Exp(serviceSpread*quantile99)
	return max(alone, q.service+long) + min(long, alone-q.service)/2
}

// measuredP99 is the p99 of the last window as a report shows it.
func (in *instance) measuredP99(noise float64) time.Duration {
	sum := 0.0
	for _, y := range in.recent {
		sum += y
	}
	return time.Duration(math.Exp(sum/float64(len(in.recent))+reportNoise*noise) * float64(time.Second))
}
