package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"persimmonpick/fault"
	"persimmonpick/table"
)

// newZoneRig returns a rig with the workers a1 and a2 in zone za and b1 and b2 in zone zb.
func newZoneRig() *rig {
	r := newRig()
	r.cfg.EvacuationDelay = 5 * time.Second
	for _, id := range []string{"a1", "a2", "b1", "b2"} {
		info := r.workerInfo(id)
		info.Zone = table.ZoneID("z" + id[:1])
		r.SetWorker(info, r.now)
	}
	r.evacuate()
	r.answerPolls(map[string]PollReply{})
	return r
}

// lastingInZone returns a rig with n tasks of one long-running step at work in zone za, which is then evacuated while
// zone zb is open. So many of them may be away at the same time.
func lastingInZone(n, maxUnavailable int) *rig {
	r := newZoneRig()
	r.evacuate("zb")
	lasting := step(n)
	lasting.LongRunning, lasting.MaxUnavailable = true, maxUnavailable
	r.submit("lasting", lasting)
	r.placeAndStart()
	r.settle()
	r.evacuate("za")
	return r
}

func (r *rig) evacuate(zs ...table.ZoneID) {
	r.SetZoneRequests(ZoneRequests{Known: true, Zones: zs}, r.now)
}

// startsIn starts what can be placed, and counts the starts in a zone.
func (r *rig) startsIn(zone table.ZoneID) (inside, outside int) {
	for _, o := range r.placeAndStart() {
		if r.workers[o.Worker].info.Zone == zone {
			inside++
		} else {
			outside++
		}
	}
	return inside, outside
}

// settle lets all runs be listed as at work.
func (r *rig) settle() {
	r.now = r.now.Add(time.Second)
	replies := map[string]PollReply{}
	for id := range r.workers {
		l := r.listRunning(id)
		for i := range l.Running {
			l.Running[i].Percent = fullPercent
		}
		replies[string(id)] = l
	}
	r.answerPolls(replies)
}

// stopped carries out all stops that are due and returns how many there were.
func (r *rig) stopped() int {
	r.now = r.now.Add(zoneMoveInterval)
	r.moveFromZones(r.now)
	ended := map[string]PollReply{}
	for _, o := range r.StopOrders(r.now) {
		l := ended[string(o.Worker)]
		l.Ended = append(l.Ended, TaskResult{Number: r.workers[o.Worker].appliedResult + ResultNumber(len(l.Ended)) + 1, Task: o.Task, Run: o.Run, Cause: EndStopped})
		ended[string(o.Worker)] = l
	}
	n := 0
	for id, l := range ended {
		n += len(l.Ended)
		w := r.workers[table.WorkerID(id)]
		w.pollUrgently(r.now)
		for _, t := range w.tasks {
			if t.phase != stopping {
				l.Running = append(l.Running, RunningTask{Task: t.key, Run: t.run, Percent: t.percent})
			}
		}
		ended[id] = l
	}
	r.answerPolls(ended)
	return n
}

// Guards against a start in a zone by tasks that were reserved there before the request became known.
func TestReservedTasksDoNotStartInAnEvacuatedZone(t *testing.T) {
	is := is.New(t)
	r := newZoneRig()
	r.submit("j", step(40))
	r.Decide(r.now)
	f := r.Flush(r.now)
	r.evacuate("za")
	for _, o := range r.Flushed(f, r.now, true) {
		is.Equal(r.workers[o.Worker].info.Zone, table.ZoneID("zb"))
	}
	r.now = r.now.Add(refusedBackoff)
	inside, outside := r.startsIn("za")
	is.Equal(inside, 0)
	is.True(outside > 0)
}

// Guards against a new leader that starts tasks in a zone before it knows the requests.
func TestNextLeaderStartsNothingBeforeItKnowsTheRequests(t *testing.T) {
	is := is.New(t)
	r := newZoneRig() // the leader that was killed right after the request is not needed any more
	r.SetZoneRequests(ZoneRequests{}, r.now)
	r.submit("j", step(8))
	is.Equal(len(r.place()), 0)
	r.evacuate("za")
	inside, outside := r.startsIn("za")
	is.Equal(inside, 0)
	is.Equal(outside, 8)
}

// Guards against starts by a leader that is cut off from the operator's requests, and of what it has reserved before.
func TestLeaderWithAnOldViewOfTheRequestsStartsNothing(t *testing.T) {
	is := is.New(t)
	r := newZoneRig()
	r.submit("j", step(4))
	r.Decide(r.now)
	f := r.Flush(r.now)
	r.SetZoneRequests(ZoneRequests{Known: true, Age: r.cfg.EvacuationDelay - orderTimeout}, r.now)
	is.Equal(len(r.Flushed(f, r.now, true)), 0)
	r.now = r.now.Add(refusedBackoff)
	is.Equal(len(r.place()), 0)
	r.SetZoneRequests(ZoneRequests{Known: true, Age: 2 * time.Second}, r.now)
	is.Equal(len(r.place()), 4)
}

// Guards against deployments that state no delay and whose starts wait for the requests all the same.
func TestStartsDoNotWaitForRequestsWithoutAStatedDelay(t *testing.T) {
	is := is.New(t)
	r := newZoneRig()
	r.cfg.EvacuationDelay = 0
	r.SetZoneRequests(ZoneRequests{Age: time.Hour}, r.now)
	r.submit("j", step(4))
	is.Equal(len(r.place()), 4)
}

// Guards against starts that are held in calm where the stated delay is shorter than a read that waits.
func TestStartsAreNotHeldInCalmByAShortDelay(t *testing.T) {
	is := is.New(t)
	r := newZoneRig()
	r.cfg.EvacuationDelay = time.Second
	r.SetZoneRequests(ZoneRequests{Known: true, Age: 1500 * time.Millisecond}, r.now)
	r.submit("j", step(4))
	is.Equal(len(r.place()), 4)
}

// Guards against work thrown away and gaps in service: short runs end where they are, and of a long-running step one
// task at a time moves.
func TestEvacuatedZoneIsDrainedGently(t *testing.T) {
	for name, budget := range map[string]int{"NoBudget": 0, "Budget": 2} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newZoneRig()
			r.evacuate("zb") // all runs start in za
			lasting := step(4)
			lasting.LongRunning, lasting.MaxUnavailable = true, budget
			r.submit("lasting", lasting)
			r.submit("short", step(3))
			is.Equal(len(r.placeAndStart()), 7)
			r.settle()
			r.evacuate("za")
			for range 4 {
				is.Equal(r.stopped(), 1)
				is.Equal(r.stopped(), 0) // the task is not back yet
				_, outside := r.startsIn("za")
				is.Equal(outside, 1)
				is.Equal(r.stopped(), 0) // nor at work
				r.settle()
			}
			is.Equal(r.stopped(), 0)
			is.Equal(r.ZoneTasks(), map[table.ZoneID]int{"za": 3})
			r.evacuate("zb")
			is.Equal(r.stopped(), 0) // what was just moved stays
		})
	}
}

// Guards against runs that are stopped though they have no place elsewhere.
func TestRunsStayWhereNoRoomIsLeft(t *testing.T) {
	is := is.New(t)
	r := newZoneRig()
	lasting := step(2)
	lasting.LongRunning = true
	r.submit("lasting", lasting)
	r.placeAndStart()
	r.settle()
	r.evacuate("za", "zb")
	r.submit("j", step(1))
	for range 5 {
		is.Equal(r.stopped(), 0)
		is.Equal(len(r.place()), 0)
	}
}

// Guards against runs that move into room that waiting work needs.
func TestRunsStayWhileWorkWaitsForRoom(t *testing.T) {
	is := is.New(t)
	r := lastingInZone(2, 0)
	r.zoneMovesAt = r.now // so that the next decision on places comes first
	large := step(3)
	large.Need.CPU = 10000
	r.submit("large", large)
	is.Equal(len(r.placeAndStart()), 2)
	is.Equal(r.stopped(), 0)
	e := entryOf(r, "large")
	e.Cancelled = true
	r.SetEntry(e, r.now)
	r.stopped() // the tasks of the cancelled job
	r.place()
	r.settle()
	is.True(r.stopped() > 0)
}

// Guards against moves that go on, and a zone that stays closed, once the request is withdrawn halfway.
func TestWithdrawnEvacuationStopsMoves(t *testing.T) {
	is := is.New(t)
	r := lastingInZone(4, 0)
	is.Equal(r.stopped(), 1)
	r.placeAndStart()
	r.settle()
	r.now = r.now.Add(zoneMoveInterval)
	r.moveFromZones(r.now) // chooses the next one
	r.evacuate()
	is.Equal(len(r.StopOrders(r.now)), 0)
	is.Equal(r.stopped(), 0)
	r.submit("j", step(50))
	inside, _ := r.startsIn("za")
	is.True(inside > 0)
}

// Guards against runs lost with a zone's workers that are started in the zone again, on workers that came back.
func TestWorkersOfAnEvacuatedZoneCrash(t *testing.T) {
	is := is.New(t)
	r := newZoneRig()
	r.evacuate("zb")
	r.submit("j", step(6))
	is.Equal(len(r.placeAndStart()), 6)
	r.evacuate("za")
	for _, id := range []string{"a1", "a2"} {
		info := r.workerInfo(id)
		info.Zone, info.Incarnation = "za", 2
		r.SetWorker(info, r.now)
	}
	restarted := 0
	for range 60 {
		r.now = r.now.Add(100 * time.Millisecond)
		for _, o := range r.PollOrders(r.now, true) {
			l := PollReply{Incarnation: 2, Clock: WorkerClock(r.now.UnixMilli())}
			if o.Worker[0] == 'b' {
				l = r.listRunning(o.Worker)
			}
			r.PollDone(o, r.now, l, nil, r.now)
		}
		inside, outside := r.startsIn("za")
		is.Equal(inside, 0)
		restarted += outside
	}
	is.Equal(restarted, 6)
}

// Guards against a worker that becomes known during the evacuation and is taken for one outside.
func TestWorkerThatAppearsInAnEvacuatedZoneGetsNothing(t *testing.T) {
	is := is.New(t)
	r := newZoneRig()
	r.evacuate("za", "zb", "zc", "unknown")
	info := r.workerInfo("c1")
	info.Zone = "zc"
	r.SetWorker(info, r.now)
	r.answerPolls(map[string]PollReply{})
	r.submit("j", step(2))
	is.Equal(len(r.place()), 0)
	r.evacuate("za", "zb", "unknown")
	is.Equal(len(r.place()), 2)
}

// Guards against an order that a silent worker of the zone leaves unanswered and that is repeated in the zone.
func TestUnansweredStartIsNotRepeatedInAnEvacuatedZone(t *testing.T) {
	is := is.New(t)
	r := newZoneRig()
	r.evacuate("zb")
	r.submit("j", step(1))
	o := r.place()[0]
	r.evacuate("za")
	r.StartDone(o, StartUnknown, r.now)
	for range 300 {
		r.now = r.now.Add(100 * time.Millisecond)
		for _, p := range r.PollOrders(r.now, true) {
			if p.Worker == o.Worker {
				r.PollDone(p, r.now, PollReply{}, fault.New(fault.OutcomeUnknown, "silent"), r.now)
				continue
			}
			r.PollDone(p, r.now, r.listRunning(p.Worker), nil, r.now)
		}
		if inside, outside := r.startsIn("za"); inside+outside > 0 {
			is.Equal(inside, 0)
			return
		}
	}
	t.Fatal("the task is not started again")
}
