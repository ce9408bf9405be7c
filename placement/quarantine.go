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

// Bounds of quarantine.
const (
	badJobWorkers  = 3      // a job that failed on so many workers is to blame itself
	maxProbations  = 5      // doublings of the time in quarantine
	maxFailedKept  = 64     // distinct failed jobs remembered for each worker
	maxFailingJobs = 10_000 // failing jobs remembered
)

// Quarantine tells workers that fail everything from jobs that fail everywhere; the control goroutine owns it.
type Quarantine struct {
	workers map[table.WorkerID]*record
	jobs    map[table.JobID]map[table.WorkerID]bool // where each failing job failed
}

// record is what is known about one worker.
type record struct {
	failed    map[table.JobID]bool // distinct jobs that failed there since the last success
	since     time.Time            // start of the quarantine
	times     int                  // quarantines since the last success
	probation bool
}

// NewQuarantine returns a quarantine that suspects nobody.
func NewQuarantine() *Quarantine {
	return &Quarantine{workers: map[table.WorkerID]*record{}, jobs: map[table.JobID]map[table.WorkerID]bool{}}
}

// ObserveOutcome takes in the outcome of a lease that was folded.
func (q *Quarantine) ObserveOutcome(_ table.TaskID, job table.JobID, w table.WorkerID, outcome journal.LeaseOutcome, _ time.Time) {
	switch outcome {
	case journal.LeaseFinished:
		delete(q.jobs, job)
		// A task that started before a quarantine may still finish in it, which does not show that the worker is well.
		if r := q.workers[w]; r != nil && r.since.IsZero() {
			*r = record{}
		}
	case journal.LeaseFailed:
		q.failed(job, w)
	}
}

func (q *Quarantine) failed(job table.JobID, w table.WorkerID) {
	r := q.of(w)
	if r.failed == nil {
		r.failed = map[table.JobID]bool{}
	}
	if len(r.failed) < maxFailedKept {
		r.failed[job] = true
	}
	if q.jobs[job] == nil {
		if len(q.jobs) >= maxFailingJobs {
			return
		}
		q.jobs[job] = map[table.WorkerID]bool{}
	}
	q.jobs[job][w] = true
}

// BadJob says whether a job failed on so many workers that it is to blame itself.
func (q *Quarantine) BadJob(id table.JobID) bool {
	return len(q.jobs[id]) >= badJobWorkers
}

// Decide returns the workers to quarantine and those to release on probation.
func (q *Quarantine) Decide(t *table.Tables, now time.Time, policy settings.Policy) []journal.Record {
	q.forget(t)
	out := q.release(t, now, policy)
	known, inside := 0, 0
	for _, w := range t.Workers {
		if !w.Gone {
			known++
		}
		if w.Quarantined && !w.Gone {
			inside++
		}
	}
	room := int(policy.QuarantineShare*float64(known)) - inside
	for _, id := range q.suspects(t, policy) {
		if room <= 0 {
			break
		}
		room--
		r := q.workers[id]
		reason := fmt.Sprintf("%d distinct jobs failed there in a row", q.count(r))
		out = append(out, journal.Record{WorkerQuarantined: &journal.WorkerQuarantined{ID: id, Reason: reason}})
	}
	return out
}

// release returns releases of the workers whose time is over, and starts the time of those newly quarantined.
func (q *Quarantine) release(t *table.Tables, now time.Time, policy settings.Policy) []journal.Record {
	var out []journal.Record
	for _, id := range table.SortedWorkers(t) {
		w := t.Workers[id]
		if !w.Quarantined {
			if r := q.workers[id]; r != nil {
				r.since = time.Time{}
			}
			continue
		}
		r := q.of(id)
		if r.since.IsZero() {
			r.since, r.failed, r.probation = now, nil, true
			r.times++
		}
		if now.Sub(r.since) >= policy.QuarantineFor.D()<<min(r.times-1, maxProbations) {
			out = append(out, journal.Record{WorkerReleased: &journal.WorkerReleased{ID: id}})
		}
	}
	return out
}

// suspects returns the workers that should be quarantined, those with most failures first.
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
		if n := q.count(r); n > 0 && n >= needed {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b table.WorkerID) int {
		return cmp.Or(cmp.Compare(q.count(q.workers[b]), q.count(q.workers[a])), cmp.Compare(a, b))
	})
	return ids
}

// count returns how many failures speak against the worker rather than the job.
func (q *Quarantine) count(r *record) int {
	n := 0
	for job := range r.failed {
		if !q.BadJob(job) {
			n++
		}
	}
	return n
}

func (q *Quarantine) of(w table.WorkerID) *record {
	r := q.workers[w]
	if r == nil {
		r = &record{}
		q.workers[w] = r
	}
	return r
}

// forget drops workers that are no longer known and jobs that are final.
func (q *Quarantine) forget(t *table.Tables) {
	for id := range q.workers {
		if t.Workers[id] == nil {
			delete(q.workers, id)
		}
	}
	for id := range q.jobs {
		if t.Jobs[id] == nil {
			delete(q.jobs, id)
		}
	}
}
