package triage

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"persimmonpick/table"
	"persimmonpick/workload"
)

const (
	tick     = 50 * time.Millisecond
	taskTime = 700 * time.Millisecond
)

// shop is a site with interchangeable places for tasks, on a simulated clock.
type shop struct {
	policy  *Policy
	start   time.Time
	free    int
	waiting []*order
	running map[time.Duration][]*order // one entry for each task, by its end
}

// order is a job in a shop, and what its caller gets.
type order struct {
	Job
	since             time.Duration
	tasks, unfinished int
	took              time.Duration // 0 until it is done
	gone              time.Duration // of a long-running job, until all its tasks have room again
}

func newShop(places int, cfg Config) *shop {
	cfg.LateFactor, cfg.PathMargin, cfg.MaxDeferral = 3, 0.9, 2500*time.Millisecond
	p := New(cfg)
	p.SetQueues([]workload.Queue{{ID: "urgent"}, {ID: "bulk", Priority: 2}})
	return &shop{policy: p, start: time.Unix(1_000_000, 0), free: places, running: map[time.Duration][]*order{}}
}

func (s *shop) submit(o *order, at time.Duration) *order {
	o.Key.Job, o.since, o.unfinished, o.Size = table.JobID(fmt.Sprintf("%s-%d", at, len(s.waiting))), at, o.tasks, Work(o.tasks)
	o.From, o.IdleSince = s.start.Add(at), s.start.Add(at)
	s.waiting = append(s.waiting, o)
	return o
}

func (s *shop) step(at time.Duration) {
	for _, o := range s.running[at] {
		s.free++
		if o.unfinished--; o.unfinished == 0 {
			o.took = at - o.since
			s.policy.Ended(&o.Job, s.start.Add(at))
		}
	}
	jobs := make([]Job, 0, len(s.waiting))
	byKey := map[Key]*order{}
	for _, o := range s.waiting {
		if !o.LongRunning {
			o.Left = Work(o.unfinished)
		}
		jobs, byKey[o.Key] = append(jobs, o.Job), o
	}
	s.policy.Sort(jobs, s.start.Add(at))
	s.waiting = nil
	for _, j := range jobs {
		o := byKey[j.Key]
		n := min(s.free, o.tasks)
		s.free -= n
		o.tasks -= n
		if o.tasks > 0 {
			s.waiting = append(s.waiting, o)
		}
		if o.LongRunning {
			if o.tasks == 0 {
				o.gone = at - o.since
			}
			continue
		}
		for range n {
			s.running[at+taskTime] = append(s.running[at+taskTime], o)
		}
	}
}

func shortJob(tasks int) *order {
	return &order{tasks: tasks, Job: Job{Objective: 1500 * time.Millisecond, Path: taskTime, Value: min(4, 0.3+0.7*float64(tasks)/10)}}
}

// burst plays a burst of urgent short jobs in which a long-running job loses most of the room, and returns the share
// of the short jobs on time and how long the long-running one is gone.
func burst(cfg Config) (onTime float64, gone time.Duration) {
	s := newShop(100, cfg)
	var short []*order
	lasting := &order{tasks: 70, Job: Job{LongRunning: true, Returning: true, Objective: 3500 * time.Millisecond, Left: 10}}
	for at := time.Duration(0); at < 20*time.Second; at += tick {
		if at < 5*time.Second && at%(100*time.Millisecond) == 0 {
			short = append(short, s.submit(shortJob(10), at))
		}
		if at == 2*time.Second {
			s.submit(lasting, at)
		}
		s.step(at)
	}
	n := 0
	for _, o := range short {
		if o.took > 0 && o.took <= o.Objective {
			n++
		}
	}
	return float64(n) / float64(len(short)), lasting.gone
}

// Guards against urgent short jobs being late since long-running tasks that were displaced take the room at once.
func TestUrgentJobsAreOnTimeWhileLongRunningTasksAreDisplaced(t *testing.T) {
	is := is.New(t)
	without, goneWithout := burst(Config{})
	with, gone := burst(Config{DeferReturning: true})
	t.Logf("on time %.2f, %.2f; gone %s, %s", without, with, goneWithout, gone)
	is.True(with >= 0.95)
	is.True(without < 0.8)
	// Beyond its objective the long-running job waits for one run of a task at most.
	is.True(gone <= 3500*time.Millisecond+taskTime+tick)
}

// Guards against an order by value per work that starves the large jobs of a kind under twice the load that fits.
func TestNoSizeOfJobIsStarved(t *testing.T) {
	is := is.New(t)
	s := newShop(100, Config{DeferReturning: true, Floor: true})
	sizes := []int{4, 5, 6, 6, 8, 8, 10, 16, 18, 30} // of each ten jobs
	bySize := map[int][]*order{}
	for at := time.Duration(0); at < 60*time.Second; at += tick {
		if at < 50*time.Second {
			n := sizes[int(at/tick)*7%len(sizes)]
			bySize[n] = append(bySize[n], s.submit(shortJob(n), at))
		}
		s.step(at)
	}
	served := func(sizes ...int) float64 {
		n, all := 0, 0
		for _, size := range sizes {
			for _, o := range bySize[size] {
				all++
				if o.took > 0 && o.took <= 3*o.Objective {
					n++
				}
			}
		}
		return float64(n) / float64(all)
	}
	all := served(4, 5, 6, 8, 10, 16, 18, 30)
	t.Logf("served: all %.2f, large %.2f, largest %.2f", all, served(16, 18), served(30))
	is.True(served(30) >= all/2)
	is.True(served(16, 18) >= all/2)
}

// Guards against a service whose queues declare one priority being served in another order than before.
func TestOneDeclaredPriorityLeavesTheOrderAsItWas(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	p := New(Config{LateFactor: 3, PathMargin: 0.9, DeferReturning: true, LeaveLate: true, MoveTime: time.Second, Floor: true})
	p.SetQueues([]workload.Queue{{ID: "a", Service: "s"}, {ID: "b", Service: "s"}, {ID: "c", Service: "t", Priority: 1}})
	jobs := []Job{
		{Key: Key{Job: "short"}, Service: "s", From: now, Objective: time.Second, Value: 1, Left: 1},
		{Key: Key{Job: "useless"}, Service: "s", From: now.Add(-time.Minute), Objective: time.Second, Value: 1, Left: 1},
		{Key: Key{Job: "returning"}, Service: "s", From: now, IdleSince: now, Objective: time.Second, Left: 1, LongRunning: true, Returning: true},
		{Key: Key{Job: "bulk"}, Service: "s", Priority: 1, From: now, Objective: time.Second, Value: 1, Left: 1},
	}
	p.Sort(jobs, now)
	var order []table.JobID
	for _, j := range jobs {
		order = append(order, j.Key.Job)
	}
	is.Equal(order, []table.JobID{"returning", "short", "useless", "bulk"})
	is.True(p.LeavesNow("s", time.Minute, true))
}

// Guards against long-running tasks that leave a worker while short jobs need the room, or too late to start elsewhere.
func TestLongRunningTasksLeaveLateWhileRoomIsScarce(t *testing.T) {
	is := is.New(t)
	p := New(Config{LeaveLate: true, MoveTime: 2 * time.Second})
	p.SetQueues([]workload.Queue{{ID: "a", Service: "s"}, {ID: "b", Service: "s", Priority: 2}})
	is.True(!p.LeavesNow("s", 3*time.Second, true))
	is.True(p.LeavesNow("s", 2*time.Second, true))
	is.True(p.LeavesNow("s", 3*time.Second, false))
}

// Guards against displaced long-running tasks that come after newcomers and late jobs, and that wait for too long.
func TestDisplacedTasksComeBeforeNewcomersAndNotTooLate(t *testing.T) {
	is := is.New(t)
	p := New(Config{LateFactor: 3, PathMargin: 0.9, DeferReturning: true, MaxDeferral: 2500 * time.Millisecond})
	p.SetQueues([]workload.Queue{{ID: "a", Service: "s"}, {ID: "b", Service: "s", Priority: 2}})
	now := time.Unix(1_000_000, 0)
	jobs := []Job{
		{Key: Key{Job: "new"}, Service: "s", From: now, Objective: 4 * time.Second, Left: 5, LongRunning: true},
		{
			Key: Key{Job: "displaced"}, Service: "s", IdleSince: now.Add(-time.Second), Objective: 12 * time.Second, Left: 6,
			LongRunning: true, Returning: true,
		},
		{Key: Key{Job: "late"}, Queue: "a", Service: "s", From: now.Add(-2 * time.Second), Objective: time.Second, Value: 4, Left: 6},
	}
	p.Sort(jobs, now)
	is.Equal(jobs[0].Key.Job, table.JobID("displaced"))
	is.Equal(p.Outlook(&jobs[0], now), Late)
	is.Equal(p.Outlook(&jobs[0], now.Add(1500*time.Millisecond)), OnTime)
}
