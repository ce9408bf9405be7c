package placement

import (
	"persimmonpick/interference"
	"persimmonpick/queue"
	"persimmonpick/settings"
	"persimmonpick/table"
)

// Input is what Place needs beside the tables; nil fields switch their part off.
type Input struct {
	Policy   settings.Policy
	Holder   table.SeatID // seat that proposes
	Queue    queue.Config
	Reservations *Reservations // kept between ticks by the control goroutine

	Avoid map[table.WorkerID]bool // workers that some entry host cannot reach

	// Slowdown predicts the factor on p99 that neighbours cause to a service at a load, and a confidence from 0 to 1.
	Slowdown func(service table.ServiceID, ns []interference.Neighbour, load float64) (float64, float64)
	// Share returns the share of its processors that a task may use; nil means all.
	Share func(task *table.Task) float64
	// Load returns the newest known load of an instance, as a share of its slots.
	Load func(id table.InstanceID) float64
	// ObjectiveMet says whether more batch work may start beside an instance; nil means always.
	ObjectiveMet func(id table.InstanceID) bool
	// Revoked holds tasks that the same batch revokes already.
	Revoked map[table.TaskID]bool

	closed []table.WorkerID // workers that the same batch closes
}

// Bounds on the work of one tick.
const (
	maxGrants          = 256 // entries placed in one tick
	maxUnplaced        = 512 // entries that were looked at and did not fit
	maxCandidates      = 64  // feasible workers that are scored for one task
	maxReserveAttempts = 2   // blocked entries for which a reservation is tried in one tick
	maxPreempted       = 32  // tasks revoked for urgent work in one tick
)
