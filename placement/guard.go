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
	budget  Budget
	watches map[table.InstanceID]*watch
	last    map[table.WorkerID]time.Time // of the last action
	backoff map[table.WorkerID]int       // calm periods that must pass before a throttle is eased, as a power of two
	eased   map[table.WorkerID]time.Time
	shares  map[table.TaskID]throttled
	saving  map[table.TaskID]saving
}

// watch is what is known about one instance.
type watch struct {
	ratio float64 // smoothed p99 over objective
	taken time.Time
	calm  time.Time // since when the ratio has been below the lower level; zero if it is not
	bad   bool      // above the upper level, and not below the lower one since
}

// throttled is the share that a task may use under one lease.
type throttled struct {
	token table.Token
	share float64
}

// saving is a task that was asked for a checkpoint before its eviction.
type saving struct {
	token table.Token
	at    time.Time
}

// NewGuard returns a guard that knows nothing yet.
func NewGuard() *Guard {
	return &Guard{
		watches: map[table.InstanceID]*watch{},
		last:    map[table.WorkerID]time.Time{},
		backoff: map[table.WorkerID]int{},
		eased:   map[table.WorkerID]time.Time{},
		shares:  map[table.TaskID]throttled{},
		saving:  map[table.TaskID]saving{},
	}
}

// Share returns the share of its processors that a task may use.
func (g *Guard) Share(task *table.Task) float64 {
	th, ok := g.shares[task.ID]
	if !ok || th.token != task.Lease.Token {
		return 1
	}
	return th.share
}

// ObjectiveMet says whether an instance met its objective lately, so that more batch work may start beside it.
func (g *Guard) ObjectiveMet(id table.InstanceID) bool {
	w := g.watches[id]
	return w == nil || !w.bad
}

// Smoothing and levels of the ratio of p99 to its objective.
const (
	smoothing  = 0.15 // weight of a new reading
	upperLevel = 1.0
	lowerLevel = 0.92
)

// read takes in the readings that are new.
func (g *Guard) read(rs []Reading) {
	for _, r := range rs {
		if r.Objective <= 0 || r.P99 <= 0 {
			continue
		}
		w := g.watches[r.Instance]
		ratio := float64(r.P99) / float64(r.Objective)
		if w == nil {
			w = &watch{ratio: ratio}
			g.watches[r.Instance] = w
		}
		if !r.Taken.After(w.taken) {
			continue
		}
		w.taken = r.Taken
		w.ratio += smoothing * (ratio - w.ratio)
		w.judge(r.Taken)
	}
}

func (w *watch) judge(at time.Time) {
	if w.ratio > upperLevel {
		w.bad = true
	}
	if w.ratio >= lowerLevel {
		w.calm = time.Time{}
		return
	}
	w.bad = false
	if w.calm.IsZero() {
		w.calm = at
	}
}

// forget drops what belongs to tasks, workers and instances that are gone.
func (g *Guard) forget(t *table.Tables) {
	for id, th := range g.shares {
		if task := t.Tasks[id]; task == nil || !task.State.Held() || task.Lease.Token != th.token {
			delete(g.shares, id)
		}
	}
	for id, s := range g.saving {
		if task := t.Tasks[id]; task == nil || !task.State.Held() || task.Lease.Token != s.token {
			delete(g.saving, id)
		}
	}
	for id := range g.watches {
		if t.Instances[id] == nil {
			delete(g.watches, id)
		}
	}
	for id := range g.last {
		if t.Workers[id] == nil {
			delete(g.last, id)
			delete(g.backoff, id)
			delete(g.eased, id)
		}
	}
}
