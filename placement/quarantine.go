package placement

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"persimmonpick/journal"
	"persimmonpick/settings"
	"persimmonpick/table"
)

// Limits of quarantine.
const (
	badJobWorkers          = 3      // workers on which a job must fail to count as bad itself
	maxQuarantineDoublings = 5      // doublings of the quarantine time
	maxFailedJobs          = 64     // distinct failed jobs remembered per worker
	maxFailingJobs         = 10_000 // failing jobs remembered in total
)

// Quarantine decides which workers to quarantine for failures of tasks. It distinguishes workers on which
// every job fails from jobs that fail on every worker. Only the control goroutine may use it.
type Quarantine struct {
	workers  map[table.WorkerID]*failureRecord
	failedOn map[table.JobID]map[table.WorkerID]bool // workers on which each failing job failed
}

// failureRecord holds the failures and quarantines of one worker.
type failureRecord struct {
	failedJobs    map[table.JobID]bool // distinct jobs that failed on the worker since its last success
	quarantinedAt time.Time            // start of the current quarantine; zero if there is none
	quarantines   int                  // quarantines since the last success
	probation     bool                 // set by a quarantine until the next success; one failure is enough for another
}

// NewQuarantine returns a quarantine without failures.
func NewQuarantine() *Quarantine {
	return &Quarantine{workers: map[table.WorkerID]*failureRecord{}, failedOn: map[table.JobID]map[table.WorkerID]bool{}}
}

// ObserveOutcome records the outcome of a lease that was applied from the log.
func (q *Quarantine) ObserveOutcome(_ table.TaskID, job table.JobID, w table.WorkerID, outcome journal.LeaseOutcome, _ time.Time) {
	switch outcome {
	case journal.LeaseFinished:
		delete(q.failedOn, job)
		// A task that started before the quarantine may finish during it, which does not show that the worker
		// works again.
		if r := q.workers[w]; r != nil && r.quarantinedAt.IsZero() {
			*r = failureRecord{}
		}
	case journal.LeaseFailed:
		q.recordFailure(job, w)
	}
}

func (q *Quarantine) recordFailure(job table.JobID, w table.WorkerID) {
	r := q.recordOf(w)
	if r.failedJobs == nil {
		r.failedJobs = map[table.JobID]bool{}
	}
	if len(r.failedJobs) < maxFailedJobs {
		r.failedJobs[job] = true
	}
	if q.failedOn[job] == nil {
		if len(q.failedOn) >= maxFailingJobs {
			return
		}
		q.failedOn[job] = map[table.WorkerID]bool{}
	}
	q.failedOn[job][w] = true
}

// BadJob reports whether a job failed on so many workers that its failures do not count against them.
func (q *Quarantine) BadJob(id table.JobID) bool {
	return len(q.failedOn[id]) >= badJobWorkers
}

// Decide returns records that quarantine workers, up to the share that the policy allows, and that release workers
// whose quarantine time is over.
func (q *Quarantine) Decide(t *table.Tables, now time.Time, policy settings.Policy) []journal.Record {
	q.prune(t)
	out := q.release(t, now, policy)
	known, quarantined := 0, 0
	for _, w := range t.Workers {
		if !w.Gone {
			known++
		}
		if w.Quarantined && !w.Gone {
			quarantined++
		}
	}
	room := int(policy.QuarantineShare*float64(known)) - quarantined
	for _, id := range q.suspects(t, policy) {
		if room <= 0 {
			break
		}
		room--
		r := q.workers[id]
		reason := fmt.Sprintf("%d distinct jobs failed there in a row", q.attributableFailures(r))
		out = append(out, journal.Record{WorkerQuarantined: &journal.WorkerQuarantined{ID: id, Reason: reason}})
	}
	return out
}

// release returns releases of the workers whose quarantine time is over, and starts the time of those newly
// quarantined. The time doubles with each quarantine since the last success.
func (q *Quarantine) release(t *table.Tables, now time.Time, policy settings.Policy) []journal.Record {
	var out []journal.Record
	for _, id := range table.SortedWorkers(t) {
		w := t.Workers[id]
		if !w.Quarantined {
			if r := q.workers[id]; r != nil {
				r.quarantinedAt = time.Time{}
			}
			continue
		}
		r := q.recordOf(id)
		if r.quarantinedAt.IsZero() {
			r.quarantinedAt, r.failedJobs, r.probation = now, nil, true
			r.quarantines++
		}
		if now.Sub(r.quarantinedAt) >= policy.QuarantineFor.D()<<min(r.quarantines-1, maxQuarantineDoublings) {
			out = append(out, journal.Record{WorkerReleased: &journal.WorkerReleased{ID: id}})
		}
	}
	return out
}

// suspects returns the workers that should be quarantined, in descending order of failures. On probation one
// failure is enough.
func (q *Quarantine) suspects(t *table.Tables, policy settings.Policy) []table.WorkerID {
	var ids []table.WorkerID
	for id, r := range q.workers {
		w := t.Workers[id]
		if w == nil || w.Gone || w.Quarantined {
			continue
		}
		needed := policy.QuarantineAfter
		if r.probation {
			needed = 1
		}
		if n := q.attributableFailures(r); n > 0 && n >= needed {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b table.WorkerID) int {
		return cmp.Or(cmp.Compare(q.attributableFailures(q.workers[b]), q.attributableFailures(q.workers[a])), cmp.Compare(a, b))
	})
	return ids
}

// attributableFailures returns the number of failed jobs that count against the worker rather than the job.
func (q *Quarantine) attributableFailures(r *failureRecord) int {
	n := 0
	for job := range r.failedJobs {
		if !q.BadJob(job) {
			n++
		}
	}
	return n
}

// recordOf returns the failure record of w, which it creates if needed.
func (q *Quarantine) recordOf(w table.WorkerID) *failureRecord {
	r := q.workers[w]
	if r == nil {
		r = &failureRecord{}
		q.workers[w] = r
	}
	return r
}

// prune drops workers and jobs that are no longer in the tables.
func (q *Quarantine) prune(t *table.Tables) {
	for id := range q.workers {
		if t.Workers[id] == nil {
			delete(q.workers, id)
		}
	}
	for id := range q.failedOn {
		if t.Jobs[id] == nil {
			delete(q.failedOn, id)
		}
	}
}
