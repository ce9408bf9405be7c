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
	missing time.Time
	noted   bool      // handed on to the next leader
	drained time.Time // when a draining worker leaves at the earliest
	empties bool      // it is emptied for the maintenance of its machine

	token     FenceToken
	contacted bool // this leader has seen what runs there, in this life
	heard     time.Time
	silentBy  int // calls in a row without an answer

	clock      WorkerClock // at clockAt
	clockAt    time.Time
	leaseUntil time.Time // what runs there lapses no later, unless the lease is extended
	lookSent   time.Time // of the newest look that was applied
	looks      int       // in flight
	nextLook   time.Time
	urgent     bool                                    // a look must resolve something now
	strays     map[workload.TaskKey]workload.RunNumber // runs to stop that no task holds
	strayStop  time.Time
	fullUntil  time.Time    // it refused a start for want of room
	seen       ResultNumber // endings that the board has applied
	acked      ResultNumber // endings whose effect is in the log

	tasks   map[workload.TaskKey]*task
	used    table.Resources  // counted against the capacity
	serving table.Millicores // of tasks that serve, part of used
	serves  int
	fills   table.Millicores

	failStreak int
	badRounds  int
	badUntil   time.Time
	badWhy     string
	lastDone   time.Time
	levels     map[string]level            // pace of the tasks that fill, by image; full for the others
	byImage    map[string]int              // tasks that serve, by image
	planned    map[string]table.Millicores // of tasks that fill, by image
	leveled    time.Time
	leeways    map[string]leeway // by image that serves
	tolerance  float64           // share of the known images that fill which hardly disturb what serves here
	calmSince  time.Time
	highest    float64 // newest tail of the tasks that serve, as a share of their target
}

func newWorker(info WorkerInfo, token FenceToken) *worker {
	return &worker{
		info: info, token: token, tasks: map[workload.TaskKey]*task{}, byImage: map[string]int{},
		planned: map[string]table.Millicores{},
	}
}

// hold assigns t to w.
func (w *worker) hold(t *task, p phase) {
	t.group.idle--
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
	t.worker, t.phase, t.uncertain = nil, waiting, false
	t.group.idle++
	t.pace, t.percent, t.stopSent, t.stopWhy = fullPace, 0, time.Time{}, ""
	t.tail, t.cpu, t.pacing = 0, 0, false
}

func (w *worker) charge(t *task, sign int) {
	s := t.group.step
	n := t.group.need()
	n.CPU *= table.Millicores(sign)
	n.Memory *= table.Bytes(sign)
	n.Accelerators *= sign
	w.used = w.used.Plus(n)
	if s.BestEffort {
		w.fills += s.Need.CPU * table.Millicores(sign)
		w.planned[s.Image] += s.Need.CPU * table.Millicores(sign)
		if w.planned[s.Image] == 0 {
			delete(w.planned, s.Image)
		}
	}
	if s.LatencyCritical() {
		w.serving += s.Need.CPU * table.Millicores(sign)
		w.serves += sign
		w.byImage[s.Image] += sign
		if w.byImage[s.Image] == 0 {
			delete(w.byImage, s.Image)
		}
	}
}

// until returns the lease to ask for, and notes how long what runs may last; it returns 0 while the clock of the worker is not known.
func (w *worker) until(now time.Time, term time.Duration) WorkerClock {
	if w.clockAt.IsZero() {
		return 0
	}
	ahead := now.Sub(w.clockAt) + term
	// The worker's clock may run slow, so what runs there may outlast the term on ours.
	end := w.clockAt.Add(longestLease(ahead))
	if end.After(w.leaseUntil) {
		w.leaseUntil = end
	}
	return w.clock + WorkerClock(ahead/time.Millisecond)
}

// longestLease returns how long a lease of the given term may last on our clock.
func longestLease(term time.Duration) time.Duration {
	return time.Duration(float64(term)*(1+clockDrift)) + leaseSlack
}

// usable says whether w may get new work.
func (w *worker) usable(now time.Time) bool {
	return w.listed && !w.info.Draining && !w.empties && w.contacted && w.silentBy == 0 && !now.Before(w.badUntil) &&
		now.Sub(w.heard) < freshLook
}

// pressure estimates the processors in use as a share of the capacity, with the tasks that fill.
func (w *worker) pressure() float64 {
	return (w.counted() + float64(w.fills)) / w.processors()
}

// processors returns the processors of w in thousandths of a core, by which shares of it are reckoned; it is never 0.
func (w *worker) processors() float64 { return float64(max(1, w.info.Capacity.CPU)) }

// counted estimates the processors that tasks in front of those that fill take; tasks that serve leave part of their share unused.
func (w *worker) counted() float64 {
	return float64(w.used.CPU-w.serving) + servingUse*float64(w.serving)
}

func (w *worker) free() table.Resources { return w.info.Capacity.Minus(w.used) }

// bad keeps new work from w for a while that doubles with each round.
func (w *worker) bad(now time.Time, why string) bool {
	if now.Before(w.badUntil) {
		return false
	}
	w.badRounds++
	w.badUntil = now.Add(min(badLongest, badFirst<<min(w.badRounds-1, badDoublings)))
	w.badWhy = why
	w.failStreak = 0
	return true
}
