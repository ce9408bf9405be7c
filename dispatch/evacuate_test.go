package dispatch

import (
	"testing"

	"github.com/matryer/is"

	"persimmonpick/maintenance"
	"persimmonpick/table"
)

// A worker runs a short task, a long-running one, and two long-running ones with a disruption budget. Evacuation
// must move only what the budget allows and leave the short task alone.
func TestWorkerIsEvacuatedForMaintenance(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.addWorkers("a")
	longRunning, budgeted := step(1), step(2)
	longRunning.LongRunning = true
	budgeted.LongRunning, budgeted.MaxUnavailable = true, 1
	r.submit("lasting", longRunning)
	r.submit("budgeted", budgeted)
	r.submit("short", step(1))
	is.Equal(len(r.placeAndStart()), 4)
	at := func(percent int) PollReply {
		return PollReply{Running: []RunningTask{
			{Task: key("lasting", 0, 0), Run: 1, Percent: 100},
			{Task: key("short", 0, 0), Run: 1, Percent: 50},
			{Task: key("budgeted", 0, 0), Run: 1, Percent: 100},
			{Task: key("budgeted", 0, 1), Run: 1, Percent: percent},
		}}
	}
	r.answerPolls(map[string]PollReply{"a": at(20)})
	is.Equal(r.Evacuate([]table.WorkerID{"a", "unknown"}), map[table.WorkerID]maintenance.Remaining{"a": {Tasks: 4, Blocked: true}, "unknown": {}})
	r.submit("new", step(1))
	is.Equal(len(r.placeAndStart()), 0)
	r.Decide(r.now)
	stops := map[string]bool{}
	for _, o := range r.StopOrders(r.now) {
		stops[o.Task.String()] = true
	}
	// The other task of the step is the only one that is ready.
	is.Equal(stops, map[string]bool{"lasting.0.0.0": true, "budgeted.0.0.1": true})
	is.Equal(len(r.Evacuate(nil)), 0)
	is.True(r.workers["a"].usable(r.now))
}

// HandOver must not report a record as written before it is in the log.
func TestHandOverReportsAfterTheWrite(t *testing.T) {
	is := is.New(t)
	r := newRig()
	written := false
	r.HandOver("wave/1", []byte("x"), func() { written = true })
	f := r.Flush(r.now)
	is.Equal(len(f.records), 1)
	is.True(!written)
	r.Flushed(f, r.now, true)
	is.True(written)
}
