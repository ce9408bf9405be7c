package dispatch

import (
	"time"

	"persimmonpick/table"
	"persimmonpick/workload"
)

// worker is a worker as the leader knows it.
type worker struct {
	info    WorkerInfo
	listed  bool // in the list of workers
	missingSince time.Time
	handedOver   bool      // handed on to the next leader
	leavesAt time.Time // when a draining worker leaves at the earliest
	evacuating bool      // it is emptied for the maintenance of its machine

	token     FenceToken
	contacted bool // this leader has seen what runs there, in this life
	heard     time.Time
	missedPolls  int // calls in a row without an answer

	clock      WorkerClock // at clockAt
	clockAt    time.Time
	leaseUntil time.Time // what runs there lapses no later, unless the lease is extended
	pollSentAt   time.Time // of the newest look that was applied
	pollsInFlight      int       // in flight
	nextPollAt   time.Time
	urgent     bool                                    // a look must resolve something now
	strays     map[workload.TaskKey]workload.RunNumber // runs to stop that no task holds
	strayStop  time.Time
	fullUntil  time.Time    // it refused a start for want of room
	appliedResult       ResultNumber // endings that the board has applied
	loggedResult      ResultNumber // endings whose effect is in the log

	tasks   map[workload.TaskKey]*task
	used    table.Resources  // counted against the capacity
	criticalCPU table.Millicores // of tasks that serve, part of used
	criticalTasks  int
	bestEffortCPU   table.Millicores

	failStreak int
	quarantines  int
	quarantinedUntil   time.Time
	quarantineReason     string
	lastDone   time.Time
	throttles     map[string]throttle            // pace of the tasks that fill, by image; full for the others
	criticalByImage    map[string]int              // tasks that serve, by image
	bestEffortByImage    map[string]table.Millicores // of tasks that fill, by image
	throttledAt    time.Time
	headrooms    map[string]headroom // by image that serves
	tolerance  float64           // share of the known images that fill which hardly disturb what serves here
	calmSince  time.Time
	worstTail    float64 // newest tail of the tasks that serve, as a share of their target
}

func newWorker(info WorkerInfo, token FenceToken) *worker {
	return &worker{
		info: info, token: token, tasks: map[workload.TaskKey]*task{}, criticalByImage: map[string]int{},
		bestEffortByImage: map[string]table.Millicores{},
	}
}

// assign assigns t to w.
func (w *worker) assign(t *task, p phase) {
	t.group.waitingTasks--
	t.worker, t.phase = w, p
	w.tasks[t.key] = t
	w.charge(t, 1)
	t.group.perWorker[w.info.ID]++
	if t.group.rack == "" {
		t.group.rack = w.info.Rack
	}
}

// release takes t off its worker; it waits afterwards.
func (w *worker) release(t *task) {
	delete(w.tasks, t.key)
	w.charge(t, -1)
	t.group.perWorker[w.info.ID]--
	t.worker, t.phase, t.startUnknown = nil, waiting, false
	t.group.waitingTasks++
	t.cpuPercent, t.percent, t.stopSentAt, t.stopReason = fullPercent, 0, time.Time{}, ""
	t.tailLatency, t.cpuUsage, t.throttlePending = 0, 0, false
}

func (w *worker) charge(t *task, sign int) {
	s := t.group.step
	n := t.group.need()
	n.CPU *= table.Millicores(sign)
	n.Memory *= table.Bytes(sign)
	n.Accelerators *= sign
	w.used = w.used.Plus(n)
	if s.Fills {
		w.bestEffortCPU += s.Need.CPU * table.Millicores(sign)
		w.bestEffortByImage[s.Image] += s.Need.CPU * table.Millicores(sign)
		if w.bestEffortByImage[s.Image] == 0 {
			delete(w.bestEffortByImage, s.Image)
		}
	}
	if s.Serves() {
		w.criticalCPU += s.Need.CPU * table.Millicores(sign)
		w.criticalTasks += sign
		w.criticalByImage[s.Image] += sign
		if w.criticalByImage[s.Image] == 0 {
			delete(w.criticalByImage, s.Image)
		}
	}
}

// leaseUntilFor returns the lease to ask for, and notes how long what runs may last; it returns 0 while the clock of the worker is not known.
func (w *worker) leaseUntilFor(now time.Time, term time.Duration) WorkerClock {
	if w.clockAt.IsZero() {
		return 0
	}
	ahead := now.Sub(w.clockAt) + term
	// The worker's clock may run slow, so what runs there may outlast the term on ours.
	end := w.clockAt.Add(maxLeaseDuration(ahead))
	if end.After(w.leaseUntil) {
		w.leaseUntil = end
	}
	return w.clock + WorkerClock(ahead/time.Millisecond)
}

// maxLeaseDuration returns how long a lease of the given term may last on our clock.
func maxLeaseDuration(term time.Duration) time.Duration {
	return time.Duration(float64(term)*(1+clockDrift)) + leaseSlack
}

// usable says whether w may get new work.
func (w *worker) usable(now time.Time) bool {
	return w.listed && !w.info.Draining && !w.evacuating && w.contacted && w.missedPolls == 0 && !now.Before(w.quarantinedUntil) &&
		now.Sub(w.heard) < maxPollAge
}

// estimatedUse estimates the processors in use as a share of the capacity, with the tasks that fill.
func (w *worker) estimatedUse() float64 {
	return (w.committedCPU() + float64(w.bestEffortCPU)) / w.processors()
}

// processors returns the processors of w in thousandths of a core, by which shares of it are reckoned; it is never 0.
func (w *worker) processors() float64 { return float64(max(1, w.info.Capacity.CPU)) }

// committedCPU estimates the processors that tasks in front of those that fill take; tasks that serve leave part of their share unused.
func (w *worker) committedCPU() float64 {
	return float64(w.used.CPU-w.criticalCPU) + criticalCPUUse*float64(w.criticalCPU)
}

func (w *worker) free() table.Resources { return w.info.Capacity.Minus(w.used) }

// quarantine keeps new work from w for a while that doubles with each round.
func (w *worker) quarantine(now time.Time, why string) bool {
	if now.Before(w.quarantinedUntil) {
		return false
	}
	w.quarantines++
	w.quarantinedUntil = now.Add(min(quarantineMax, quarantineMin<<min(w.quarantines-1, quarantineDoublings)))
	w.quarantineReason = why
	w.failStreak = 0
	return true
}
