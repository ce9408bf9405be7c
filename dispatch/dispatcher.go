package dispatch

import (
	"context"
	"log/slog"
	"time"

	"persimmonpick/ledger"
	"persimmonpick/table"
	"persimmonpick/workload"
)

// Timing of the dispatcher loop.
const (
	roundInterval = 15 * time.Millisecond // minimum time between rounds
	// Maximum time between decisions, for conditions that depend on time alone.
	decideInterval = 200 * time.Millisecond
	// Minimum time from the start of a decision to that of the next, as a multiple of the duration of the first, so
	// that decisions take at most a quarter of the time and worker replies are handled promptly.
	decideBackoff   = 4
	tickInterval    = 100 * time.Millisecond
	extensionWindow = supersededExtension // leases are not extended if no append was confirmed for this long
	maxEvents       = 4096
)

// WorkerListUpdate is a change of the worker list. If Complete is set, Workers is the complete list and workers that
// are not in it are gone.
type WorkerListUpdate struct {
	Complete bool
	Workers  []WorkerInfo
	Removed  []table.WorkerID
}

// DispatcherConfig configures a Dispatcher.
type DispatcherConfig struct {
	Scheduler Config
	Writer    *ledger.Writer
	View      *ledger.View
	Workers   Workers
	Queues    func() []workload.Queue // queues of the newest configuration
	// ZoneRequests returns the operator's requests to evacuate availability zones; nil if there are never any.
	ZoneRequests func() ZoneRequests
	// ReportZones is called on each tick with the number of tasks that are left in each zone that is evacuated.
	ReportZones func(map[table.ZoneID]int)
	// Calls apply with updates of the worker list until ctx ends.
	FollowWorkers func(ctx context.Context, apply func(WorkerListUpdate))
	ReportCounts  func(Counts) // called on each tick
	// Called with the latency of starts, polls and approval requests, from any goroutine.
	ObserveCall func(call string, took time.Duration)
	Log         *slog.Logger
}

// Dispatcher runs a Scheduler while this host is the leader and sends its orders to the workers.
type Dispatcher struct {
	cfg        DispatcherConfig
	ctx        context.Context
	scheduler  *Scheduler
	events     chan func(now time.Time)
	writing    bool
	changed    bool
	roundAt    time.Time
	decidedAt  time.Time
	decideTime time.Duration // duration of the last decision
	tickedAt   time.Time

	roundsLoggedAt time.Time // when the round statistics were last logged
	rounds         int
	busy           time.Duration
	longest        time.Duration
}

// NewDispatcher returns a Dispatcher; the caller must call Run.
func NewDispatcher(cfg DispatcherConfig) *Dispatcher {
	cfg.Scheduler.Log = cfg.Log
	cfg.Scheduler.Epoch = cfg.Writer.Epoch()
	cfg.Scheduler.MaxRecord = cfg.Writer.MaxRecord()
	cfg.Scheduler.HandoverReadAt = cfg.View.HandoverReadAt
	if cfg.ZoneRequests == nil {
		cfg.ZoneRequests = func() ZoneRequests { return ZoneRequests{Known: true} }
	}
	if cfg.ReportZones == nil {
		cfg.ReportZones = func(map[table.ZoneID]int) {}
	}
	return &Dispatcher{cfg: cfg, scheduler: NewScheduler(cfg.Scheduler), events: make(chan func(time.Time), maxEvents)}
}

// Run schedules until ctx ends or a newer leader supersedes this one.
func (d *Dispatcher) Run(ctx context.Context) {
	d.ctx = ctx
	now := time.Now()
	d.scheduler.SetQueues(d.cfg.Queues())
	d.scheduler.RestoreHandover(d.cfg.View.HandoverRecords(), now)
	for _, e := range d.cfg.View.Watch(func(e ledger.Entry) {
		d.post(func(now time.Time) { d.scheduler.SetEntry(e, now) })
	}) {
		d.scheduler.SetEntry(e, now)
	}
	defer d.cfg.View.Watch(nil)
	d.cfg.Log.Info("scheduler started", "Epoch", d.cfg.Writer.Epoch(), "Jobs", len(d.scheduler.jobs), "FinalJobs", len(d.scheduler.finalJobs), "WorkersNamed", len(d.scheduler.workers))
	go d.cfg.FollowWorkers(ctx, func(r WorkerListUpdate) { d.post(func(now time.Time) { d.applyWorkerList(r, now) }) })
	tick := time.NewTicker(roundInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-d.events:
			f(time.Now())
			d.changed = true
			d.drainEvents()
		case <-tick.C:
		}
		if now := time.Now(); now.Sub(d.roundAt) >= roundInterval {
			d.roundAt = now
			d.runRound(now)
			d.recordRound(time.Since(now))
		}
		if d.scheduler.Superseded() {
			return
		}
	}
}

// call runs f on the loop's goroutine, unless ctx ends first.
func (d *Dispatcher) call(ctx context.Context, f func()) {
	select {
	case d.events <- func(time.Time) { f() }:
	case <-ctx.Done():
	}
}

// post queues an event for the loop; it drops the event once Run's context has ended.
func (d *Dispatcher) post(f func(now time.Time)) {
	select {
	case d.events <- f:
	case <-d.ctx.Done():
	}
}

func (d *Dispatcher) drainEvents() {
	for {
		select {
		case f := <-d.events:
			f(time.Now())
		default:
			return
		}
	}
}

func (d *Dispatcher) applyWorkerList(r WorkerListUpdate, now time.Time) {
	if r.Complete {
		listed := make(map[table.WorkerID]bool, len(r.Workers))
		for _, w := range r.Workers {
			listed[w.ID] = true
		}
		for id := range d.scheduler.workers {
			if !listed[id] {
				d.scheduler.RemoveWorker(id, now)
			}
		}
	}
	for _, w := range r.Workers {
		d.scheduler.SetWorker(w, now)
	}
	for _, id := range r.Removed {
		d.scheduler.RemoveWorker(id, now)
	}
}

// recordRound logs how long rounds take, since all work of the leader waits for them.
func (d *Dispatcher) recordRound(took time.Duration) {
	d.rounds++
	d.busy += took
	d.longest = max(d.longest, took)
	if d.roundAt.Sub(d.roundsLoggedAt) < statusLogInterval {
		return
	}
	d.cfg.Log.Info("rounds", "Rounds", d.rounds, "Busy", d.busy.Round(time.Millisecond), "Longest", d.longest.Round(100*time.Microsecond), "Events", len(d.events))
	d.roundsLoggedAt, d.rounds, d.busy, d.longest = d.roundAt, 0, 0, 0
}

func (d *Dispatcher) runRound(now time.Time) {
	d.scheduler.SetZoneRequests(d.cfg.ZoneRequests(), now)
	if now.Sub(d.tickedAt) >= tickInterval {
		d.tickedAt = now
		d.scheduler.SetQueues(d.cfg.Queues())
		d.scheduler.Tick(now)
		d.cfg.ReportCounts(d.scheduler.Counts())
		d.cfg.ReportZones(d.scheduler.ZoneTasks())
	}
	extend := now.Sub(d.cfg.Writer.Confirmed()) < extensionWindow
	for _, o := range d.scheduler.PollOrders(now, extend) {
		go d.poll(o, now)
	}
	if since := now.Sub(d.decidedAt); since >= decideInterval || d.changed && since >= decideBackoff*d.decideTime {
		d.changed, d.decidedAt = false, now
		d.scheduler.Decide(now)
		d.decideTime = time.Since(now)
	}
	for _, o := range d.scheduler.ApprovalOrders(now) {
		go d.requestApproval(o)
	}
	for _, o := range d.scheduler.StopOrders(now) {
		go d.stop(o)
	}
	for _, o := range d.scheduler.ThrottleOrders(now) {
		go d.throttle(o)
	}
	d.flush(now)
}

// flush writes the pending changes to the log; at most one write is in flight.
func (d *Dispatcher) flush(now time.Time) {
	if d.writing {
		return
	}
	f := d.scheduler.Flush(now)
	if f == nil {
		return
	}
	if len(f.records) == 0 {
		d.flushed(f, now)
		return
	}
	d.writing = true
	d.cfg.Writer.Append(f.records, func(refused []ledger.Record) {
		d.post(func(now time.Time) {
			d.writing = false
			d.scheduler.RecordsRefused(f, refused, now)
			d.flushed(f, now)
		})
	})
}

func (d *Dispatcher) flushed(f *Batch, now time.Time) {
	extend := now.Sub(d.cfg.Writer.Confirmed()) < extensionWindow
	d.scheduler.SetZoneRequests(d.cfg.ZoneRequests(), now) // the last look before starts are sent
	for _, o := range d.scheduler.Flushed(f, now, extend) {
		go d.start(o)
	}
}

func (d *Dispatcher) start(o StartOrder) {
	ctx, cancel := context.WithTimeout(d.ctx, orderTimeout)
	defer cancel()
	sent := time.Now()
	res := d.cfg.Workers.Start(ctx, o)
	d.cfg.ObserveCall("Start", time.Since(sent))
	d.post(func(now time.Time) { d.scheduler.StartDone(o, res, now) })
}

func (d *Dispatcher) stop(o StopOrder) {
	ctx, cancel := context.WithTimeout(d.ctx, orderTimeout)
	defer cancel()
	err := d.cfg.Workers.Stop(ctx, o)
	d.post(func(now time.Time) { d.scheduler.StopDone(o, err, now) })
}

func (d *Dispatcher) throttle(o ThrottleOrder) {
	ctx, cancel := context.WithTimeout(d.ctx, orderTimeout)
	defer cancel()
	err := d.cfg.Workers.Throttle(ctx, o)
	d.post(func(now time.Time) { d.scheduler.ThrottleDone(o, err, now) })
}

func (d *Dispatcher) requestApproval(o ApprovalOrder) {
	ctx, cancel := context.WithTimeout(d.ctx, maxApprovalsInFlight*o.EstimatedTime+orderTimeout)
	defer cancel()
	sent := time.Now()
	a, err := d.cfg.Workers.RequestApproval(ctx, o)
	d.cfg.ObserveCall("Advise", time.Since(sent))
	d.post(func(now time.Time) { d.scheduler.ApprovalDone(o, sent, a, err, now) })
}

func (d *Dispatcher) poll(o PollOrder, sent time.Time) {
	ctx, cancel := context.WithTimeout(d.ctx, o.Wait+pollGrace)
	defer cancel()
	l, err := d.cfg.Workers.Poll(ctx, o)
	if err == nil {
		d.cfg.ObserveCall("Look", time.Since(sent)-o.Wait)
	}
	d.post(func(now time.Time) { d.scheduler.PollDone(o, sent, l, err, now) })
}
