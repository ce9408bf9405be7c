package entry

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"persimmonpick/journal"
	"persimmonpick/peer"
	"persimmonpick/provider"
	"persimmonpick/settings"
	"persimmonpick/table"
)

// maxVisits bounds the workers that are spoken to at once.
const maxVisits = 128

// agents carries out on the workers what the tables say: starts, renewals, stops; and reports back what became of them.
//
// Each worker is watched by one working seat, chosen by rendezvous hashing. Two hosts that disagree for a moment about who works do no harm, as every command carries a fencing token.
type agents struct {
	cfg         settings.Settings
	incarnation table.Incarnation
	group       *peer.Group
	workers     provider.Workers
	submit      func(what string, rs []journal.Record, done func(journal.Result, error))
	later       func(func()) // runs a function on the control goroutine at its next tick
	visits      chan<- visit
	log         *slog.Logger

	ctx     context.Context // ends when the process stops
	stopped bool            // the host gives its seat back
	wg      sync.WaitGroup
	slots   chan struct{}

	held           map[table.WorkerID]map[table.TaskID]bool
	workerOf       map[table.TaskID]table.WorkerID
	tried          map[leaseKey]bool // non-idempotent starts that this process sent
	watched        map[table.WorkerID]*watch
	listed         []table.WorkerID
	relisted       time.Time
	reported       func(*table.Tables, provider.Report, time.Time) // hands usage to the policy
	mu             sync.Mutex
	unreachableIDs []table.WorkerID // workers that this host watches and cannot reach
}

// leaseKey names one lease; tasks that are granted in one batch share their token.
type leaseKey struct {
	task  table.TaskID
	token table.Token
}

// watch is what this host knows of a worker that it watches.
type watch struct {
	visiting bool
	due      time.Time
	failing  time.Time // since when it is not reached; zero while it is
	passed   map[leaseKey]time.Time
	sent     map[leaseKey]bool // records proposed and not yet folded
}

func (a *agents) reload(t *table.Tables) {
	a.held = map[table.WorkerID]map[table.TaskID]bool{}
	a.workerOf = map[table.TaskID]table.WorkerID{}
	for id, task := range t.Unfinished() {
		if task.State.Held() {
			a.hold(task.Lease.Worker, id)
		}
	}
	for _, w := range a.watched {
		w.due = time.Time{}
	}
	a.relisted = time.Time{}
}

func (a *agents) hold(w table.WorkerID, task table.TaskID) {
	if a.held[w] == nil {
		a.held[w] = map[table.TaskID]bool{}
	}
	a.held[w][task] = true
	a.workerOf[task] = w
}

// folded keeps the index of held tasks and makes changed workers due at once.
func (a *agents) folded(t *table.Tables, r journal.Record) {
	switch {
	case r.LeaseGranted != nil:
		a.hold(r.LeaseGranted.Worker, r.LeaseGranted.Task)
		a.markDue(r.LeaseGranted.Worker)
	case r.LeaseStarted != nil:
		a.markTaskDue(t, r.LeaseStarted.Task)
	case r.LeaseRevoked != nil:
		a.markTaskDue(t, r.LeaseRevoked.Task)
	case r.LeaseEnded != nil:
		a.release(r.LeaseEnded.Task, r.LeaseEnded.Token)
	case r.JobCancelled != nil:
		if j := t.Jobs[r.JobCancelled.Job]; j != nil {
			for _, id := range j.Tasks {
				a.markTaskDue(t, id)
			}
		}
	}
}

// workerFor returns the worker of the lease that a record is about, or "".
func (a *agents) workerFor(r journal.Record) table.WorkerID {
	switch {
	case r.LeaseGranted != nil:
		return r.LeaseGranted.Worker
	case r.LeaseStarted != nil:
		return a.workerOf[r.LeaseStarted.Task]
	case r.LeaseEnded != nil:
		return a.workerOf[r.LeaseEnded.Task]
	}
	return ""
}

func (a *agents) release(id table.TaskID, token table.Token) {
	worker, ok := a.workerOf[id]
	if !ok {
		return
	}
	delete(a.workerOf, id)
	delete(a.tried, leaseKey{id, token})
	delete(a.held[worker], id)
	if w := a.watched[worker]; w != nil {
		delete(w.passed, leaseKey{id, token})
	}
}

// markTaskDue makes the worker of a held task due, so that the next step follows at once.
func (a *agents) markTaskDue(t *table.Tables, id table.TaskID) {
	task := t.Tasks[id]
	if task != nil && task.State.Held() {
		a.markDue(task.Lease.Worker)
	}
}

func (a *agents) markDue(id table.WorkerID) {
	if w := a.watched[id]; w != nil {
		w.due = time.Time{}
	}
}

// run visits the workers that are due and ends the leases of lost ones.
func (a *agents) run(t *table.Tables, now time.Time) {
	if a.stopped {
		return
	}
	if now.Sub(a.relisted) >= a.cfg.Timing.ReportPeriod.D() {
		a.relist(t)
		a.relisted = now
	}
	for _, id := range a.listed {
		w := a.watched[id]
		if !w.failing.IsZero() {
			a.propose(id, w, a.lost(t, id, w, now))
		}
		if w.visiting || now.Before(w.due) {
			continue
		}
		if !a.visit(t, id, w, now) {
			break
		}
	}
}

// propose submits records about the leases of one worker, one at a time for each lease.
func (a *agents) propose(id table.WorkerID, w *watch, rs []journal.Record) {
	fresh := rs[:0]
	for _, r := range rs {
		if k := keyOf(r); !w.sent[k] {
			w.sent[k] = true
			fresh = append(fresh, r)
		}
	}
	a.submit("leases", fresh, func(journal.Result, error) {
		a.later(func() { a.settled(id, fresh) })
	})
}

// settled lets the leases of records that were folded, or not appended, be proposed for again.
func (a *agents) settled(id table.WorkerID, rs []journal.Record) {
	w := a.watched[id]
	if w == nil {
		return
	}
	for _, r := range rs {
		delete(w.sent, keyOf(r))
	}
}

// relist chooses the workers that this host watches.
func (a *agents) relist(t *table.Tables) {
	working := a.group.Working()
	a.listed = a.listed[:0]
	next := make(map[table.WorkerID]*watch, len(a.watched))
	for id, w := range a.watched {
		if w.visiting {
			next[id] = w // one visit at a time, also when the worker comes back to this host
		}
	}
	for _, id := range table.SortedWorkers(t) {
		if table.Owner(working, string(id)) != a.cfg.Seat {
			continue
		}
		w := a.watched[id]
		if w == nil {
			w = &watch{passed: map[leaseKey]time.Time{}, sent: map[leaseKey]bool{}}
		}
		next[id] = w
		a.listed = append(a.listed, id)
	}
	a.watched = next
	a.noteUnreachable()
}

func (a *agents) noteUnreachable() {
	var ids []table.WorkerID
	for _, id := range a.listed {
		if !a.watched[id].failing.IsZero() {
			ids = append(ids, id)
		}
	}
	a.mu.Lock()
	a.unreachableIDs = ids
	a.mu.Unlock()
}

// unreachable returns the workers that this host watches and cannot reach.
func (a *agents) unreachable() []table.WorkerID {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.unreachableIDs
}

func record(rev *journal.LeaseRevoked) journal.Record {
	return journal.Record{LeaseRevoked: rev}
}

// lost revokes the leases of a worker that stays unreachable, and ends them once no host renews them and their term is over.
func (a *agents) lost(t *table.Tables, id table.WorkerID, w *watch, now time.Time) []journal.Record {
	if now.Sub(w.failing) < a.cfg.Timing.LeaseTerm.D() {
		return nil
	}
	var rs []journal.Record
	for taskID := range a.held[id] {
		task := t.Tasks[taskID]
		l := task.Lease
		if task.State != table.TaskRevoking {
			rs = append(rs, record(&journal.LeaseRevoked{Task: taskID, Token: l.Token, Reason: "worker unreachable"}))
			continue
		}
		if a.over(taskID, l, w, now) {
			rs = append(rs, journal.Record{LeaseEnded: &journal.LeaseEnded{
				Task: taskID, Token: l.Token, Outcome: journal.LeaseExpired, Reason: "worker unreachable",
			}})
		}
	}
	return rs
}

// over says whether a revoked lease has certainly ended on its worker.
//
// No host renews the lease any more once its revocation has passed. Its last renewal may have been sent just before, with an end of LeaseTerm later on a clock that is off by at most ClockBound, as may be the worker's.
func (a *agents) over(id table.TaskID, l table.Lease, w *watch, now time.Time) bool {
	k := leaseKey{id, l.Token}
	at, ok := w.passed[k]
	if !ok {
		if a.group.Fence.Passed(l.Revoked, now) {
			w.passed[k] = now
		}
		return false
	}
	return now.Sub(at) > a.cfg.Timing.LeaseTerm.D()+2*a.cfg.Timing.ClockBound.D()
}
