package dispatch

import (
	"persimmonpick/table"
	"persimmonpick/workload"
)

// strayUse is what the runs on a worker use that no task holds. Most are those of final jobs, which an earlier leader
// was stopping. They use their room until their end is listed.
type strayUse struct {
	used    table.Resources
	unknown bool                     // there are runs of which it is not known what they use
	steps   map[workload.StepKey]int // number of runs
}

// add adds a run of a task of s.
func (u *strayUse) add(k workload.TaskKey, s *workload.Step) {
	if u.steps == nil {
		u.steps = map[workload.StepKey]int{}
	}
	u.steps[k.StepKey()]++
	u.used = u.used.Plus(countedNeed(s))
}

// stray records a run that must be stopped because no task holds it.
func (sched *Scheduler) stray(w *worker, r RunningTask, why string) {
	if w.strays == nil {
		w.strays = map[workload.TaskKey]workload.RunNumber{}
	}
	if _, known := w.strays[r.Task]; !known {
		sched.cfg.Log.Info("stray run", "Task", r.Task.String(), "Run", r.Run, "Worker", w.info.ID, "Why", why)
	}
	w.strays[r.Task] = r.Run
}

// chargeStrays charges w with the runs that it lists and no task holds.
func (sched *Scheduler) chargeStrays(w *worker, rs []RunningTask) {
	before := w.strayUse.unknown
	w.strayUse = strayUse{}
	for _, r := range rs {
		if w.tasks[r.Task] != nil {
			continue // charged with its task
		}
		s := sched.stepOf(r.Task)
		if s == nil {
			w.strayUse.unknown = true
			continue
		}
		w.strayUse.add(r.Task, s)
	}
	if w.strayUse.unknown && !before {
		sched.cfg.Log.Info("worker takes no tasks before its unknown runs have ended", "Worker", w.info.ID, "Runs", len(rs))
	}
}

// stepOf returns the step that a task belongs to, of a final job too, or nil if it is not known.
func (sched *Scheduler) stepOf(k workload.TaskKey) *workload.Step {
	var spec *workload.Spec
	if j := sched.jobs[k.Job]; j != nil {
		spec = j.spec
	} else {
		spec = sched.finalJobs[k.Job].spec
	}
	if spec == nil || k.Step < 0 || k.Step >= len(spec.Steps) {
		return nil
	}
	return &spec.Steps[k.Step]
}
