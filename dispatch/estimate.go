package dispatch

import (
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"persimmonpick/ledger"
	"persimmonpick/table"
	"persimmonpick/workload"
)

// Parameters of the correction of declared durations.
const (
	durationWeight   = 0.1 // of a new step in the duration ratio of its queue
	minDurationRatio = 0.5
	maxDurationRatio = 3.0
)

// durationRatios tracks, for each queue, how long the longest run of a step takes as a multiple of the declared
// duration. A step ends with its longest run, so wide steps last longer than their tasks declare, and callers measure
// their objective by the runs as they were.
type durationRatios map[workload.QueueID]float64

// of returns the ratio of a queue; it is 1 as long as none of its steps has ended.
func (r durationRatios) of(q workload.QueueID) float64 {
	if ratio, ok := r[q]; ok {
		return ratio
	}
	return 1
}

// observe takes in a step that has ended.
func (r durationRatios) observe(g *group) {
	if g.step.LongRunning || g.step.Estimate <= 0 || len(g.durations) == 0 {
		return
	}
	declared := time.Duration(g.step.Estimate) * time.Millisecond
	ratio := min(maxDurationRatio, max(minDurationRatio, float64(slices.Max(g.durations))/float64(declared)))
	q := g.job.queue.ID
	r[q] = r.of(q) + durationWeight*(ratio-r.of(q))
}

// record returns the handover record of the ratios.
func (r durationRatios) record() (ledger.Record, error) {
	data, err := cbor.Marshal(r)
	return ledger.HandoverRecord(handoverDurations, data), err
}

// restore loads the ratios of an earlier leader.
func (r durationRatios) restore(data []byte) error {
	var earlier map[workload.QueueID]float64
	if err := cbor.Unmarshal(data, &earlier); err != nil {
		return err
	}
	for q, ratio := range earlier {
		if ratio >= minDurationRatio && ratio <= maxDurationRatio {
			r[q] = ratio
		}
	}
	return nil
}

// usualDuration corrects a declared duration of a job by those observed in its queue.
func (sched *Scheduler) usualDuration(j *job, declared table.Millis) time.Duration {
	return time.Duration(sched.durationRatios.of(j.queue.ID) * float64(declared) * float64(time.Millisecond))
}

// objective returns how long an occurrence of j may take, by the usual durations of its queue.
func (sched *Scheduler) objective(j *job) time.Duration {
	criticalPath := sched.usualDuration(j, j.criticalPath(nil))
	return time.Duration(max(1, j.queue.Stretch)*float64(criticalPath)) + time.Duration(j.queue.Allowance)*time.Millisecond
}
