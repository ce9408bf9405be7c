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

// maxPolls bounds the workers that are spoken to at once.
const maxPolls = 128

// leaseAgent carries out on the workers what the tables say: starts, renewals, stops; and reports back what became of them.
//
// Each worker is watched by one working seat, chosen by rendezvous hashing. Two hosts that disagree for a moment about who works do no harm, as every command carries a fencing token.
type leaseAgent struct {
	cfg         settings.Settings
	incarnation table.Incarnation
	group       *peer.Group
	workers     provider.Workers
	submit      func(what string, rs []journal.Record, done func(journal.Result, error))
	onNextTick  func(func()) // runs a function on the control goroutine at its next tick
	polls       chan<- pollResult
	log         *slog.Logger

	ctx     context.Context // ends when the process stops
	stopped bool            // the host gives its seat back
	wg      sync.WaitGroup
	slots   chan struct{}

	leased         map[table.WorkerID]map[table.TaskID]bool
	workerOf       map[table.TaskID]table.WorkerID
	sentStarts     map[leaseKey]bool // non-idempotent starts that this process sent
	watched        map[table.WorkerID]*watchedWorker
	assigned       []table.WorkerID
	assignedAt     time.Time
	onReport       func(*table.Tables, provider.Report, time.Time) // hands usage to the policy
	mu             sync.Mutex
	unreachableIDs []table.WorkerID // workers that this host watches and cannot reach
}

// leaseKey names one lease; tasks that are granted in one batch share their token.
type leaseKey struct {
	task  table.TaskID
	token table.Token
}

// watchedWorker is what this host knows of a worker that it watches.
type watchedWorker struct {
	polling      bool
	nextPoll     time.Time
	failingSince time.Time // since when it is not reached; zero while it is
	passedAt     map[leaseKey]time.Time
	proposed     map[leaseKey]bool // records proposed and not yet folded
}

func (a *leaseAgent) reload(t *table.Tables) {
	a.leased = map[table.WorkerID]map[table.TaskID]bool{}
	a.workerOf = map[table.TaskID]table.WorkerID{}
	for id, task := range t.Unfinished() {
		if task.State.Held() {
			a.addLease(task.Lease.Worker, id)
		}
	}
	for _, w := range a.watched {
		w.nextPoll = time.Time{}
	}
	a.assignedAt = time.Time{}
}

func (a *leaseAgent) addLease(w table.WorkerID, task table.TaskID) {
	if a.leased[w] == nil {
		a.leased[w] = map[table.TaskID]bool{}
	}
	a.leased[w][task] = true
	a.workerOf[task] = w
}

// recordApplied keeps the index of held tasks and makes changed workers due at once.
func (a *leaseAgent) recordApplied(t *table.Tables, r journal.Record) {
	switch {
	case r.LeaseGranted != nil:
		a.addLease(r.LeaseGranted.Worker, r.LeaseGranted.Task)
		a.markDue(r.LeaseGranted.Worker)
	case r.LeaseStarted != nil:
		a.markTaskDue(t, r.LeaseStarted.Task)
	case r.LeaseRevoked != nil:
		a.markTaskDue(t, r.LeaseRevoked.Task)
	case r.LeaseEnded != nil:
		a.removeLease(r.LeaseEnded.Task, r.LeaseEnded.Token)
	case r.JobCancelled != nil:
		if j := t.Jobs[r.JobCancelled.Job]; j != nil {
			for _, id := range j.Tasks {
				a.markTaskDue(t, id)
			}
		}
	}
}

// workerFor returns the worker of the lease that a record is about, or "".
func (a *leaseAgent) workerFor(r journal.Record) table.WorkerID {
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

func (a *leaseAgent) removeLease(id table.TaskID, token table.Token) {
	worker, ok := a.workerOf[id]
	if !ok {
		return
	}
	delete(a.workerOf, id)
	delete(a.sentStarts, leaseKey{id, token})
	delete(a.leased[worker], id)
	if w := a.watched[worker]; w != nil {
		delete(w.passedAt, leaseKey{id, token})
	}
}

// markTaskDue makes the worker of a held task due, so that the next step follows at once.
func (a *leaseAgent) markTaskDue(t *table.Tables, id table.TaskID) {
	task := t.Tasks[id]
	if task != nil && task.State.Held() {
		a.markDue(task.Lease.Worker)
	}
}

func (a *leaseAgent) markDue(id table.WorkerID) {
	if w := a.watched[id]; w != nil {
		w.nextPoll = time.Time{}
	}
}

// run visits the workers that are due and ends the leases of lost ones.
func (a *leaseAgent) run(t *table.Tables, now time.Time) {
	if a.stopped {
		return
	}
	if now.Sub(a.assignedAt) >= a.cfg.Timing.ReportPeriod.D() {
		a.assignWorkers(t)
		a.assignedAt = now
	}
	for _, id := range a.assigned {
		w := a.watched[id]
		if !w.failingSince.IsZero() {
			a.propose(id, w, a.reclaimLeases(t, id, w, now))
		}
		if w.polling || now.Before(w.nextPoll) {
			continue
		}
		if !a.startPoll(t, id, w, now) {
			break
		}
	}
}

// propose submits records about the leases of one worker, one at a time for each lease.
func (a *leaseAgent) propose(id table.WorkerID, w *watchedWorker, rs []journal.Record) {
	fresh := rs[:0]
	for _, r := range rs {
		if k := leaseKeyOf(r); !w.proposed[k] {
			w.proposed[k] = true
			fresh = append(fresh, r)
		}
	}
	a.submit("leases", fresh, func(journal.Result, error) {
		a.onNextTick(func() { a.clearProposed(id, fresh) })
	})
}

// clearProposed lets the leases of records that were folded, or not appended, be proposed for again.
func (a *leaseAgent) clearProposed(id table.WorkerID, rs []journal.Record) {
	w := a.watched[id]
	if w == nil {
		return
	}
	for _, r := range rs {
		delete(w.proposed, leaseKeyOf(r))
	}
}

// assignWorkers chooses the workers that this host watches.
func (a *leaseAgent) assignWorkers(t *table.Tables) {
	working := a.group.Working()
	a.assigned = a.assigned[:0]
	next := make(map[table.WorkerID]*watchedWorker, len(a.watched))
	for id, w := range a.watched {
		if w.polling {
			next[id] = w // one visit at a time, also when the worker comes back to this host
		}
	}
	for _, id := range table.SortedWorkers(t) {
		if table.Owner(working, string(id)) != a.cfg.Seat {
			continue
		}
		w := a.watched[id]
		if w == nil {
			w = &watchedWorker{passedAt: map[leaseKey]time.Time{}, proposed: map[leaseKey]bool{}}
		}
		next[id] = w
		a.assigned = append(a.assigned, id)
	}
	a.watched = next
	a.updateUnreachable()
}

func (a *leaseAgent) updateUnreachable() {
	var ids []table.WorkerID
	for _, id := range a.assigned {
		if !a.watched[id].failingSince.IsZero() {
			ids = append(ids, id)
		}
	}
	a.mu.Lock()
	a.unreachableIDs = ids
	a.mu.Unlock()
}

// unreachable returns the workers that this host watches and cannot reach.
func (a *leaseAgent) unreachable() []table.WorkerID {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.unreachableIDs
}

func revocation(rev *journal.LeaseRevoked) journal.Record {
	return journal.Record{LeaseRevoked: rev}
}

// reclaimLeases revokes the leases of a worker that stays unreachable, and ends them once no host renews them and their term is over.
func (a *leaseAgent) reclaimLeases(t *table.Tables, id table.WorkerID, w *watchedWorker, now time.Time) []journal.Record {
	if now.Sub(w.failingSince) < a.cfg.Timing.LeaseTerm.D() {
		return nil
	}
	var rs []journal.Record
	for taskID := range a.leased[id] {
		task := t.Tasks[taskID]
		l := task.Lease
		if task.State != table.TaskRevoking {
			rs = append(rs, revocation(&journal.LeaseRevoked{Task: taskID, Token: l.Token, Reason: "worker unreachable"}))
			continue
		}
		if a.leaseEnded(taskID, l, w, now) {
			rs = append(rs, journal.Record{LeaseEnded: &journal.LeaseEnded{
				Task: taskID, Token: l.Token, Outcome: journal.LeaseExpired, Reason: "worker unreachable",
			}})
		}
	}
	return rs
}

// leaseEnded says whether a revoked lease has certainly ended on its worker.
//
// No host renews the lease any more once its revocation has passed. Its last renewal may have been sent just before, with an end of LeaseTerm later on a clock that is off by at most ClockBound, as may be the worker's.
func (a *leaseAgent) leaseEnded(id table.TaskID, l table.Lease, w *watchedWorker, now time.Time) bool {
	k := leaseKey{id, l.Token}
	at, ok := w.passedAt[k]
	if !ok {
		if a.group.Fence.Passed(l.Revoked, now) {
			w.passedAt[k] = now
		}
		return false
	}
	return now.Sub(at) > a.cfg.Timing.LeaseTerm.D()+2*a.cfg.Timing.ClockBound.D()
}
