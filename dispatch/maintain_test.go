package dispatch

import (
	"testing"

	"github.com/matryer/is"

	"persimmonpick/maintenance"
	"persimmonpick/table"
)

// TestWorkerIsEmptiedForMaintenance plays a worker with a short task, a lasting one and a lasting one that its step cannot spare.
func TestWorkerIsEmptiedForMaintenance(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.list("a")
	lasting, budgeted := step(1), step(2)
	lasting.LongRunning = true
	budgeted.LongRunning, budgeted.MaxUnavailable = true, 1
	r.submit("lasting", lasting)
	r.submit("budgeted", budgeted)
	r.submit("short", step(1))
	is.Equal(len(r.start()), 4)
	at := func(percent int) PollReply {
		return PollReply{Running: []RunningTask{
			{Task: key("lasting", 0, 0), Run: 1, Percent: 100},
			{Task: key("short", 0, 0), Run: 1, Percent: 50},
			{Task: key("budgeted", 0, 0), Run: 1, Percent: 100},
			{Task: key("budgeted", 0, 1), Run: 1, Percent: percent},
		}}
	}
	r.answer(map[string]PollReply{"a": at(20)})
	is.Equal(r.Evacuate([]table.WorkerID{"a", "unknown"}), map[table.WorkerID]maintenance.Remaining{"a": {Tasks: 4, Held: true}, "unknown": {}})
	r.submit("new", step(1))
	is.Equal(len(r.start()), 0)
	r.Decide(r.now)
	stops := map[string]bool{}
	for _, o := range r.StopOrders(r.now) {
		stops[o.Task.String()] = true
	}
	is.Equal(stops, map[string]bool{"lasting.0.0.0": true, "budgeted.0.0.1": true}) // the other of the step is at work and alone
	is.Equal(len(r.Evacuate(nil)), 0)
	is.True(r.workers["a"].usable(r.now))
}

// TestWhatIsHandedOnIsWrittenFirst plays a note for the next leader.
func TestWhatIsHandedOnIsWrittenFirst(t *testing.T) {
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
