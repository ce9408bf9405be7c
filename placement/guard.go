package placement

import (
	"time"

	"persimmonpick/interference"
	"persimmonpick/settings"
	"persimmonpick/table"
)

// Reading is the newest latency report of one instance.
type Reading struct {
	Instance  table.InstanceID
	Taken     time.Time
	Load      float64
	P99       time.Duration
	Objective time.Duration // p99 latency objective; 0 if there is none
}

// CommandType is the action that a command requests for a task.
type CommandType string

// The types of commands.
const (
	Throttle   CommandType = "Throttle"
	Checkpoint CommandType = "Checkpoint"
)

// Command is a request to a worker that is not recorded in the log.
type Command struct {
	Type   CommandType
	Worker table.WorkerID
	Task   table.TaskID
	Token  table.Token
	Share  float64 // share of its processors that the task may use, for Throttle
}

// ProtectInput is the input of Guard.Protect besides the tables.
type ProtectInput struct {
	Policy   settings.Policy
	Readings []Reading     // newest of each instance, in order of instance IDs
	Lag      time.Duration // smoothed age of reports on arrival
	// Slowdown predicts the factor on the p99 of a service beside ns at a load, and a confidence from 0 to 1;
	// nil means no model.
	Slowdown func(service table.ServiceID, ns []interference.Neighbour, load float64) (float64, float64)
}

// Guard protects latency-critical instances from interference by batch work. Only the control goroutine may use it.
type Guard struct {
	budget     Budget
	instances  map[table.InstanceID]*instanceState
	lastAction map[table.WorkerID]time.Time // time of the last change of a throttle, checkpoint request or eviction
	// backoff is how often the recovery time, which must pass before a throttle is eased, has been doubled.
	backoff            map[table.WorkerID]int
	eased              map[table.WorkerID]time.Time // time of the last easing, unless a throttle was needed since
	throttles          map[table.TaskID]throttleState
	awaitingCheckpoint map[table.TaskID]awaitingCheckpoint
}

// instanceState tracks whether one instance meets its latency objective.
type instanceState struct {
	ratio          float64 // smoothed p99 over objective
	lastReport     time.Time
	recoveredSince time.Time // time since which ratio has been below recoveryRatio; zero if it is not
	violating      bool      // ratio exceeded violationRatio and has not been below recoveryRatio since
}

// throttleState is the share of its processors that a task may use under one lease.
type throttleState struct {
	token table.Token
	share float64
}

// awaitingCheckpoint records that a task was asked to save a checkpoint before its eviction.
type awaitingCheckpoint struct {
	token     table.Token
	requested time.Time
}

// NewGuard returns a guard without observations.
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

// ObjectiveMet reports whether an instance met its objective lately, so that more batch work may start beside
// it. An instance without reports counts as meeting it.
func (g *Guard) ObjectiveMet(id table.InstanceID) bool {
	st := g.instances[id]
	return st == nil || !st.violating
}

// Smoothing and thresholds of the ratio of p99 to its objective. Two thresholds give hysteresis.
const (
	smoothing      = 0.15 // weight of a new reading
	violationRatio = 1.0
	recoveryRatio  = 0.92
)

// applyReadings updates the instances with the readings that are newer than their last report.
func (g *Guard) applyReadings(rs []Reading) {
	for _, r := range rs {
		if r.Objective <= 0 || r.P99 <= 0 {
			continue
		}
		st := g.instances[r.Instance]
		ratio := float64(r.P99) / float64(r.Objective)
		if st == nil {
			st = &instanceState{ratio: ratio}
			g.instances[r.Instance] = st
		}
		if !r.Taken.After(st.lastReport) {
			continue
		}
		st.lastReport = r.Taken
		st.ratio += smoothing * (ratio - st.ratio)
		st.updateViolation(r.Taken)
	}
}

// updateViolation applies the thresholds to the smoothed ratio; at is the time of the report.
func (st *instanceState) updateViolation(at time.Time) {
	if st.ratio > violationRatio {
		st.violating = true
	}
	if st.ratio >= recoveryRatio {
		st.recoveredSince = time.Time{}
		return
	}
	st.violating = false
	if st.recoveredSince.IsZero() {
		st.recoveredSince = at
	}
}

// prune drops the state of leases, instances and workers that no longer exist.
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
