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

// kind is a batch kind with its true and declared properties.
type kind struct {
	id           table.KindID
	cores, gbs   float64
	run          float64 // seconds on cores
	sizeDeclared float64 // declared size over the true one
	runDeclared  float64
}

// unit is the truth about one task.
type unit struct {
	cores, gbs float64
	work       float64 // core seconds
	saved      float64 // core seconds that a checkpoint holds
}

// arrival is one submitted job.
type arrival struct {
	at    time.Duration
	job   table.Job
	units []unit
}

// shift is a change of the load of all instances.
type shift struct {
	at   time.Duration
	load float64
}

// Scenario is all that a seed decides; every variant meets the same.
type Scenario struct {
	Deployment     Deployment
	Seed     uint64
	kinds    []kind
	slowing  [services][kinds]float64
	host     []int // worker of each instance
	shifts   []shift
	arrivals []arrival
	bad      int // worker that fails everything for a while
}

// NewScenario draws a scenario from its seed.
func NewScenario(size Deployment, seed uint64) *Scenario {
	s := &Scenario{Deployment: size, Seed: seed}
	r := rand.New(rand.NewPCG(seed, 1))
	s.drawKinds(r)
	s.drawHosts(r)
	s.drawShifts(r)
	s.drawArrivals(r)
	s.bad = r.IntN(size.Workers)
	return s
}

func lognormal(r *rand.Rand, spread float64) float64 {
	return math.Exp(spread * r.NormFloat64())
}

func clamp(v, low, high float64) float64 {
	return min(max(v, low), high)
}

func (s *Scenario) drawKinds(r *rand.Rand) {
	for i := range kinds {
		s.kinds = append(s.kinds, kind{
			id:           table.KindID(fmt.Sprintf("kind%d", i)),
			cores:        []float64{1, 1.5, 2, 3, 4}[r.IntN(5)],
			gbs:          0,
			run:          120 + 1080*r.Float64(),
			sizeDeclared: clamp(lognormal(r, 0.5), 0.4, 3),
			runDeclared:  clamp(lognormal(r, 0.7), 0.2, 5),
		})
		k := &s.kinds[i]
		k.gbs = k.cores * (1 + 2.5*r.Float64())
		for v := range services {
			s.slowing[v][i] = 0.3 * r.Float64()
			if r.Float64() < loudShare {
				s.slowing[v][i] = 1 + 2*r.Float64()
			}
		}
	}
}

// drawHosts spreads the instances over some of the workers, at most two on each.
func (s *Scenario) drawHosts(r *rand.Rand) {
	hosting := r.Perm(s.Deployment.Workers)[:int(hostingPart*float64(s.Deployment.Workers))]
	for i := range s.Deployment.Instances {
		s.host = append(s.host, hosting[i%len(hosting)])
	}
}

func (s *Scenario) drawShifts(r *rand.Rand) {
	s.shifts = []shift{{0, 0.45}}
	for at := time.Duration(0); at < warmUp+measured; {
		at += time.Duration(r.ExpFloat64() * float64(15*time.Minute))
		s.shifts = append(s.shifts, shift{at, 0.3 + 0.35*r.Float64()})
	}
}

// spareCores returns the processors that no instance asks for.
func (s *Scenario) spareCores() float64 {
	return float64(s.Deployment.Workers*s.Deployment.Cores) - float64(s.Deployment.Instances)*float64(s.Deployment.InstanceNeed.CPU)/1000
}

func (s *Scenario) drawArrivals(r *rand.Rand) {
	end := warmUp + measured
	offered := offeredWork * s.spareCores() * end.Seconds()
	for work := 0.0; work < offered; {
		at := time.Duration(r.Float64() * float64(end))
		if work < backlog*offered {
			at = 0
		}
		// Jobs of one kind arrive in waves.
		k := s.kinds[r.IntN(kinds)]
		for range 1 + r.IntN(6) {
			a := s.drawJob(r, k, at+time.Duration(r.Float64()*float64(time.Minute)))
			for _, u := range a.units {
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
	cores, gbs := k.cores, k.gbs
	large := r.Float64() < 0.03
	if large {
		// A large task needs most of a worker without instances.
		grow := 0.75 * float64(s.Deployment.Cores) / cores
		tasks, cores, gbs = 1, cores*grow, min(gbs*grow, 0.75*float64(s.Deployment.Memory))
	}
	a := arrival{at: at, job: table.Job{
		Team: table.TeamID(fmt.Sprintf("team%d", r.IntN(teams))),
		Kind: k.id,
		Gang: !large && tasks > 3 && r.Float64() < 0.1,
	}}
	most := 0.9
	a.job.Need = resources(
		clamp(cores*k.sizeDeclared, 0.1, most*float64(s.Deployment.Cores)),
		clamp(gbs*k.sizeDeclared, 0.1, most*float64(s.Deployment.Memory)),
	)
	a.job.RunTime = table.Millis(1000 * k.run * k.runDeclared)
	for range tasks {
		size := 0.85 + 0.3*r.Float64()
		u := unit{cores: cores * size, gbs: gbs * size}
		u.work = u.cores * k.run * lognormal(r, 0.2)
		a.units = append(a.units, u)
	}
	return a
}

func (s *Scenario) drawUrgent(r *rand.Rand, end time.Duration) {
	for at := time.Duration(0); at < end; at += time.Duration(r.ExpFloat64() * float64(5*time.Minute)) {
		k := s.kinds[r.IntN(kinds)]
		a := arrival{at: at, job: table.Job{Team: "team0", Kind: k.id, Urgent: true, RunTime: 60_000}}
		a.job.Need = resources(2, 4)
		a.units = []unit{{cores: 2, gbs: 4, work: 120}}
		s.arrivals = append(s.arrivals, a)
	}
}
