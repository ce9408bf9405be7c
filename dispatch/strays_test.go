package dispatch

import (
	"testing"

	"github.com/matryer/is"

	"persimmonpick/table"
	"persimmonpick/workload"
)

// sized returns a step of n tasks that need so many cores each.
func sized(n int, cores table.Millicores) workload.Step {
	s := step(n)
	s.Need.CPU = 1000 * cores
	return s
}

// finalRig returns a rig that knows a final job, j, of a step of 12 cores, and the poll reply of a worker of 16 cores
// that still runs a task of the given job.
func finalRig(job string) (*rig, PollReply) {
	r := newRig()
	e := entryOf(r, "j")
	e.Submission.Spec.Steps = []workload.Step{sized(1, 12)}
	e.Status.State = workload.Cancelled
	r.SetEntry(e, r.now)
	r.SetWorker(r.workerInfo("a"), r.now)
	return r, PollReply{Running: []RunningTask{{Task: key(job, 0, 0), Run: 1}}}
}

// Guards against a start in the room of a run that an earlier leader was stopping.
func TestRunOfAFinalJobKeepsItsRoomUntilItHasEnded(t *testing.T) {
	is := is.New(t)
	r, running := finalRig("j")
	r.answerPolls(map[string]PollReply{"a": running})
	r.submit("large", sized(1, 8))
	r.submit("small", sized(1, 4))
	orders := r.placeAndStart()
	is.Equal(len(orders), 1)
	is.Equal(orders[0].Task.Job, table.JobID("small"))
	is.Equal(len(r.StopOrders(r.now)), 1)
	running.Running = append(running.Running, r.listRunning("a").Running...)
	r.answerPolls(map[string]PollReply{"a": running})
	is.Equal(len(r.place()), 0) // not stopped yet
	r.list("a", TaskResult{Number: 1, Task: key("j", 0, 0), Run: 1, Cause: EndStopped})
	is.Equal(len(r.place()), 1)
}

// Guards against a start beside a run of which it is not known what it uses.
func TestWorkerWithAnUnknownRunTakesNothingUntilItHasEnded(t *testing.T) {
	is := is.New(t)
	r, running := finalRig("unknown")
	r.answerPolls(map[string]PollReply{"a": running})
	r.submit("small", sized(1, 1))
	is.Equal(len(r.place()), 0)
	r.list("a", TaskResult{Number: 1, Task: key("unknown", 0, 0), Run: 1, Cause: EndStopped})
	is.Equal(len(r.place()), 1)
}

// Guards against more tasks of a step on a worker than it allows, one of which is an earlier run that is being stopped.
func TestEarlierRunCountsAgainstTheTasksOfAStepOnAWorker(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.addWorkers("a", "b")
	spread := step(2)
	spread.MaxPerWorker = 1
	r.submit("j", spread)
	orders := r.placeAndStart()
	is.Equal(len(orders), 2)
	first, second := orders[0], orders[1]
	// The worker of the second task runs an earlier run of the first one, and its own run ends.
	listed := PollReply{
		Running: []RunningTask{{Task: first.Task, Run: 0}},
		Ended:   []TaskResult{{Number: 1, Task: second.Task, Run: second.Run, Cause: EndStopped}},
	}
	r.answerPolls(map[string]PollReply{string(second.Worker): listed})
	is.Equal(len(r.place()), 0)
	r.list(string(second.Worker), TaskResult{Number: 2, Task: first.Task, Run: 0, Cause: EndStopped})
	is.Equal(len(r.place()), 1)
}

// Guards against room that stays taken after a worker has started anew.
func TestRestartedWorkerHasNoRunsOfBefore(t *testing.T) {
	is := is.New(t)
	r, running := finalRig("j")
	r.answerPolls(map[string]PollReply{"a": running})
	r.restart("a", 2)
	is.True(r.answerAs("a", 2, PollReply{Clock: 150}))
	r.submit("large", sized(1, 16))
	is.Equal(len(r.place()), 1)
}

// Guards against a start in the room of a gang's later run, as the result of the earlier one comes while it is stopped.
func TestLaterRunOfADoneGangKeepsItsRoomUntilItHasEnded(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.addWorkers("a", "b")
	gang := sized(2, 12)
	gang.Gang = true
	r.submit("j", gang)
	r.placeAndStart()
	first, second := r.task(key("j", 0, 0)), r.task(key("j", 0, 1))
	first.run, second.run = 2, 2
	w, busy := first.worker.info.ID, second.worker.info.ID
	r.list(string(w), TaskResult{Number: 1, Task: first.key, Run: 2, Cause: EndGangBroken})
	r.now = r.now.Add(pollPause)
	l := r.listRunning(w)
	l.Ended = []TaskResult{{Number: 2, Task: first.key, Run: 1}}
	for _, o := range r.PollOrders(r.now, true) {
		if o.Worker == w {
			r.PollDone(o, r.now, l, nil, r.now)
		}
	}
	is.Equal(r.jobs["j"].state, workload.Completed)
	r.submit("k", sized(2, 8))
	orders := r.placeAndStart()
	is.Equal(len(orders), 2)
	for _, o := range orders {
		is.True(o.Worker != busy)
	}
}
