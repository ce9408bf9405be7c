package dispatch

import (
	"cmp"
	"slices"
	"time"

	"persimmonpick/table"
)

// Parameters of the evacuation of availability zones.
const (
	// The view of the operator's requests must be fresh enough that a start that is sent now arrives in time.
	zoneViewMargin = 2 * orderTimeout
	// A read that waits for records takes a second, so a lower limit would hold starts in calm.
	leastZoneViewAge  = 2 * time.Second
	zoneMoveInterval  = 200 * time.Millisecond
	zoneMovePause     = 10 * time.Second // a task that left a zone is not moved again for so long
	zoneShortRun      = 5 * time.Second  // a run that needs less until its end stays
	maxZoneMovesTried = 32               // moves tried per round, so that a round stays short
)

// whyZone is why a run is moved out of an availability zone that is evacuated.
const whyZone = "availability zone is evacuated"

// ZoneRequests is what this host knows of the operator's requests to evacuate availability zones.
type ZoneRequests struct {
	Known bool          // the requests have been read
	Age   time.Duration // a request that is older is known
	Zones []table.ZoneID
}

// zoneEvacuation is the evacuation of an availability zone.
type zoneEvacuation struct {
	since  time.Time // when this leader learned of it
	logged bool
	moves  int
	tasks  int  // left in the zone
	empty  bool // has been without tasks
}

// SetZoneRequests puts the operator's requests to evacuate availability zones in force. While they are not known or too
// old, nothing is started.
func (sched *Scheduler) SetZoneRequests(r ZoneRequests, now time.Time) {
	maxAge := max(leastZoneViewAge, sched.cfg.EvacuationDelay-zoneViewMargin)
	sched.holdStarts(sched.cfg.EvacuationDelay > 0 && (!r.Known || r.Age > maxAge), r)
	if !r.Known {
		return
	}
	changed := false
	for _, z := range r.Zones {
		if sched.zones[z] == nil {
			sched.zones[z] = &zoneEvacuation{since: now}
			changed = true
		}
	}
	for z, e := range sched.zones {
		if !slices.Contains(r.Zones, z) {
			delete(sched.zones, z)
			changed = true
			sched.cfg.Log.Info("availability zone taken back", "Zone", z, "After", now.Sub(e.since).Round(time.Millisecond), "Moves", e.moves, "Tasks", e.tasks)
		}
	}
	if !changed {
		return
	}
	for _, w := range sched.workers {
		sched.markZone(w)
	}
	sched.countZoneTasks(now)
}

// holdStarts stops or resumes all starts.
func (sched *Scheduler) holdStarts(hold bool, r ZoneRequests) {
	if hold == sched.startsHeld {
		return
	}
	sched.startsHeld = hold
	if hold {
		sched.cfg.Log.Warn("starts are held: requests to evacuate availability zones may be unknown", "Known", r.Known, "Age", r.Age.Round(time.Millisecond))
		return
	}
	sched.cfg.Log.Info("starts are resumed", "Age", r.Age.Round(time.Millisecond))
}

// markZone updates whether the availability zone of w is evacuated, and withdraws moves from one that was taken back.
func (sched *Scheduler) markZone(w *worker) {
	w.zoneEvacuated = sched.zones[w.info.Zone] != nil
	if w.zoneEvacuated {
		return
	}
	for _, t := range w.tasks {
		if t.phase == running && t.stopReason == whyZone {
			t.withdrawZoneMove()
		}
	}
}

// logZoneBegin logs an evacuation that begins, and whether the other zones have capacity for the work.
func (sched *Scheduler) logZoneBegin(z table.ZoneID) {
	var capacity, used table.Resources
	workers, tasks, others := 0, 0, 0
	for _, w := range sched.workers {
		switch {
		case w.info.Zone == z:
			workers++
			tasks += len(w.tasks)
			used = used.Plus(w.used)
		case w.listed && !w.zoneEvacuated && !w.info.Draining: // a new leader has not polled them yet
			others++
			capacity = capacity.Plus(w.info.Capacity)
			used = used.Plus(w.used)
		}
	}
	sched.cfg.Log.Info("availability zone evacuation began", "Zone", z, "Zones", len(sched.zones), "Workers", workers, "Tasks", tasks,
		"WorkersLeft", others, "CapacityLeft", capacity.CPU, "Used", used.CPU)
	switch {
	case workers == 0:
		sched.cfg.Log.Warn("no worker is in the availability zone to evacuate", "Zone", z)
	case others == 0:
		sched.cfg.Log.Error("no worker is left outside the availability zones to evacuate; nothing is started or moved", "Zone", z)
	case !used.Fits(capacity):
		sched.cfg.Log.Warn("the other availability zones lack capacity for the work", "Zone", z, "CapacityLeft", capacity.CPU, "Used", used.CPU)
	}
}

// ZoneTasks returns the number of tasks that are left in each availability zone that is evacuated.
func (sched *Scheduler) ZoneTasks() map[table.ZoneID]int {
	n := make(map[table.ZoneID]int, len(sched.zones))
	for z, e := range sched.zones {
		n[z] = e.tasks
	}
	return n
}

// countZoneTasks counts the tasks that are left in the zones, and logs evacuations that begin and zones that have
// become empty. It logs nothing before the worker list was read.
func (sched *Scheduler) countZoneTasks(now time.Time) {
	listed := false
	for _, e := range sched.zones {
		e.tasks = 0
	}
	for _, w := range sched.workers {
		listed = listed || w.listed
		if e := sched.zones[w.info.Zone]; e != nil {
			e.tasks += len(w.tasks)
		}
	}
	for z, e := range sched.zones {
		if listed && !e.logged {
			e.logged = true
			sched.logZoneBegin(z)
		}
		if listed && e.tasks == 0 && !e.empty {
			e.empty = true
			sched.cfg.Log.Info("availability zone is empty", "Zone", z, "After", now.Sub(e.since).Round(time.Millisecond), "Moves", e.moves)
		}
	}
}

// moveFromZones stops runs in the availability zones that are evacuated, so that they are started elsewhere: those that
// run without end, and those that lose little as they have checkpoints and much left to do. Others end where they are.
//
// It answers the load of a zone's work on the others: a run moves only while they have room for it that no other work
// waits for, few at a time.
func (sched *Scheduler) moveFromZones(now time.Time) {
	if len(sched.zones) == 0 || now.Sub(sched.zoneMovesAt) < zoneMoveInterval {
		return
	}
	sched.zoneMovesAt = now
	sched.countZoneTasks(now)
	leaving, movable, taken := sched.zoneMoves(now)
	if sched.startsHeld || sched.scarcity >= 1 || sched.roomWanted {
		return // where they are, the runs go on and take no room from work that waits
	}
	tried := 0
	for _, t := range leaving {
		if movable <= 0 || tried >= maxZoneMovesTried {
			return
		}
		if !t.mayLeaveStep(now) {
			continue
		}
		tried++
		t.zoneTriedAt = now
		to := sched.zoneDestination(t, taken, now)
		if to == nil {
			continue
		}
		movable--
		taken[to] = taken[to].Plus(t.group.need())
		t.stopReason, t.destination, t.zoneMovedAt = whyZone, to.info.ID, now
		t.moves++
		sched.counts.Moved++
		sched.zones[t.worker.info.Zone].moves++
		sched.cfg.Log.Info("moving run", "Task", t.key.String(), "Run", t.run, "Worker", t.worker.info.ID, "Zone", t.worker.info.Zone,
			"Why", whyZone, "To", to.info.ID, "Percent", t.percent, "Ran", table.FormatAgeAt(now, t.startedAt))
	}
}

// zoneMoves returns the runs to move, those that wait longest for their turn first, how many may be moved now, and what
// the runs that are being stopped will take elsewhere. It withdraws moves that were not carried out because of a
// disruption budget.
func (sched *Scheduler) zoneMoves(now time.Time) ([]*task, int, map[*worker]table.Resources) {
	var leaving []*task
	taken := map[*worker]table.Resources{}
	lasting, moving := 0, 0
	for _, w := range sched.workers {
		lasting += w.longRunning
		for _, t := range w.tasks {
			if t.stopReason == whyZone && t.phase == running {
				t.withdrawZoneMove()
			}
			switch {
			case t.stopReason == whyZone:
				moving++
				if to := sched.workers[t.destination]; to != nil {
					taken[to] = taken[to].Plus(t.group.need())
				}
			case w.zoneEvacuated && t.leavesZone(now):
				leaving = append(leaving, t)
			}
		}
	}
	slices.SortFunc(leaving, func(a, b *task) int {
		return cmp.Or(a.zoneTriedAt.Compare(b.zoneTriedAt), cmp.Compare(a.key.Job, b.key.Job),
			cmp.Compare(a.key.Occurrence, b.key.Occurrence), cmp.Compare(a.key.Step, b.key.Step), cmp.Compare(a.key.Index, b.key.Index))
	})
	return leaving, max(1, int(maxInterrupted*float64(lasting))) - moving, taken
}

func (t *task) withdrawZoneMove() { t.stopReason, t.destination, t.zoneMovedAt = "", "", time.Time{} }

// leavesZone reports whether t, which runs in a zone that is evacuated, is better moved than left to end.
func (t *task) leavesZone(now time.Time) bool {
	s := t.group.step
	if t.phase != running || t.stopReason != "" || s.Gang || t.justLeftZone(now) || t.late.mayComeAt(now) {
		return false
	}
	return s.LongRunning || s.Checkpoints && t.remaining(now) > zoneShortRun
}

// justLeftZone reports whether t was moved out of a zone so recently that it stays where it is.
func (t *task) justLeftZone(now time.Time) bool {
	return !t.zoneMovedAt.IsZero() && now.Sub(t.zoneMovedAt) < zoneMovePause
}

// remaining estimates how long the run of t takes until its end.
func (t *task) remaining(now time.Time) time.Duration {
	ran := now.Sub(t.startedAt)
	if t.percent <= 0 {
		return time.Duration(t.group.step.Estimate)*time.Millisecond - ran
	}
	return ran * time.Duration(fullPercent-t.percent) / time.Duration(t.percent)
}

// mayLeaveStep reports whether t may be away by our doing: one task of a step at a time, also where the step states no
// disruption budget.
func (t *task) mayLeaveStep(now time.Time) bool {
	s := t.group.step
	if !s.LongRunning {
		return true
	}
	missing := 0
	for _, o := range t.group.tasks {
		if o == t {
			continue
		}
		atWork := o.knownReady()
		if o.stopReason != "" || !atWork && o.justLeftZone(now) {
			return false
		}
		if !atWork {
			missing++
		}
	}
	return missing < max(1, s.MaxUnavailable)
}

// zoneDestination returns the best worker for t beside what is taken, or nil if there is none.
func (sched *Scheduler) zoneDestination(t *task, taken map[*worker]table.Resources, now time.Time) *worker {
	var best *worker
	var bestScore float64
	for _, w := range sched.workers {
		if !w.usable(now) || !t.group.need().Fits(w.free().Minus(taken[w])) || !sched.fits(t, w, now) {
			continue
		}
		s := sched.score(t, w, now)
		if best == nil || s < bestScore || s == bestScore && w.info.ID < best.info.ID {
			best, bestScore = w, s
		}
	}
	return best
}
