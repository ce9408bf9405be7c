package placement

import (
	"time"

	"persimmonpick/interference"
	"persimmonpick/journal"
	"persimmonpick/provider"
	"persimmonpick/queue"
	"persimmonpick/settings"
	"persimmonpick/table"
)

// How far back the history reaches, and how fast the estimate of the report lag follows.
const (
	historyKept  = 10 * time.Minute
	lagSmoothing = 0.05
	startingLag  = 10 * time.Second
)

// Controller is the whole policy with its learned state; the control goroutine of each host owns one.
//
// Report and Ended feed it on every host, so that a host that begins to propose knows as much as the one before; Tick runs on the proposing host.
type Controller struct {
	Policy    settings.Policy
	Holder    table.SeatID
	Objective func(service table.ServiceID) time.Duration // the p99 that a service must meet; 0 if it has none
	Model     *interference.Model
	History   *interference.History
	Guard     *Guard
	Sizes     *Corrections
	Health    *Quarantine
	Reserved  *Reservations           // nil keeps no places for large jobs
	Avoid     map[table.WorkerID]bool // workers that some entry host cannot reach

	readings map[table.InstanceID]Reading
	lag      time.Duration
}

// NewController returns a system that has learned nothing yet.
func NewController(policy settings.Policy, holder table.SeatID, objective func(table.ServiceID) time.Duration) *Controller {
	return &Controller{
		Policy: policy, Holder: holder, Objective: objective,
		Model:   interference.NewModel(interference.Config{}),
		History: interference.NewHistory(historyKept),
		Guard:   NewGuard(), Sizes: NewCorrections(), Health: NewQuarantine(), Reserved: &Reservations{},
		readings: map[table.InstanceID]Reading{}, lag: startingLag,
	}
}

// ObserveReport takes in a report of a worker; a report taken no later than the last one of its worker changes little.
func (s *Controller) ObserveReport(t *table.Tables, now time.Time, rep *provider.Report) {
	if lag := now.Sub(rep.Taken); lag > 0 {
		s.lag += time.Duration(lagSmoothing * float64(lag-s.lag))
	}
	for _, u := range rep.Tasks {
		s.usage(t, now, u)
	}
	for _, in := range rep.Instances {
		s.latency(t, rep, in)
	}
}

func (s *Controller) usage(t *table.Tables, now time.Time, u provider.TaskUsage) {
	task := t.Tasks[u.Task]
	if task == nil || task.Lease.Token != u.Token {
		return
	}
	if j := t.Jobs[task.Job]; j != nil {
		s.Sizes.ObserveUsage(now, j, task.ID, u.Used)
	}
}

func (s *Controller) latency(t *table.Tables, rep *provider.Report, u provider.InstanceUsage) {
	in := t.Instances[u.Instance]
	if in == nil || !rep.Taken.After(s.readings[u.Instance].Taken) {
		return
	}
	s.readings[u.Instance] = Reading{
		Instance: u.Instance, Taken: rep.Taken, Load: u.Load, P99: u.P99, Objective: s.Objective(in.Service),
	}
	ns, ok := s.History.At(rep.Worker, rep.Taken)
	if !ok {
		return
	}
	s.Model.Observe(interference.Sample{
		Taken: rep.Taken, Service: in.Service, Load: u.Load, P99: u.P99, Neighbours: ns,
	})
}

// ObserveOutcome takes in the outcome of a lease that was folded; ran is how long the task ran under it.
func (s *Controller) ObserveOutcome(now time.Time, j *table.Job, task table.TaskID, w table.WorkerID, ran time.Duration, outcome journal.LeaseOutcome) {
	s.Health.ObserveOutcome(task, j.ID, w, outcome, now)
	s.Sizes.ObserveEnd(now, j, task, ran, outcome == journal.LeaseFinished)
}

// RecordNeighbours records what runs beside instances; it is called after each change of the tables, or each tick.
func (s *Controller) RecordNeighbours(t *table.Tables, scan *queue.Scan, now time.Time) {
	noted := map[table.WorkerID]bool{}
	for _, in := range t.Instances {
		w := t.Workers[in.Worker]
		if w == nil || noted[w.ID] {
			continue
		}
		noted[w.ID] = true
		s.History.Record(now, w.ID, Neighbours(t, w, scan.Held[w.ID], s.Guard.Share))
	}
	s.forget(t)
}

// forget drops what was learned of workers and instances that are gone; hundreds are replaced a day at the size to design for.
func (s *Controller) forget(t *table.Tables) {
	s.History.Retain(func(id table.WorkerID) bool { return t.Workers[id] != nil })
	for id := range s.readings {
		if t.Instances[id] == nil {
			delete(s.readings, id)
		}
	}
}

// Tick returns the records to propose in one batch, and the commands for workers.
func (s *Controller) Tick(t *table.Tables, now time.Time) ([]journal.Record, []Command) {
	scan := queue.NewScan(t)
	s.RecordNeighbours(t, scan, now)
	commands, records := s.Guard.Protect(t, scan, now, s.protectInput(t))
	records = append(records, unlessRevoked(records, Vacate(t, scan))...)
	in := s.placeInput(t)
	in.Revoked = map[table.TaskID]bool{}
	for _, r := range records {
		in.Revoked[r.LeaseRevoked.Task] = true
	}
	records = append(records, s.Health.Decide(t, now, s.Policy)...)
	for _, r := range records {
		if r.WorkerQuarantined != nil {
			in.closed = append(in.closed, r.WorkerQuarantined.ID)
		}
	}
	return append(records, place(t, scan, now, in)...), commands
}

// unlessRevoked returns those of more whose task is not revoked in records already.
func unlessRevoked(records, more []journal.Record) []journal.Record {
	revoked := map[table.TaskID]bool{}
	for _, r := range records {
		revoked[r.LeaseRevoked.Task] = true
	}
	var rest []journal.Record
	for _, r := range more {
		if !revoked[r.LeaseRevoked.Task] {
			rest = append(rest, r)
		}
	}
	return rest
}

// QueueConfig returns the corrections as the queue and its report of jobs that never fit need them.
func (s *Controller) QueueConfig(t *table.Tables) queue.Config {
	if !s.Policy.Correction {
		return queue.Config{}
	}
	s.Sizes.Offers = mostOffered(t)
	return queue.Config{Need: s.Sizes.Need, RunTime: s.Sizes.RunTime}
}

func (s *Controller) protectInput(t *table.Tables) ProtectInput {
	in := ProtectInput{Policy: s.Policy, Lag: s.lag, Slowdown: s.Model.Estimate}
	for _, id := range table.SortedInstances(t) {
		if r, ok := s.readings[id]; ok {
			in.Readings = append(in.Readings, r)
		}
	}
	return in
}

func (s *Controller) placeInput(t *table.Tables) Input {
	return Input{
		Policy: s.Policy, Holder: s.Holder, Queue: s.QueueConfig(t), Reserved: s.Reserved, Avoid: s.Avoid,
		Slowdown: s.Model.Estimate, Share: s.Guard.Share, Calm: s.Guard.ObjectiveMet,
		Load: func(id table.InstanceID) float64 {
			if r, ok := s.readings[id]; ok {
				return r.Load
			}
			return defaultLoadKnown
		},
	}
}

// mostOffered returns the most that any worker offers beside its instances, in each dimension.
func mostOffered(t *table.Tables) table.Resources {
	used := make(map[table.WorkerID]table.Resources, len(t.Workers))
	for _, in := range t.Instances {
		used[in.Worker] = used[in.Worker].Plus(in.Need)
	}
	var most table.Resources
	for id, w := range t.Workers {
		if w.Gone {
			continue
		}
		o := w.Capacity.Minus(used[id])
		most.CPU = max(most.CPU, o.CPU)
		most.Memory = max(most.Memory, o.Memory)
		most.Accelerators = max(most.Accelerators, o.Accelerators)
	}
	return most
}
