package entry

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"persimmonpick/fault"
	"persimmonpick/journal"
	"persimmonpick/peer"
	"persimmonpick/provider"
	"persimmonpick/settings"
	"persimmonpick/table"
)

// fakeWorkers records the commands sent to workers.
type fakeWorkers struct {
	report    provider.Report
	started   []provider.StartRequest
	renewed   []provider.Renewal
	stopped   []table.TaskID
	startErr  error
	stopState provider.RunState
}

func (f *fakeWorkers) functions() provider.Workers {
	return provider.Workers{
		Report: func(context.Context, table.WorkerID) (provider.Report, error) { return f.report, nil },
		Start: func(_ context.Context, _ table.WorkerID, req provider.StartRequest) error {
			f.started = append(f.started, req)
			return f.startErr
		},
		Renew: func(_ context.Context, _ table.WorkerID, rs []provider.Renewal) error {
			f.renewed = append(f.renewed, rs...)
			return nil
		},
		Stop: func(_ context.Context, _ table.WorkerID, id table.TaskID, token table.Token) (provider.TaskStatus, error) {
			f.stopped = append(f.stopped, id)
			return provider.TaskStatus{Task: id, Token: token, State: f.stopState}, nil
		},
		Checkpoint: func(context.Context, table.WorkerID, table.TaskID, table.Token) error { return nil },
		Forget:     func(context.Context, table.WorkerID, []provider.Renewal) error { return nil },
	}
}

// newTestAgent returns the agent of seat a of the seats a, b and c.
func newTestAgent(f *fakeWorkers) *leaseAgent {
	cfg := settings.Default()
	cfg.Seat = "a"
	group := peer.NewGroup(peer.Config{Seat: "a", Seats: []peer.Seat{{ID: "a"}, {ID: "b"}, {ID: "c"}}, LogGrace: cfg.Timing.LogGrace.D()})
	return &leaseAgent{
		cfg: cfg, incarnation: "a-1", group: group, workers: f.functions(), log: slog.New(slog.DiscardHandler),
		ctx: context.Background(), sentStarts: map[leaseKey]bool{},
	}
}

// newTestInput returns the input of a poll of a worker with the lease l.
func newTestInput(l leaseInput) pollInput {
	l.token = 7
	l.start = provider.StartRequest{Task: "j/0", Token: 7}
	return pollInput{worker: "w", applied: 100, leases: map[table.TaskID]leaseInput{"j/0": l}}
}

// Guards against running a non-idempotent task twice. Its start must be announced in the log before it is sent, and
// sent only once, by the process that announced it.
func TestNonIdempotentStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &fakeWorkers{stopState: provider.RunUnaccepted}
		a := newTestAgent(f)
		a.group.Fence.Advance(100, time.Now(), time.Now())

		res := a.poll(newTestInput(leaseInput{nonIdempotent: true}))
		is.Equal(len(f.started), 0) // not announced yet
		is.Equal(res.records[0].LeaseStarted, &journal.LeaseStarted{Task: "j/0", Token: 7, Starter: "a-1"})

		res = a.poll(newTestInput(leaseInput{nonIdempotent: true, started: true, announcedHere: true, firstTry: true}))
		is.Equal(len(f.started), 1)
		is.Equal(res.sentStarts, []leaseKey{{"j/0", 7}})

		for _, l := range []leaseInput{{announcedHere: true}, {announcedHere: false}} {
			l.nonIdempotent, l.started = true, true
			res = a.poll(newTestInput(l))
			is.Equal(len(f.started), 1)                 // sent neither again nor by another process
			is.True(res.records[0].LeaseRevoked != nil) // the lease is not treated as never started
		}

		f.startErr = fault.New(fault.Capacity, "full")
		res = a.poll(newTestInput(leaseInput{nonIdempotent: true, started: true, announcedHere: true, firstTry: true}))
		is.Equal(res.records[0].LeaseEnded.Outcome, journal.LeaseNotStarted) // the only start was refused
		is.Equal(res.records[0].LeaseEnded.Starter, table.Incarnation("a-1"))
	})
}

// Guards against a host that starts a task or renews its lease after the task has moved, because the host was frozen or
// partitioned.
func TestNothingIsRenewedWhileNotCurrent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &fakeWorkers{report: provider.Report{Statuses: []provider.TaskStatus{{Task: "j/0", Token: 7, State: provider.RunRunning}}}}
		a := newTestAgent(f)
		a.group.Fence.Advance(100, time.Now(), time.Now())
		a.poll(newTestInput(leaseInput{started: true}))
		is.Equal(len(f.renewed), 1)
		is.Equal(f.renewed[0].Until, time.Now().Add(a.cfg.Timing.LeaseTerm.D()))

		time.Sleep(a.cfg.Timing.LogGrace.D() + 1)
		a.poll(newTestInput(leaseInput{started: true}))
		is.Equal(len(f.renewed), 1)
		f.report = provider.Report{}
		a.poll(newTestInput(leaseInput{}))
		is.Equal(len(f.started), 0)
	})
}

// Guards against ending a lease before its last renewal has expired by the clock of its worker.
func TestLeaseIsOverAfterTermAndClockBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := newTestAgent(&fakeWorkers{})
		w := &watchedWorker{passedAt: map[leaseKey]time.Time{}}
		l := table.Lease{Worker: "w", Token: 7, Revoked: 20}
		a.group.Fence.Advance(19, time.Now(), time.Now())
		is.True(!a.leaseExpired("j/0", l, w, time.Now()))
		is.Equal(len(w.passedAt), 0) // the revocation is not applied here
		a.group.Fence.Advance(20, time.Now(), time.Now())
		is.True(!a.leaseExpired("j/0", l, w, time.Now()))
		time.Sleep(a.cfg.Timing.LeaseTerm.D() + 2*a.cfg.Timing.ClockBound.D())
		is.True(!a.leaseExpired("j/0", l, w, time.Now()))
		time.Sleep(1)
		is.True(a.leaseExpired("j/0", l, w, time.Now()))
		is.True(!a.leaseExpired("k/0", l, w, time.Now())) // a task with the same token is a separate lease
	})
}

// Guards against removing most workers because the host list is stale, empty or suddenly short, and against retaining
// the workers of a failed zone for ever.
func TestHostListThatShrinks(t *testing.T) {
	is := is.New(t)
	var rs []journal.Record
	unreachable := map[table.WorkerID]bool{}
	cfg := settings.Default()
	h := &hostList{
		cfg: cfg, log: slog.New(slog.DiscardHandler), unreachable: func() map[table.WorkerID]bool { return unreachable },
		submit:     func(_ string, list []journal.Record, _ func(journal.Result, error)) { rs = list },
		onNextTick: func(func()) {},
	}
	tables := table.New()
	var all []provider.WorkerInfo
	for _, id := range []table.WorkerID{"w1", "w2", "w3", "w4", "w5", "w6"} {
		tables.Workers[id] = &table.Worker{ID: id}
		all = append(all, provider.WorkerInfo{ID: id})
	}
	now := time.Now()
	recordsFor := func(age time.Duration, list []provider.WorkerInfo) int {
		rs, h.proposing = nil, false
		h.newest = provider.HostList{AsOf: now.Add(age), Workers: list}
		h.run(tables, now)
		return len(rs)
	}
	is.Equal(recordsFor(1, all), 0)
	is.Equal(recordsFor(2, all[1:]), 1) // one of six is gone
	is.Equal(recordsFor(3, nil), 0)     // an empty list is ignored
	is.Equal(recordsFor(4, all[:3]), 0) // so is one with half of the workers
	unreachable["w5"] = true
	is.Equal(recordsFor(5, all[:3]), 0) // a worker may be unreachable for a moment
	now = now.Add(cfg.Timing.LeaseTerm.D() - 1)
	is.Equal(recordsFor(6, all[:3]), 0)
	unreachable["w5"] = false
	is.Equal(recordsFor(7, all[:3]), 0)
	unreachable["w5"] = true
	now = now.Add(1)
	is.Equal(recordsFor(8, all[:3]), 0) // it was reached again in between
	now = now.Add(cfg.Timing.LeaseTerm.D())
	is.Equal(recordsFor(9, all[:3]), 1) // not reached for a lease term
	is.Equal(rs[0].WorkerGone.ID, table.WorkerID("w5"))
	is.Equal(recordsFor(4, all[1:]), 0) // an older list changes nothing
}
