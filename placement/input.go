package placement

import (
	"persimmonpick/interference"
	"persimmonpick/queue"
	"persimmonpick/settings"
	"persimmonpick/table"
)

// Input is the input of Place besides the tables; a nil field disables its part of the policy.
type Input struct {
	Policy       settings.Policy
	Holder       table.SeatID // seat of the proposing host
	Queue        queue.Config
	Reservations *Reservations // carried over between ticks by the control goroutine

	Avoid map[table.WorkerID]bool // workers that some entry host cannot reach; nothing is placed on them

	// Slowdown predicts the factor on the p99 of a service beside ns at a load, and a confidence from 0 to 1.
	Slowdown func(service table.ServiceID, ns []interference.Neighbour, load float64) (float64, float64)
	// Share returns the share of its processors that a task may use; nil means all.
	Share func(task *table.Task) float64
	// Load returns the newest reported load of an instance, as a share of its slots.
	Load func(id table.InstanceID) float64
	// ObjectiveMet reports whether an instance meets its latency objective, so that more batch work may start beside
	// it; nil means always.
	ObjectiveMet func(id table.InstanceID) bool
	// Revoked holds the tasks whose leases the same batch of records already revokes.
	Revoked map[table.TaskID]bool

	quarantined []table.WorkerID // workers that the same batch of records quarantines
}

// Limits on the work of one tick.
const (
	maxGrants          = 256 // tasks granted in one tick, after which no further entry is taken
	maxUnplaced        = 512 // entries considered that could not be placed
	maxCandidates      = 64  // fitting workers that are scored for one task
	maxReserveAttempts = 2   // entries for which a reservation is attempted in one tick
	maxPreempted       = 32  // tasks preempted for urgent work in one tick
)
