package experiment

import (
	"math"
	"math/rand/v2"
	"time"

	"persimmonpick/table"
)

// instance simulates one running copy of a service.
type instance struct {
	record       *table.Instance
	service      int
	rng          *rand.Rand
	loadDrift    float64                           // difference from the load common to all instances
	load         float64                           // utilization of the slots
	recentLogP99 [int(reportWindow / step)]float64 // log of the true p99, one value for each step of the window
}

// quantile99 is the 99th percentile of the standard normal distribution.
const quantile99 = 2.326

// simulateRequests updates the load of the instances of h for one step and samples request latencies.
func (w *world) simulateRequests(h *host) {
	if w.noRequests {
		return
	}
	for _, in := range h.instances {
		in.loadDrift = 0.98*in.loadDrift + 0.012*in.rng.NormFloat64()
		in.load = clamp(w.load+in.loadDrift, 0.1, 0.75)
		slow := w.slowdown(h, in)
		q := newQueueModel(in.load, slow)
		in.recentLogP99[int(w.elapsed/step)%len(in.recentLogP99)] = math.Log(q.p99())
		for range samplesPerStep {
			latency := q.sampleLatency(in.rng)
			if w.measuring() {
				w.res.recordLatency(latency)
			}
		}
	}
}

// slowdown returns the factor on the service time of in. The policy cannot see it and has to estimate it from
// reports.
func (w *world) slowdown(h *host, in *instance) float64 {
	slow := 1 + overcommitSlowdown*h.overcommit
	for k, used := range h.cpuByKind {
		slow += w.sc.interference[in.service][k] * used * (0.5 + in.load)
	}
	return slow
}

// queueModel is an M/M/c approximation of the request queue of an instance. Times are in seconds.
type queueModel struct {
	service         float64 // median service time
	waitProbability float64 // probability that all slots are in use
	meanWait        float64 // mean wait of the requests that wait
}

func newQueueModel(load, slow float64) queueModel {
	service := medianService.Seconds() * slow
	rho := min(load*slow, 0.97)
	return queueModel{service: service, waitProbability: erlangC(rho), meanWait: service / (slotsPerInstance * (1 - rho))}
}

// erlangC returns the probability that a request has to wait for a slot at utilization rho (Erlang C formula).
func erlangC(rho float64) float64 {
	blocked := 1.0
	for n := 1; n <= slotsPerInstance; n++ {
		offered := rho * slotsPerInstance
		blocked = offered * blocked / (float64(n) + offered*blocked)
	}
	return blocked / (1 - rho*(1-blocked))
}

// sampleLatency draws the latency of one request. It always consumes the same number of random values, so that all
// variants get the same requests.
func (q queueModel) sampleLatency(r *rand.Rand) time.Duration {
	latency := q.service * math.Exp(serviceSpread*r.NormFloat64())
	waits, long := r.Float64(), r.ExpFloat64()
	if waits < q.waitProbability {
		latency += q.meanWait * long
	}
	return time.Duration(latency * float64(time.Second))
}

// p99 approximates the 99th percentile of the latency.
func (q queueModel) p99() float64 {
	long := 0.0
	if q.waitProbability > 0.01 {
		long = q.meanWait * math.Log(q.waitProbability/0.01)
	}
	alone := q.service * math.Exp(serviceSpread*quantile99)
	return max(alone, q.service+long) + min(long, alone-q.service)/2
}

// measuredP99 returns the p99 of the last window with measurement noise, as in a report.
func (in *instance) measuredP99(noise float64) time.Duration {
	sum := 0.0
	for _, y := range in.recentLogP99 {
		sum += y
	}
	return time.Duration(math.Exp(sum/float64(len(in.recentLogP99))+reportNoise*noise) * float64(time.Second))
}
