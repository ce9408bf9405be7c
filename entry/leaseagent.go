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

// maxPolls is the maximum number of workers polled concurrently.
const maxPolls = 128

// leaseAgent polls workers and reconciles the tasks that they run with the leases in the tables: it starts and stops
// tasks, renews leases, and proposes records of the results.
//
// Each worker is watched by one of the working seats, chosen by rendezvous hashing. While two hosts disagree about
// which seats are working, both may watch a worker. This is safe, because every command carries a fencing token.
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
	stopped bool            // the host is releasing its seat
	wg      sync.WaitGroup
	slots   chan struct{} // one element per running poll

	leased         map[table.WorkerID]map[table.TaskID]bool // tasks that hold a lease, by worker
	workerOf       map[table.TaskID]table.WorkerID          // workers of the tasks in leased
	sentStarts     map[leaseKey]bool                        // starts of non-idempotent tasks that this process sent
	watched        map[table.WorkerID]*watchedWorker        // assigned workers, and others until their poll ends
	assigned       []table.WorkerID                         // workers that this host watches
	assignedAt     time.Time
	onReport       func(*table.Tables, provider.Report, time.Time) // receives the report of each successful poll
	mu             sync.Mutex
	unreachableIDs []table.WorkerID // workers that this host watches and cannot reach
}

// leaseKey identifies a lease. The token is not sufficient, as tasks granted in one batch share it.
type leaseKey struct {
	task  table.TaskID
	token table.Token
}

// watchedWorker is the state of a worker that this host watches.
type watchedWorker struct {
	polling      bool
	nextPoll     time.Time // earliest start of the next poll
	failingSince time.Time // time of the first failed poll since the last successful one, or zero
	// passedAt is when this host first saw that no other host still acts on tables without the revocation of a lease
	// (peer.Fence.Passed).
	passedAt map[leaseKey]time.Time
	proposed map[leaseKey]bool // leases with a record that is proposed and not yet applied
}

// reload rebuilds the index of leased tasks after the tables were replaced, and makes all workers due for a poll.
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

// recordApplied updates the index of leased tasks and makes the workers of changed leases due for a poll.
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

// workerFor returns the worker of the lease that r refers to, or "".
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

// markTaskDue makes the worker of a leased task due, so that it is polled at the next tick.
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

// run polls the workers that are due and reclaims the leases of unreachable ones.
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

// propose submits records for leases of a worker. It drops records for leases that already have a proposed record.
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

// clearProposed allows new records for the leases of rs, which were applied or could not be appended.
func (a *leaseAgent) clearProposed(id table.WorkerID, rs []journal.Record) {
	w := a.watched[id]
	if w == nil {
		return
	}
	for _, r := range rs {
		delete(w.proposed, leaseKeyOf(r))
	}
}

// assignWorkers selects the workers that this host watches.
func (a *leaseAgent) assignWorkers(t *table.Tables) {
	working := a.group.Working()
	a.assigned = a.assigned[:0]
	next := make(map[table.WorkerID]*watchedWorker, len(a.watched))
	for id, w := range a.watched {
		if w.polling {
			next[id] = w // ensures one poll at a time, also if the worker is assigned to this host again
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

// reclaimLeases returns records that revoke the leases of a worker that has been unreachable for a lease term, and that
// end revoked leases once they have certainly expired.
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
		if a.leaseExpired(taskID, l, w, now) {
			rs = append(rs, journal.Record{LeaseEnded: &journal.LeaseEnded{
				Task: taskID, Token: l.Token, Outcome: journal.LeaseExpired, Reason: "worker unreachable",
			}})
		}
	}
	return rs
}

// leaseExpired reports whether a revoked lease has certainly expired on its worker.
//
// Once the revocation has passed (peer.Fence.Passed), no host renews the lease. The last renewal may have been sent
// just before, with an expiry of LeaseTerm later. The clocks of the sender and of the worker may each be off by
// ClockBound.
func (a *leaseAgent) leaseExpired(id table.TaskID, l table.Lease, w *watchedWorker, now time.Time) bool {
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
