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

// policy passes worker reports and lease outcomes to placement.Controller and executes its commands. The control
// goroutine owns it.
type policy struct {
	log        *slog.Logger
	workers    provider.Workers
	background func(func(context.Context)) // runs calls to workers off the control goroutine

	controller *placement.Controller
	kinds      map[table.KindID]*table.Kind // from the newest tables
	startTimes map[table.TaskID]time.Time   // when the start of each running task was applied
}

func newPolicy(cfg settings.Settings, log *slog.Logger) *policy {
	p := &policy{log: log, startTimes: map[table.TaskID]time.Time{}}
	p.controller = placement.NewController(cfg.Policy, cfg.Seat, p.objective)
	return p
}

// objective returns the strictest latency objective among the kinds of a service, or 0 if none has one.
func (p *policy) objective(id table.ServiceID) time.Duration {
	var strictest table.Millis
	for _, k := range p.kinds {
		if k.Service == id && k.Objective.Latency > 0 && (strictest == 0 || k.Objective.Latency < strictest) {
			strictest = k.Objective.Latency
		}
	}
	return time.Duration(strictest) * time.Millisecond
}

// leaseChanged processes an applied record about a lease on the given worker.
func (p *policy) leaseChanged(t *table.Tables, id table.WorkerID, r journal.Record, now time.Time) {
	if s := r.LeaseStarted; s != nil {
		p.startTimes[s.Task] = now
	}
	e := r.LeaseEnded
	if e == nil {
		return
	}
	began, known := p.startTimes[e.Task]
	delete(p.startTimes, e.Task)
	task := t.Tasks[e.Task]
	if task == nil || !known {
		return
	}
	p.controller.ObserveOutcome(now, t.Jobs[task.Job], e.Task, id, now.Sub(began), e.Outcome)
}

// handleReport processes the usage in a worker report, which comes from a poll by this host or from a peer.
func (p *policy) handleReport(t *table.Tables, rep provider.Report, now time.Time) {
	if rep.Taken.IsZero() {
		return
	}
	p.kinds = t.Kinds
	p.controller.ObserveReport(t, now, &rep)
}

func (p *policy) tick(t *table.Tables, now time.Time, unreachable map[table.WorkerID]bool) []journal.Record {
	p.kinds = t.Kinds
	p.controller.Avoid = unreachable
	records, commands := p.controller.Tick(t, now)
	for _, c := range commands {
		p.log.Info("sending protection command to worker",
			"Command", c.Type, "Worker", c.Worker, "Task", c.Task, "Share", c.Share)
		p.background(func(ctx context.Context) { p.execute(ctx, c) })
	}
	return records
}

func (p *policy) execute(ctx context.Context, c placement.Command) {
	var err error
	switch c.Type {
	case placement.Throttle:
		err = p.workers.Throttle(ctx, c.Worker, c.Task, c.Token, c.Share)
	case placement.Checkpoint:
		err = p.workers.Checkpoint(ctx, c.Worker, c.Task, c.Token)
	}
	if err != nil {
		p.log.Warn("protection command not confirmed by the worker",
			"Command", c.Type, "Worker", c.Worker, "Task", c.Task, "Error", err)
	}
}
