package experiment

import (
	"time"

	"persimmonpick/journal"
	"persimmonpick/placement"
	"persimmonpick/provider"
	"persimmonpick/settings"
	"persimmonpick/table"
)

// policyController adapts the controller of package placement to the simulation.
func policyController(s *placement.Controller) controller {
	return controller{
		report: func(w *world, rep *provider.Report) { s.ObserveReport(w.t, w.now(), rep) },
		tick:   func(w *world) ([]journal.Record, []placement.Command) { return s.Tick(w.t, w.now()) },
		ended: func(w *world, task *table.Task, on table.WorkerID, ran time.Duration, o journal.LeaseOutcome) {
			if j := w.t.Jobs[task.Job]; j != nil {
				s.ObserveOutcome(w.now(), j, task.ID, on, ran, o)
			}
		},
	}
}

func newPolicy(size Size) *placement.Controller {
	p := settings.Default().Policy
	p.LatencyWeight = size.LatencyWeight
	return placement.NewController(p, "seat", func(table.ServiceID) time.Duration { return objective })
}
