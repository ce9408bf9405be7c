package dispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"persimmonpick/table"
	"persimmonpick/workload"
)

// TestUnbearableImageHoldsUpNoOther plays an image that no worker bears in front of one that all of them bear.
func TestUnbearableImageHoldsUpNoOther(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.list("a")
	r.submit("s", servingStep(1, "serve"))
	r.start()
	s := r.images.of("serve")
	s.add("heavy")
	s.add("light")
	s.mean[s.index["heavy"]], s.mean[s.index["light"]] = 20, 0
	fill := step(1)
	fill.BestEffort, fill.Image, fill.Estimate = true, "heavy", 100
	r.submit("h", fill)
	fill.Image, fill.Estimate = "light", 1000
	r.submit("l", fill)
	r.now = r.now.Add(time.Millisecond)
	orders := r.start()
	is.Equal(len(orders), 1)
	is.Equal(orders[0].Task.Job, key("l", 0, 0).Job)
}

// The load of a colocated site, after that of the users' heavier days: most of the capacity is promised to tasks that serve, whose users come in waves, and each image that fills disturbs some images that serve and not others.
const (
	siteWorkers  = 24
	siteTick     = 20 * time.Millisecond
	siteWork     = 2700 * time.Millisecond // of a task that fills
	siteWave     = 14 * time.Second
	siteUnloaded = 10.0 // milliseconds, tail without load
	siteTarget   = 45   // milliseconds
	siteHeavy    = 3.0  // load that a whole worker of an image adds where it disturbs
	siteLight    = 0.1
)

// site plays workers for a board.
type site struct {
	*rig
	rnd     *rand.Rand
	began   time.Time
	done    map[workload.TaskKey]time.Duration // work done by runs that fill
	ended   map[table.WorkerID][]TaskResult
	numbers map[table.WorkerID]ResultNumber

	served, missed time.Duration // of tasks that serve: all, and over their target by what fills beside them
}

func newSite() *site {
	s := &site{
		rig: newRig(), rnd: rand.New(rand.NewPCG(1, 2)), done: map[workload.TaskKey]time.Duration{},
		ended: map[table.WorkerID][]TaskResult{}, numbers: map[table.WorkerID]ResultNumber{},
	}
	for n := range siteWorkers {
		s.list(fmt.Sprintf("w%02d", n))
	}
	s.began = s.now
	return s
}

// factorOf returns the load that a whole worker of fill adds to serve; images of one parity disturb each other.
func factorOf(fill, serve string) float64 {
	f, s := fill[len(fill)-1]-'0', serve[len(serve)-1]-'0'
	if f >= 4 || f%2 != s%2 {
		return siteLight
	}
	return siteHeavy
}

// users returns the load that the users of a task put on it.
func (s *site) users(t *task) float64 {
	phase := float64(len(t.key.Job)) + float64(t.key.Job[len(t.key.Job)-1])
	return 0.42 * (1 + 0.6*math.Sin(phase+2*math.Pi*s.now.Sub(s.began).Seconds()/siteWave.Seconds()))
}

// neighbors returns the load that what fills on w adds to a task.
func neighbors(w *worker, t *task) float64 {
	sum := 0.0
	for _, o := range w.tasks {
		if o.group.step.BestEffort && o.phase == running {
			sum += factorOf(o.group.step.Image, t.group.step.Image) * float64(o.group.step.Need.CPU) * float64(o.pace) / fullPace / float64(w.info.Capacity.CPU)
		}
	}
	return sum
}

func tailOf(load float64) float64 { return siteUnloaded / max(0.05, 1-load) }

func (s *site) end(w *worker, t *task, cause EndCause) {
	s.numbers[w.info.ID]++
	s.ended[w.info.ID] = append(s.ended[w.info.ID], TaskResult{
		Number: s.numbers[w.info.ID], Task: t.key, Run: t.run, Cause: cause, Checkpoint: "c",
	})
}

// tick lets the workers work, and the board decide.
func (s *site) tick() {
	s.now = s.now.Add(siteTick)
	for _, w := range s.workers {
		for _, t := range w.tasks {
			switch {
			case t.phase != running && t.phase != stopping:
			case t.group.step.LatencyCritical():
				s.served += siteTick
				if users := s.users(t); tailOf(users) <= siteTarget && tailOf(users+neighbors(w, t)) > siteTarget {
					s.missed += siteTick
				}
			case s.done[t.key] < siteWork:
				if s.done[t.key] += siteTick * time.Duration(t.pace) / fullPace; s.done[t.key] >= siteWork {
					s.end(w, t, EndDone)
				}
			}
		}
	}
	for _, o := range s.PollOrders(s.now, true) {
		s.PollDone(o, s.now, s.look(s.workers[o.Worker], o), nil, s.now)
	}
	s.start()
	for _, o := range s.StopOrders(s.now) {
		if w := s.workers[o.Worker]; w.tasks[o.Task] != nil && s.done[o.Task] < siteWork {
			s.end(w, w.tasks[o.Task], EndStopped)
		}
		s.StopDone(o, nil, s.now)
	}
	for _, o := range s.ThrottleOrders(s.now) {
		s.ThrottleDone(o, nil, s.now)
	}
}

func (s *site) look(w *worker, o PollOrder) PollReply {
	l := PollReply{Born: 1, Clock: WorkerClock(s.now.UnixMilli())}
	gone := map[workload.TaskKey]bool{}
	for _, e := range s.ended[w.info.ID] {
		if e.Number > o.Acked {
			l.Ended = append(l.Ended, e)
			gone[e.Task] = true
		}
	}
	for k, t := range w.tasks {
		if t.phase != running && t.phase != stopping || gone[k] {
			continue
		}
		r := RunningTask{Task: k, Run: t.run, Percent: fullPace}
		noise := 0.93 + 0.14*s.rnd.Float64()
		if t.group.step.LatencyCritical() {
			r.Tail = time.Duration(noise * tailOf(s.users(t)+neighbors(w, t)) * float64(time.Millisecond))
		} else {
			r.Percent = int(fullPace * s.done[k] / siteWork)
			r.CPU = t.group.step.Need.CPU * table.Millicores(t.pace) / fullPace
		}
		l.Running = append(l.Running, r)
	}
	return l
}

// TestCallersAndUsersOfAColocatedSite plays 40 s of the site and checks what both kinds of callers get.
func TestCallersAndUsersOfAColocatedSite(t *testing.T) {
	is := is.New(t)
	s := newSite()
	for n := range 8 {
		serve := servingStep(8, fmt.Sprintf("serve%d", n%4))
		serve.Need, serve.LatencyTarget = table.Resources{CPU: 5000, Memory: 1 << 30}, siteTarget
		s.submit(fmt.Sprintf("users%d", n), serve)
	}
	const every, last = 400 * time.Millisecond, 40 * time.Second
	jobs := 0
	for s.now.Sub(s.began) < last {
		if s.now.Sub(s.began) >= time.Duration(jobs)*every {
			fill := step(16)
			fill.Need = table.Resources{CPU: 1700, Memory: 1 << 30}
			fill.BestEffort, fill.Checkpoints, fill.Estimate = true, true, table.Millis(siteWork.Milliseconds())
			fill.Image = fmt.Sprintf("fill%d", s.rnd.IntN(6))
			s.submit(fmt.Sprintf("fill-%03d", jobs), fill)
			jobs++
		}
		s.tick()
	}
	const objective = 2*siteWork + time.Second
	due := jobs - int(objective/every)
	prompt := 0
	for id, at := range s.final {
		var n int
		if _, err := fmt.Sscanf(string(id), "fill-%d", &n); err == nil && n < due && at.Sub(s.began)-time.Duration(n)*every <= objective {
			prompt++
		}
	}
	t.Logf("%d of %d jobs prompt; over the target %.2f%% of the time of tasks that serve", prompt, due, 100*s.missed.Seconds()/s.served.Seconds())
	is.True(prompt >= due*9/10)
	is.True(s.missed < s.served/50)
}
