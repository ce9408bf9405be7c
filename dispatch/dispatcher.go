package dispatch

import (
	"context"
	"log/slog"
	"time"

	"persimmonpick/ledger"
	"persimmonpick/table"
	"persimmonpick/workload"
)

// The timing of the dispatcher's loop.
const (
	roundEvery  = 15 * time.Millisecond  // shortest time between rounds
	decideEvery = 200 * time.Millisecond // a round decides at least this often, for what depends on time alone
	decideRest  = 4                      // a decision may take a quarter of the time, so that answers of workers are not kept waiting
	tickEvery   = 100 * time.Millisecond
	extendFor   = orphanLease // without a confirmed append for this long, leases are not extended any more
	maxEvents   = 4096
)

// WorkerListUpdate is the newest list of workers; Whole says that workers without an entry are gone.
type WorkerListUpdate struct {
	Whole   bool
	Workers []WorkerInfo
	Gone    []table.WorkerID
}

// DispatcherConfig configures a Dispatcher.
type DispatcherConfig struct {
	Board   Config
	Writer  *ledger.Writer
	Fold    *ledger.View
	Workers Workers
	Queues  func() []workload.Queue                       // of the newest configuration
	Follow  func(ctx context.Context, apply func(WorkerListUpdate)) // the list of workers, until ctx ends
	Count   func(Counts)                                  // called now and then
	Observe func(call string, took time.Duration)         // called for each answer of a worker, from any goroutine
	Log     *slog.Logger
}

// Dispatcher owns a board while this host leads.
type Dispatcher struct {
	cfg      DispatcherConfig
	ctx      context.Context
	board    *Scheduler
	events   chan func(now time.Time)
	writing  bool
	changed  bool
	round    time.Time
	decided  time.Time
	deciding time.Duration // how long the last decision took
	ticked   time.Time

	told    time.Time // when the rounds were last logged
	rounds  int
	busy    time.Duration
	longest time.Duration
}

// NewDispatcher returns a dispatcher whose Run must be called.
func NewDispatcher(cfg DispatcherConfig) *Dispatcher {
	cfg.Board.Log = cfg.Log
	cfg.Board.Epoch = cfg.Writer.Epoch()
	return &Dispatcher{cfg: cfg, board: NewScheduler(cfg.Board), events: make(chan func(time.Time), maxEvents)}
}

// Run dispatches until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) {
	d.ctx = ctx
	now := time.Now()
	d.board.SetQueues(d.cfg.Queues())
	d.board.RestoreHandover(d.cfg.Fold.HandoverRecords(), now)
	for _, e := range d.cfg.Fold.Watch(func(e ledger.Entry) {
		d.post(func(now time.Time) { d.board.SetEntry(e, now) })
	}) {
		d.board.SetEntry(e, now)
	}
	defer d.cfg.Fold.Watch(nil)
	d.cfg.Log.Info("board taken over", "Epoch", d.cfg.Writer.Epoch(), "Jobs", len(d.board.jobs), "FinalJobs", len(d.board.final), "WorkersNamed", len(d.board.workers))
	go d.cfg.Follow(ctx, func(r WorkerListUpdate) { d.post(func(now time.Time) { d.roster(r, now) }) })
	tick := time.NewTicker(roundEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-d.events:
			f(time.Now())
			d.changed = true
			d.drain()
		case <-tick.C:
		}
		if now := time.Now(); now.Sub(d.round) >= roundEvery {
			d.round = now
			d.act(now)
			d.timed(time.Since(now))
		}
		if d.board.Superseded() {
			return
		}
	}
}

// do has f called by the loop, unless ctx ends before.
func (d *Dispatcher) do(ctx context.Context, f func()) {
	select {
	case d.events <- func(time.Time) { f() }:
	case <-ctx.Done():
	}
}

// post hands an event to the loop; after the end of the run it is dropped.
func (d *Dispatcher) post(f func(now time.Time)) {
	select {
	case d.events <- f:
	case <-d.ctx.Done():
	}
}

func (d *Dispatcher) drain() {
	for {
		select {
		case f := <-d.events:
			f(time.Now())
		default:
			return
		}
	}
}

func (d *Dispatcher) roster(r WorkerListUpdate, now time.Time) {
	if r.Whole {
		listed := make(map[table.WorkerID]bool, len(r.Workers))
		for _, w := range r.Workers {
			listed[w.ID] = true
		}
		for id := range d.board.workers {
			if !listed[id] {
				d.board.RemoveWorker(id, now)
			}
		}
	}
	for _, w := range r.Workers {
		d.board.SetWorker(w, now)
	}
	for _, id := range r.Gone {
		d.board.RemoveWorker(id, now)
	}
}

// timed logs how long rounds take, since everything that the leader does waits for them.
func (d *Dispatcher) timed(took time.Duration) {
	d.rounds++
	d.busy += took
	d.longest = max(d.longest, took)
	if d.round.Sub(d.told) < surveyEvery {
		return
	}
	d.cfg.Log.Info("rounds", "Rounds", d.rounds, "Busy", d.busy.Round(time.Millisecond), "Longest", d.longest.Round(100*time.Microsecond), "Events", len(d.events))
	d.told, d.rounds, d.busy, d.longest = d.round, 0, 0, 0
}

func (d *Dispatcher) act(now time.Time) {
	if now.Sub(d.ticked) >= tickEvery {
		d.ticked = now
		d.board.SetQueues(d.cfg.Queues())
		d.board.Tick(now)
		d.cfg.Count(d.board.Counts())
	}
	extend := now.Sub(d.cfg.Writer.Confirmed()) < extendFor
	for _, o := range d.board.PollOrders(now, extend) {
		go d.look(o, now)
	}
	if since := now.Sub(d.decided); since >= decideEvery || d.changed && since >= decideRest*d.deciding {
		d.changed, d.decided = false, now
		d.board.Decide(now)
		d.deciding = time.Since(now)
	}
	for _, o := range d.board.AdviceOrders(now) {
		go d.advise(o)
	}
	for _, o := range d.board.StopOrders(now) {
		go d.stop(o)
	}
	for _, o := range d.board.ThrottleOrders(now) {
		go d.pace(o)
	}
	d.flush(now)
}

// flush writes the changes of the board; one write is in flight at a time.
func (d *Dispatcher) flush(now time.Time) {
	if d.writing {
		return
	}
	f := d.board.Flush(now)
	if f == nil {
		return
	}
	if len(f.records) == 0 {
		d.flushed(f, now)
		return
	}
	d.writing = true
	d.cfg.Writer.Append(f.records, func() {
		d.post(func(now time.Time) {
			d.writing = false
			d.flushed(f, now)
		})
	})
}

func (d *Dispatcher) flushed(f *Batch, now time.Time) {
	extend := now.Sub(d.cfg.Writer.Confirmed()) < extendFor
	for _, o := range d.board.Flushed(f, now, extend) {
		go d.start(o)
	}
}

func (d *Dispatcher) start(o StartOrder) {
	ctx, cancel := context.WithTimeout(d.ctx, orderTimeout)
	defer cancel()
	sent := time.Now()
	res := d.cfg.Workers.Start(ctx, o)
	d.cfg.Observe("Start", time.Since(sent))
	d.post(func(now time.Time) { d.board.StartDone(o, res, now) })
}

func (d *Dispatcher) stop(o StopOrder) {
	ctx, cancel := context.WithTimeout(d.ctx, orderTimeout)
	defer cancel()
	err := d.cfg.Workers.Stop(ctx, o)
	d.post(func(now time.Time) { d.board.StopDone(o, err, now) })
}

func (d *Dispatcher) pace(o ThrottleOrder) {
	ctx, cancel := context.WithTimeout(d.ctx, orderTimeout)
	defer cancel()
	err := d.cfg.Workers.Pace(ctx, o)
	d.post(func(now time.Time) { d.board.ThrottleDone(o, err, now) })
}

func (d *Dispatcher) advise(o AdviceOrder) {
	ctx, cancel := context.WithTimeout(d.ctx, adviceInFlight*o.Takes+orderTimeout)
	defer cancel()
	sent := time.Now()
	a, err := d.cfg.Workers.Advise(ctx, o)
	d.cfg.Observe("Advise", time.Since(sent))
	d.post(func(now time.Time) { d.board.AdviceDone(o, sent, a, err, now) })
}

func (d *Dispatcher) look(o PollOrder, sent time.Time) {
	ctx, cancel := context.WithTimeout(d.ctx, o.Wait+lookGrace)
	defer cancel()
	l, err := d.cfg.Workers.Look(ctx, o)
	if err == nil {
		d.cfg.Observe("Look", time.Since(sent)-o.Wait)
	}
	d.post(func(now time.Time) { d.board.PollDone(o, sent, l, err, now) })
}
