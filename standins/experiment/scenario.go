package experiment

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"persimmonpick/table"
)

// kind is a batch kind with its true properties and the error of the declared ones.
type kind struct {
	id                   table.KindID
	cores, memoryGB      float64
	runSeconds           float64 // true run time on the given cores
	declaredSizeRatio    float64 // declared size over the true one
	declaredRunTimeRatio float64 // declared run time over the true one
}

// taskModel holds the true demand of one task and its saved progress.
type taskModel struct {
	cores, memoryGB float64
	work            float64 // core seconds
	saved           float64 // core seconds covered by the last checkpoint
}

// arrival is one submitted job.
type arrival struct {
	at    time.Duration
	job   table.Job
	tasks []taskModel
}

// loadChange sets the load common to all instances from a point in time on.
type loadChange struct {
	at   time.Duration
	load float64
}

// Scenario holds everything that is drawn from a seed, the same for every variant.
type Scenario struct {
	Size          Size
	Seed          uint64
	kinds         []kind
	interference  [serviceCount][kindCount]float64
	instanceHosts []int // index of the worker of each instance
	loadChanges   []loadChange
	arrivals      []arrival
	failingWorker int // index of the worker on which all tasks fail for a while
}

// NewScenario draws the scenario of a seed.
func NewScenario(size Size, seed uint64) *Scenario {
	s := &Scenario{Size: size, Seed: seed}
	r := rand.New(rand.NewPCG(seed, 1))
	s.drawKinds(r)
	s.drawInstanceHosts(r)
	s.drawLoadChanges(r)
	s.drawArrivals(r)
	s.failingWorker = r.IntN(size.Workers)
	return s
}

func lognormal(r *rand.Rand, spread float64) float64 {
	return math.Exp(spread * r.NormFloat64())
}

func clamp(v, low, high float64) float64 {
	return min(max(v, low), high)
}

func (s *Scenario) drawKinds(r *rand.Rand) {
	for i := range kindCount {
		s.kinds = append(s.kinds, kind{
			id:                   table.KindID(fmt.Sprintf("kind%d", i)),
			cores:                []float64{1, 1.5, 2, 3, 4}[r.IntN(5)],
			memoryGB:             0,
			runSeconds:           120 + 1080*r.Float64(),
			declaredSizeRatio:    clamp(lognormal(r, 0.5), 0.4, 3),
			declaredRunTimeRatio: clamp(lognormal(r, 0.7), 0.2, 5),
		})
		k := &s.kinds[i]
		k.memoryGB = k.cores * (1 + 2.5*r.Float64())
		for v := range serviceCount {
			s.interference[v][i] = 0.3 * r.Float64()
			if r.Float64() < strongInterferenceShare {
				s.interference[v][i] = 1 + 2*r.Float64()
			}
		}
	}
}

// drawInstanceHosts assigns the instances to a random hostingShare of the workers in turn. With as many instances as
// workers, no worker gets more than two.
func (s *Scenario) drawInstanceHosts(r *rand.Rand) {
	hosting := r.Perm(s.Size.Workers)[:int(hostingShare*float64(s.Size.Workers))]
	for i := range s.Size.Instances {
		s.instanceHosts = append(s.instanceHosts, hosting[i%len(hosting)])
	}
}

func (s *Scenario) drawLoadChanges(r *rand.Rand) {
	s.loadChanges = []loadChange{{0, 0.45}}
	for at := time.Duration(0); at < warmUp+measuredDuration; {
		at += time.Duration(r.ExpFloat64() * float64(15*time.Minute))
		s.loadChanges = append(s.loadChanges, loadChange{at, 0.3 + 0.35*r.Float64()})
	}
}

// spareCores returns the number of cores not requested by instances.
func (s *Scenario) spareCores() float64 {
	return float64(s.Size.Workers*s.Size.Cores) - float64(s.Size.Instances)*float64(s.Size.InstanceNeed.CPU)/1000
}

func (s *Scenario) drawArrivals(r *rand.Rand) {
	end := warmUp + measuredDuration
	offered := offeredWorkRatio * s.spareCores() * end.Seconds()
	for work := 0.0; work < offered; {
		at := time.Duration(r.Float64() * float64(end))
		if work < initialBacklogShare*offered {
			at = 0
		}
		// Jobs of one kind arrive in bursts.
		k := s.kinds[r.IntN(kindCount)]
		for range 1 + r.IntN(6) {
			a := s.drawJob(r, k, at+time.Duration(r.Float64()*float64(time.Minute)))
			for _, u := range a.tasks {
				work += u.work
			}
			s.arrivals = append(s.arrivals, a)
		}
	}
	s.drawUrgent(r, end)
	slices.SortStableFunc(s.arrivals, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	for i := range s.arrivals {
		j := &s.arrivals[i].job
		j.ID = table.JobID(fmt.Sprintf("j%05d", i))
		j.Submitted = table.UnixMillis(epoch.Add(s.arrivals[i].at).UnixMilli())
	}
}

func (s *Scenario) drawJob(r *rand.Rand, k kind, at time.Duration) arrival {
	tasks := 1 + r.IntN(8)
	cores, memoryGB := k.cores, k.memoryGB
	large := r.Float64() < 0.03
	if large {
		// A large task needs most of the cores of a worker without instances.
		grow := 0.75 * float64(s.Size.Cores) / cores
		tasks, cores, memoryGB = 1, cores*grow, min(memoryGB*grow, 0.75*float64(s.Size.Memory))
	}
	a := arrival{at: at, job: table.Job{
		Team: table.TeamID(fmt.Sprintf("team%d", r.IntN(teamCount))),
		Kind: k.id,
		Gang: !large && tasks > 3 && r.Float64() < 0.1,
	}}
	most := 0.9
	a.job.Need = resources(
		clamp(cores*k.declaredSizeRatio, 0.1, most*float64(s.Size.Cores)),
		clamp(memoryGB*k.declaredSizeRatio, 0.1, most*float64(s.Size.Memory)),
	)
	a.job.RunTime = table.Millis(1000 * k.runSeconds * k.declaredRunTimeRatio)
	for range tasks {
		size := 0.85 + 0.3*r.Float64()
		u := taskModel{cores: cores * size, memoryGB: memoryGB * size}
		u.work = u.cores * k.runSeconds * lognormal(r, 0.2)
		a.tasks = append(a.tasks, u)
	}
	return a
}

func (s *Scenario) drawUrgent(r *rand.Rand, end time.Duration) {
	for at := time.Duration(0); at < end; at += time.Duration(r.ExpFloat64() * float64(5*time.Minute)) {
		k := s.kinds[r.IntN(kindCount)]
		a := arrival{at: at, job: table.Job{Team: "team0", Kind: k.id, Urgent: true, RunTime: 60_000}}
		a.job.Need = resources(2, 4)
		a.tasks = []taskModel{{cores: 2, memoryGB: 4, work: 120}}
		s.arrivals = append(s.arrivals, a)
	}
}
