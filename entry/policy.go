package entry

import (
	"context"
	"log/slog"
	"time"

	"persimmonpick/journal"
	"persimmonpick/placement"
	"persimmonpick/provider"
	"persimmonpick/settings"
	"persimmonpick/table"
)

// policy feeds placement.System with reports and outcomes and carries out its commands; the control goroutine owns it.
type policy struct {
	log     *slog.Logger
	workers provider.Workers
	command func(func(context.Context)) // runs calls to workers in the background

	system  *placement.Controller
	kinds   map[table.KindID]*table.Kind // of the newest tables
	started map[table.TaskID]time.Time
}

func newPolicy(cfg settings.Settings, log *slog.Logger) *policy {
	p := &policy{log: log, started: map[table.TaskID]time.Time{}}
	p.system = placement.NewController(cfg.Policy, cfg.Seat, p.objective)
	return p
}

// objective returns the strictest latency that the kinds of a service must meet, or 0.
func (p *policy) objective(id table.ServiceID) time.Duration {
	var strictest table.Millis
	for _, k := range p.kinds {
		if k.Service == id && k.Objective.Latency > 0 && (strictest == 0 || k.Objective.Latency < strictest) {
			strictest = k.Objective.Latency
		}
	}
	return time.Duration(strictest) * time.Millisecond
}

// leaseChanged takes in a folded record about a lease on a worker.
func (p *policy) leaseChanged(t *table.Tables, id table.WorkerID, r journal.Record, now time.Time) {
	if s := r.LeaseStarted; s != nil {
		p.started[s.Task] = now
	}
	e := r.LeaseEnded
	if e == nil {
		return
	}
	began, known := p.started[e.Task]
	delete(p.started, e.Task)
	task := t.Tasks[e.Task]
	if task == nil || !known {
		return
	}
	p.system.ObserveOutcome(now, t.Jobs[task.Job], e.Task, id, now.Sub(began), e.Outcome)
}

// reported takes in the usage part of a report, from an own visit or from a peer.
func (p *policy) reported(t *table.Tables, rep provider.Report, now time.Time) {
	if rep.Taken.IsZero() {
		return
	}
	p.kinds = t.Kinds
	p.system.ObserveReport(t, now, &rep)
}

func (p *policy) tick(t *table.Tables, now time.Time, avoid map[table.WorkerID]bool) []journal.Record {
	p.kinds = t.Kinds
	p.system.Avoid = avoid
	records, commands := p.system.Tick(t, now)
	for _, c := range commands {
		p.log.Info("protecting an instance", "Command", c.Type, "Worker", c.Worker, "Task", c.Task, "Share", c.Share)
		p.command(func(ctx context.Context) { p.carryOut(ctx, c) })
	}
	return records
}

func (p *policy) carryOut(ctx context.Context, c placement.Command) {
	var err error
	switch c.Type {
	case placement.Throttle:
		err = p.workers.Throttle(ctx, c.Worker, c.Task, c.Token, c.Share)
	case placement.Checkpoint:
		err = p.workers.Checkpoint(ctx, c.Worker, c.Task, c.Token)
	}
	if err != nil {
		p.log.Warn("command not confirmed", "Command", c.Type, "Worker", c.Worker, "Task", c.Task, "Error", err)
	}
}
