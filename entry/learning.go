package entry

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"time"

	"persimmonpick/interference"
	"persimmonpick/journal"
	"persimmonpick/placement"
	"persimmonpick/platform"
	"persimmonpick/queue"
	"persimmonpick/settings"
	"persimmonpick/table"
)

const (
	historyKept   = 5 * time.Minute // reports older than this teach nothing
	protectPeriod = time.Second
	lagWeight     = 0.1 // weight of a new report in the estimate of the reports' lag
)

// learning holds what the policy learns from reports and outcomes; the control goroutine owns it.
type learning struct {
	cfg     settings.Settings
	log     *slog.Logger
	workers platform.Workers
	submit  func(what string, rs []journal.Record, done func(journal.Result, error))
	held    func(*table.Tables, table.WorkerID) []*table.Task
	command func(func(context.Context)) // runs calls to workers in the background

	model       *interference.Model
	history     *interference.History
	guard       *placement.Guard
	corrections *placement.Corrections
	quarantine  *placement.Quarantine

	readings map[table.InstanceID]placement.Reading
	started  map[table.TaskID]time.Time
	lag      time.Duration
	last     time.Time
}

func newLearning(cfg settings.Settings, log *slog.Logger) *learning {
	return &learning{
		cfg: cfg, log: log,
		model:       interference.NewModel(interference.Config{}),
		history:     interference.NewHistory(historyKept),
		guard:       placement.NewGuard(),
		corrections: placement.NewCorrections(),
		quarantine:  placement.NewQuarantine(),
		readings:    map[table.InstanceID]placement.Reading{},
		started:     map[table.TaskID]time.Time{},
	}
}

func (l *learning) reload(t *table.Tables, now time.Time) {
	for id := range t.Workers {
		l.note(t, id, now)
	}
}

// note records what runs on a worker from now on.
func (l *learning) note(t *table.Tables, id table.WorkerID, now time.Time) {
	w := t.Workers[id]
	if w == nil {
		l.history.Forget(id)
		return
	}
	l.history.Note(now, id, placement.Neighbours(t, w, l.held(t, id), l.guard.Share))
}

// leaseChanged takes in a record about a lease on a worker.
func (l *learning) leaseChanged(t *table.Tables, id table.WorkerID, r journal.Record, now time.Time) {
	switch {
	case r.LeaseStarted != nil:
		l.started[r.LeaseStarted.Task] = now
	case r.LeaseEnded != nil:
		l.ended(t, id, r.LeaseEnded, now)
	}
	l.note(t, id, now)
}

func (l *learning) ended(t *table.Tables, id table.WorkerID, e *journal.LeaseEnded, now time.Time) {
	began, known := l.started[e.Task]
	delete(l.started, e.Task)
	task := t.Tasks[e.Task]
	if task == nil {
		return
	}
	l.quarantine.Ended(e.Task, task.Job, id, e.Outcome, now)
	if j := t.Jobs[task.Job]; j != nil && known {
		whole := e.Outcome == journal.LeaseFinished && task.Evictions == 0
		l.corrections.Ended(now, j, e.Task, now.Sub(began), whole)
	}
}

// reported takes in the usage part of a report, from an own visit or from a peer.
func (l *learning) reported(t *table.Tables, id table.WorkerID, rep platform.Report, now time.Time) {
	if rep.Taken.IsZero() {
		return
	}
	l.lag += time.Duration(lagWeight * float64(now.Sub(rep.Taken)-l.lag))
	for _, u := range rep.Tasks {
		if task := t.Tasks[u.Task]; task != nil && task.State.Held() && task.Lease.Token == u.Token {
			l.corrections.Used(now, t.Jobs[task.Job], u.Task, u.Used)
		}
	}
	for _, u := range rep.Instances {
		l.instance(t, id, rep.Taken, u)
	}
}

// instance learns from one instance's usage what its neighbours at the time the report was taken do to it.
func (l *learning) instance(t *table.Tables, id table.WorkerID, taken time.Time, u platform.InstanceUsage) {
	in := t.Instances[u.Instance]
	if in == nil || !taken.After(l.readings[u.Instance].Taken) {
		return
	}
	l.readings[u.Instance] = placement.Reading{
		Instance: u.Instance, Taken: taken, Load: u.Load, P99: u.P99, Objective: objective(t, in.Service),
	}
	ns, ok := l.history.At(id, taken)
	if !ok || !l.history.Steady(id, taken.Add(-l.cfg.Timing.ReportPeriod.D()), taken) {
		return // the neighbours changed while the usage was measured
	}
	l.model.Observe(interference.Sample{Taken: taken, Service: in.Service, Load: u.Load, P99: u.P99, Neighbours: ns})
}

// objective returns the strictest latency that the kinds of a service must meet, or 0.
func objective(t *table.Tables, id table.ServiceID) time.Duration {
	var strictest table.Millis
	for _, k := range t.Kinds {
		if k.Service == id && k.Objective.Latency > 0 && (strictest == 0 || k.Objective.Latency < strictest) {
			strictest = k.Objective.Latency
		}
	}
	return time.Duration(strictest) * time.Millisecond
}

// run protects latency-critical instances and keeps failing workers out of use.
func (l *learning) run(t *table.Tables, now time.Time) {
	if now.Sub(l.last) < protectPeriod {
		return
	}
	l.last = now
	l.corrections.Offers = largest(t)
	l.submit("quarantine", l.quarantine.Decide(t, now, l.cfg.Policy), nil)
	commands, rs := l.guard.Protect(t, queue.NewScan(t), now, placement.ProtectInput{
		Policy: l.cfg.Policy, Readings: l.newest(t), Lag: l.lag, Slowdown: l.slowdown(),
	})
	l.submit("protection", rs, nil)
	for _, c := range commands {
		l.log.Info("protecting an instance", "Command", c.Type, "Worker", c.Worker, "Task", c.Task, "Share", c.Share)
		l.command(func(ctx context.Context) { l.carryOut(ctx, c) })
		l.note(t, c.Worker, now)
	}
}

func (l *learning) carryOut(ctx context.Context, c placement.Command) {
	var err error
	switch c.Type {
	case placement.Throttle:
		err = l.workers.Throttle(ctx, c.Worker, c.Task, c.Token, c.Share)
	case placement.Checkpoint:
		err = l.workers.Checkpoint(ctx, c.Worker, c.Task, c.Token)
	}
	if err != nil {
		l.log.Warn("command not confirmed", "Command", c.Type, "Worker", c.Worker, "Task", c.Task, "Error", err)
	}
}

// newest returns the newest reading of each known instance in order of ids, and forgets the others.
func (l *learning) newest(t *table.Tables) []placement.Reading {
	maps.DeleteFunc(l.readings, func(id table.InstanceID, _ placement.Reading) bool { return t.Instances[id] == nil })
	list := make([]placement.Reading, 0, len(l.readings))
	for _, id := range slices.Sorted(maps.Keys(l.readings)) {
		list = append(list, l.readings[id])
	}
	return list
}

func largest(t *table.Tables) table.Resources {
	var r table.Resources
	for _, w := range t.Workers {
		r.CPU = max(r.CPU, w.Capacity.CPU)
		r.Memory = max(r.Memory, w.Capacity.Memory)
		r.Accelerators = max(r.Accelerators, w.Capacity.Accelerators)
	}
	return r
}

func (l *learning) slowdown() func(table.ServiceID, []interference.Neighbour, float64) (float64, float64) {
	if !l.cfg.Policy.Interference {
		return nil
	}
	return l.model.Estimate
}

// inform gives placement what was learned.
func (l *learning) inform(in *placement.Input) {
	in.Slowdown = l.slowdown()
	in.Share = l.guard.Share
	in.Calm = l.guard.Calm
	in.Load = func(id table.InstanceID) float64 { return l.readings[id].Load }
}

func (l *learning) queueConfig() queue.Config {
	if !l.cfg.Policy.Correction {
		return queue.Config{}
	}
	return queue.Config{Need: l.corrections.Need, RunTime: l.corrections.RunTime}
}
