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

// Parameters of the neighbour history and of the report lag estimate.
const (
	historyRetention = 10 * time.Minute
	lagSmoothing     = 0.05 // weight of a new report
	initialLag       = 10 * time.Second
)

// Controller applies the placement policy. It holds the estimates made from reports and outcomes. The control
// goroutine of each host owns one.
//
// ObserveReport and ObserveOutcome are called on every host, so that a host that starts to propose has the same
// estimates as its predecessor. Tick runs on the proposing host only.
type Controller struct {
	Policy       settings.Policy
	Holder       table.SeatID
	Objective    func(service table.ServiceID) time.Duration // p99 latency objective of a service; 0 if it has none
	Model        *interference.Model
	History      *interference.History
	Guard        *Guard
	Corrections  *Corrections
	Quarantine   *Quarantine
	Reservations *Reservations           // nil disables reservations for large jobs
	Avoid        map[table.WorkerID]bool // workers that some entry host cannot reach; nothing is placed on them

	readings map[table.InstanceID]Reading
	lag      time.Duration // smoothed age of reports on arrival
}

// NewController returns a controller without observations.
func NewController(policy settings.Policy, holder table.SeatID, objective func(table.ServiceID) time.Duration) *Controller {
	return &Controller{
		Policy: policy, Holder: holder, Objective: objective,
		Model:   interference.NewModel(interference.Config{}),
		History: interference.NewHistory(historyRetention),
		Guard:   NewGuard(), Corrections: NewCorrections(), Quarantine: NewQuarantine(), Reservations: &Reservations{},
		readings: map[table.InstanceID]Reading{}, lag: initialLag,
	}
}

// ObserveReport records a usage report of a worker. Instance latencies that are not newer than the last reading
// of the instance are ignored.
func (s *Controller) ObserveReport(t *table.Tables, now time.Time, rep *provider.Report) {
	if lag := now.Sub(rep.Taken); lag > 0 {
		s.lag += time.Duration(lagSmoothing * float64(lag-s.lag))
	}
	for _, u := range rep.Tasks {
		s.observeUsage(t, now, u)
	}
	for _, in := range rep.Instances {
		s.observeLatency(t, rep, in)
	}
}

func (s *Controller) observeUsage(t *table.Tables, now time.Time, u provider.TaskUsage) {
	task := t.Tasks[u.Task]
	if task == nil || task.Lease.Token != u.Token {
		return
	}
	if j := t.Jobs[task.Job]; j != nil {
		s.Corrections.ObserveUsage(now, j, task.ID, u.Used)
	}
}

func (s *Controller) observeLatency(t *table.Tables, rep *provider.Report, u provider.InstanceUsage) {
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

// ObserveOutcome records the outcome of a lease that was applied from the log; ran is how long the task ran under it.
func (s *Controller) ObserveOutcome(now time.Time, j *table.Job, task table.TaskID, w table.WorkerID, ran time.Duration, outcome journal.LeaseOutcome) {
	s.Quarantine.ObserveOutcome(task, j.ID, w, outcome, now)
	s.Corrections.ObserveEnd(now, j, task, ran, outcome == journal.LeaseFinished)
}

// RecordNeighbours records in the history which batch work runs beside instances. It must be called after each
// change of the tables or once a tick.
func (s *Controller) RecordNeighbours(t *table.Tables, scan *queue.Scan, now time.Time) {
	recorded := map[table.WorkerID]bool{}
	for _, in := range t.Instances {
		w := t.Workers[in.Worker]
		if w == nil || recorded[w.ID] {
			continue
		}
		recorded[w.ID] = true
		s.History.Record(now, w.ID, Neighbours(t, w, scan.Held[w.ID], s.Guard.Share))
	}
	s.prune(t)
}

// prune drops the history of workers and the readings of instances that are gone, as hundreds are replaced a
// day at the design size.
func (s *Controller) prune(t *table.Tables) {
	s.History.Retain(func(id table.WorkerID) bool { return t.Workers[id] != nil })
	for id := range s.readings {
		if t.Instances[id] == nil {
			delete(s.readings, id)
		}
	}
}

// Tick runs the policy and returns the records to propose in one batch, and the commands for workers.
func (s *Controller) Tick(t *table.Tables, now time.Time) ([]journal.Record, []Command) {
	scan := queue.NewScan(t)
	s.RecordNeighbours(t, scan, now)
	commands, records := s.Guard.Protect(t, scan, now, s.protectInput(t))
	records = append(records, withoutRevoked(records, Vacate(t, scan))...)
	in := s.placeInput(t)
	in.Revoked = map[table.TaskID]bool{}
	for _, r := range records {
		in.Revoked[r.LeaseRevoked.Task] = true
	}
	records = append(records, s.Quarantine.Decide(t, now, s.Policy)...)
	for _, r := range records {
		if r.WorkerQuarantined != nil {
			in.quarantined = append(in.quarantined, r.WorkerQuarantined.ID)
		}
	}
	return append(records, place(t, scan, now, in)...), commands
}

// withoutRevoked returns the records of more whose task is not already revoked in records.
func withoutRevoked(records, more []journal.Record) []journal.Record {
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

// QueueConfig returns a queue configuration that applies the corrections, if the policy enables them. It serves
// both the order of the queue and the search for unplaceable jobs.
func (s *Controller) QueueConfig(t *table.Tables) queue.Config {
	if !s.Policy.Correction {
		return queue.Config{}
	}
	s.Corrections.LargestBatchCapacity = largestBatchCapacity(t)
	return queue.Config{Need: s.Corrections.Need, RunTime: s.Corrections.RunTime}
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
		Policy: s.Policy, Holder: s.Holder, Queue: s.QueueConfig(t), Reservations: s.Reservations, Avoid: s.Avoid,
		Slowdown: s.Model.Estimate, Share: s.Guard.Share, ObjectiveMet: s.Guard.ObjectiveMet,
		Load: func(id table.InstanceID) float64 {
			if r, ok := s.readings[id]; ok {
				return r.Load
			}
			return defaultLoad
		},
	}
}

// largestBatchCapacity returns, in each dimension, the largest capacity that any worker has for batch work beside its
// instances.
func largestBatchCapacity(t *table.Tables) table.Resources {
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
