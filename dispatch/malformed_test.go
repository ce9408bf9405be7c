package dispatch

import (
	"testing"

	"github.com/matryer/is"

	"persimmonpick/ledger"
	"persimmonpick/table"
	"persimmonpick/workload"
)

// TestMalformedProgressHarmsNobody plays a record of progress that no leader writes: the job goes on, and so does the leader.
func TestMalformedProgressHarmsNobody(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.list("a")
	e := entryOf(r, "j")
	e.Submission.Spec.Steps = []workload.Step{step(1)}
	rec, err := ledger.ProgressRecord("j", workload.Progress{Tasks: []workload.TaskProgress{
		{Index: -2, Run: 1, Phase: workload.Done}, {Index: 7, Run: 1}, {Step: -1}, {Step: 9}, {Occurrence: -1}, {Occurrence: 1 << 30},
	}})
	is.NoErr(err)
	e.Progress = rec.Value
	r.SetEntry(e, r.now)
	r.SetEntry(ledger.Entry{ID: "k", Submission: e.Submission, Progress: []byte{0xff}}, r.now)
	is.Equal(len(r.start()), 2)
}

// TestMalformedListsHarmNobody plays answers of a worker that name tasks which there cannot be.
func TestMalformedListsHarmNobody(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.list("a")
	r.submit("j", step(1))
	r.start()
	odd := []workload.TaskKey{{}, key("j", -1, 0), key("j", 0, -1), key("j", 5, 5), {Job: "j", Occurrence: -3}, {Job: table.JobID(make([]byte, 300))}}
	var l PollReply
	for i, k := range odd {
		l.Running = append(l.Running, RunningTask{Task: k, Run: 1, Percent: -500, Tail: -1, CPU: -1})
		l.Ended = append(l.Ended, TaskResult{Number: ResultNumber(i - 2), Task: k, Cause: EndCause(i)})
	}
	r.answer(map[string]PollReply{"a": l})
	r.round()
	is.Equal(len(r.jobs), 1)
}

// TestMalformedJobHarmsNobody plays the record of a job whose step waits for one that is not there; every leader reads it.
func TestMalformedJobHarmsNobody(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.list("a")
	odd := step(1)
	odd.After = []int{7}
	r.submit("odd", odd)
	r.submit("j", step(1))
	is.Equal(len(r.start()), 1)
}
