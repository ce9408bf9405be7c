package experiment

import (
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"

	"persimmonpick/placement"
)

// Result holds the metrics of one simulation of one variant, taken after the warm-up unless stated otherwise.
type Result struct {
	P50, P99, P999 time.Duration
	InTime         float64 // share of requests within the objective
	Work           float64 // core hours of batch work done per hour, less work lost
	Jobs           int     // finished jobs
	Evictions      int     // evictions to protect instances
	Preempted      int     // evictions to make room for urgent work
	Lost           float64 // core hours lost to evictions
	Kills          int     // tasks killed because the worker ran out of memory
	// UrgentMax is the longest time from submission to first grant of an urgent task, warm-up included.
	UrgentMax   time.Duration
	Quarantines int // quarantined workers, warm-up included
	Violations  int // records that violated a rule, warm-up included

	hist *hdr.Histogram
	good int64
	work float64
	lost float64
}

func newResult() Result {
	return Result{hist: hdr.New(1, int64(time.Minute/time.Microsecond), 3)}
}

func (r *Result) recordLatency(latency time.Duration) {
	// Latencies outside the range of the histogram are clamped to it.
	_ = r.hist.RecordValue(min(max(latency.Microseconds(), 1), r.hist.HighestTrackableValue()))
	if latency <= objective {
		r.good++
	}
}

func (r *Result) countEviction(reason string) {
	if reason == placement.ReasonUrgent {
		r.Preempted++
		return
	}
	r.Evictions++
}

func (r *Result) recordUrgentWait(waited time.Duration) {
	r.UrgentMax = max(r.UrgentMax, waited)
}

// finish computes the exported metrics from the raw counts.
func (r *Result) finish() {
	micros := func(q float64) time.Duration {
		return time.Duration(r.hist.ValueAtQuantile(q)) * time.Microsecond
	}
	r.P50, r.P99, r.P999 = micros(50), micros(99), micros(99.9)
	if n := r.hist.TotalCount(); n > 0 {
		r.InTime = float64(r.good) / float64(n)
	}
	r.Work = r.work / 3600 / measuredDuration.Hours()
	r.Lost = r.lost / 3600
	r.hist = nil
}
