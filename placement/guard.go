package placement

import (
	"time"

	"persimmonpick/interference"
	"persimmonpick/settings"
	"persimmonpick/table"
)

// Reading is the newest report of one instance.
type Reading struct {
	Instance  table.InstanceID
	Taken     time.Time
	Load      float64
	P99       time.Duration
	Objective time.Duration // the p99 that must be met; 0 if there is none
}

// CommandType says what a worker is asked to do with a task.
type CommandType string

// The types of commands.
const (
	Throttle   CommandType = "Throttle"
	Checkpoint CommandType = "Checkpoint"
)

// Command is a request to a worker that needs no record in the log.
type Command struct {
	Type   CommandType
	Worker table.WorkerID
	Task   table.TaskID
	Token  table.Token
	Share  float64 // of its processors, for Throttle
}

// ProtectInput is what Protect needs beside the tables.
type ProtectInput struct {
	Policy   settings.Policy
	Readings []Reading // newest of each instance, in order of ids
	Lag      time.Duration
	Slowdown func(service table.ServiceID, ns []interference.Neighbour, load float64) (float64, float64)
}

// Guard protects latency-critical instances from batch neighbours; the control goroutine owns it.
type Guard struct {
	budget             Budget
	instances          map[table.InstanceID]*instanceState
	lastAction         map[table.WorkerID]time.Time // of the last action
	backoff            map[table.WorkerID]int       // calm periods that must pass before a throttle is eased, as a power of two
	eased              map[table.WorkerID]time.Time
	throttles          map[table.TaskID]throttleState
	awaitingCheckpoint map[table.TaskID]awaitingCheckpoint
}

// instanceState is what is known about one instance.
type instanceState struct {
	ratio          float64 // smoothed p99 over objective
	lastReport     time.Time
	recoveredSince time.Time // since when the ratio has been below the lower level; zero if it is not
	violating      bool      // above the upper level, and not below the lower one since
}

// throttleState is the share that a task may use under one lease.
type throttleState struct {
	token table.Token
	share float64
}

// awaitingCheckpoint is a task that was asked for a checkpoint before its eviction.
type awaitingCheckpoint struct {
	token     table.Token
	requested time.Time
}

// NewGuard returns a guard that knows nothing yet.
func NewGuard() *Guard {
	return &Guard{
		instances:          map[table.InstanceID]*instanceState{},
		lastAction:         map[table.WorkerID]time.Time{},
		backoff:            map[table.WorkerID]int{},
		eased:              map[table.WorkerID]time.Time{},
		throttles:          map[table.TaskID]throttleState{},
		awaitingCheckpoint: map[table.TaskID]awaitingCheckpoint{},
	}
}

// Share returns the share of its processors that a task may use.
func (g *Guard) Share(task *table.Task) float64 {
	th, ok := g.throttles[task.ID]
	if !ok || th.token != task.Lease.Token {
		return 1
	}
	return th.share
}

// ObjectiveMet says whether an instance met its objective lately, so that more batch work may start beside it.
func (g *Guard) ObjectiveMet(id table.InstanceID) bool {
	w := g.instances[id]
	return w == nil || !w.violating
}

// Smoothing and levels of the ratio of p99 to its objective.
const (
	smoothing      = 0.15 // weight of a new reading
	violationRatio = 1.0
	recoveryRatio  = 0.92
)

// applyReadings takes in the readings that are new.
func (g *Guard) applyReadings(rs []Reading) {
	for _, r := range rs {
		if r.Objective <= 0 || r.P99 <= 0 {
			continue
		}
		w := g.instances[r.Instance]
		ratio := float64(r.P99) / float64(r.Objective)
		if w == nil {
			w = &instanceState{ratio: ratio}
			g.instances[r.Instance] = w
		}
		if !r.Taken.After(w.lastReport) {
			continue
		}
		w.lastReport = r.Taken
		w.ratio += smoothing * (ratio - w.ratio)
		w.updateViolation(r.Taken)
	}
}

func (w *instanceState) updateViolation(at time.Time) {
	if w.ratio > violationRatio {
		w.violating = true
	}
	if w.ratio >= recoveryRatio {
		w.recoveredSince = time.Time{}
		return
	}
	w.violating = false
	if w.recoveredSince.IsZero() {
		w.recoveredSince = at
	}
}

// prune drops what belongs to tasks, workers and instances that are gone.
func (g *Guard) prune(t *table.Tables) {
	for id, th := range g.throttles {
		if task := t.Tasks[id]; task == nil || !task.State.Held() || task.Lease.Token != th.token {
			delete(g.throttles, id)
		}
	}
	for id, s := range g.awaitingCheckpoint {
		if task := t.Tasks[id]; task == nil || !task.State.Held() || task.Lease.Token != s.token {
			delete(g.awaitingCheckpoint, id)
		}
	}
	for id := range g.instances {
		if t.Instances[id] == nil {
			delete(g.instances, id)
		}
	}
	for id := range g.lastAction {
		if t.Workers[id] == nil {
			delete(g.lastAction, id)
			delete(g.backoff, id)
			delete(g.eased, id)
		}
	}
}
