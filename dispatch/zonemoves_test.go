package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"persimmonpick/table"
)

// Guards against runs that are stopped while nothing can be started elsewhere.
func TestNoRunLeavesAZoneWhileStartsAreHeld(t *testing.T) {
	is := is.New(t)
	r := lastingInZone(4, 0)
	r.SetZoneRequests(ZoneRequests{Known: true, Age: r.cfg.EvacuationDelay, Zones: []table.ZoneID{"za"}}, r.now)
	is.Equal(r.stopped(), 0)
}

// Guards against two moves into the same room while the first run is being stopped.
func TestRoomOfAMoveIsNotGivenTwice(t *testing.T) {
	is := is.New(t)
	r := newZoneRig()
	r.evacuate("zb")
	small := step(100)
	small.LongRunning, small.Need = true, table.Resources{CPU: 1, Memory: 1}
	r.submit("small", small)
	for _, id := range []string{"j1", "j2"} {
		lasting := step(1)
		lasting.LongRunning = true
		lasting.Need.CPU = r.workers["a1"].info.Capacity.CPU * 6 / 10
		r.submit(id, lasting)
	}
	r.placeAndStart()
	r.settle()
	r.placeAndStart()
	r.settle()
	r.RemoveWorker("b2", r.now)
	r.workers["b2"].listed = false
	r.evacuate("za")
	for range 5 {
		r.now = r.now.Add(zoneMoveInterval)
		r.moveFromZones(r.now)
		r.StopOrders(r.now)
	}
	large := 0
	for _, w := range r.workers {
		for _, t := range w.tasks {
			if t.phase == stopping && t.group.need().CPU > w.info.Capacity.CPU/2 {
				large++
			}
		}
	}
	is.Equal(large, 1)
}

// Guards against a move that waits for its step's budget and is carried out when its place is gone.
func TestMoveThatWasNotCarriedOutIsConsideredAgain(t *testing.T) {
	is := is.New(t)
	r := lastingInZone(3, 1)
	r.now = r.now.Add(zoneMoveInterval)
	r.moveFromZones(r.now) // chosen
	var chosen, other *task
	for _, w := range r.workers {
		for _, t := range w.tasks {
			if t.stopReason == whyZone {
				chosen = t
			} else {
				other = t
			}
		}
	}
	other.percent = 50
	is.Equal(len(r.StopOrders(r.now)), 0) // budget
	r.roomWanted = true
	r.now = r.now.Add(time.Second)
	r.moveFromZones(r.now)
	other.percent = fullPercent
	is.Equal(len(r.StopOrders(r.now)), 0)
	is.Equal(chosen.stopReason, "")
}
