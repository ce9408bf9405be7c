package experiment

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"persimmonpick/journal"
	"persimmonpick/placement"
	"persimmonpick/provider"
	"persimmonpick/table"
)

// controller schedules the batch work of a world. report and ended may be nil.
type controller struct {
	report func(w *world, rep *provider.Report)
	ended  func(w *world, task *table.Task, worker table.WorkerID, ran time.Duration, outcome journal.LeaseOutcome)
	tick   func(w *world) ([]journal.Record, []placement.Command)
}

// run is one execution of a batch task on a worker.
type run struct {
	task     *table.Task
	token    table.Token
	kind     int
	model    *taskModel
	worker   *host
	done     float64 // core seconds, including those restored from a checkpoint
	cpuShare float64
	used     float64 // cores in the last step
	started  time.Duration
	savedAt  time.Duration
	stopping bool
}

// host simulates one worker with its instances and batch tasks.
type host struct {
	id         table.WorkerID
	index      int
	runs       []*run // sorted by token
	instances  []*instance
	spareCPU   float64
	spareGB    float64
	overcommit float64 // cores requested beyond the spare ones, as a share of all
	cpuByKind  [kindCount]float64
}

// world is the state of one simulation.
type world struct {
	sc         *Scenario
	t          *table.Tables
	elapsed    time.Duration
	ctl        controller
	hosts      []*host
	byID       map[table.WorkerID]*host
	taskModels map[table.TaskID]*taskModel
	running    map[table.TaskID]*run
	inFlight   []inFlightReport // reports sent and not yet delivered
	reportRNG  *rand.Rand
	load       float64
	next       struct{ arrival, shift int }
	noRequests bool // instances get no requests and report nothing
	noBatch    bool // no batch jobs are submitted
	res        Result
}

func (w *world) now() time.Time {
	return epoch.Add(w.elapsed)
}

func newWorld(sc *Scenario) *world {
	w := &world{
		sc: sc, t: table.New(), byID: map[table.WorkerID]*host{}, taskModels: map[table.TaskID]*taskModel{},
		running: map[table.TaskID]*run{}, reportRNG: rand.New(rand.NewPCG(sc.Seed, 2)), res: newResult(),
	}
	size := sc.Size
	for i := range size.Workers {
		id := table.WorkerID(fmt.Sprintf("w%02d", i))
		capacity := resources(float64(size.Cores), float64(size.Memory))
		rack := table.RackID(fmt.Sprintf("r%d", i/size.RackSize))
		zone := table.ZoneID(fmt.Sprintf("z%d", i/size.RackSize%3))
		w.t.Workers[id] = &table.Worker{ID: id, Rack: rack, Zone: zone, Capacity: capacity}
		h := &host{id: id, index: i, spareCPU: float64(size.Cores), spareGB: float64(size.Memory)}
		w.hosts = append(w.hosts, h)
		w.byID[id] = h
	}
	for i, on := range sc.instanceHosts {
		w.addInstance(i, w.hosts[on])
	}
	for i := range teamCount {
		id := table.TeamID(fmt.Sprintf("team%d", i))
		all := float64(size.Workers)
		quota := resources(all*float64(size.Cores), all*float64(size.Memory))
		w.t.Teams[id] = &table.Team{ID: id, Quota: quota, Weight: float64(1 + i)}
	}
	return w
}

func (w *world) addInstance(i int, h *host) {
	need := w.sc.Size.InstanceNeed
	record := &table.Instance{
		ID: table.InstanceID(fmt.Sprintf("i%02d", i)), Worker: h.id, Need: need, Slots: slotsPerInstance,
		Service: table.ServiceID(fmt.Sprintf("service%d", i%serviceCount)),
	}
	w.t.Instances[record.ID] = record
	worker := w.t.Workers[h.id]
	worker.Used = worker.Used.Plus(need)
	h.spareCPU -= float64(need.CPU) / 1000
	h.spareGB -= float64(need.Memory) / (1 << 30)
	h.instances = append(h.instances, &instance{
		record: record, service: i % serviceCount, rng: rand.New(rand.NewPCG(w.sc.Seed, uint64(1000+i))),
	})
}

// simulate runs the scenario to its end in steps of one second.
func (w *world) simulate() {
	for w.elapsed = 0; w.elapsed < warmUp+measuredDuration; w.elapsed += step {
		w.processArrivals()
		for _, h := range w.hosts {
			w.advanceRuns(h)
			w.simulateRequests(h)
		}
		w.sendReports()
		w.deliverReports()
		records, commands := w.ctl.tick(w)
		for i := range records {
			w.apply(&records[i])
		}
		for _, c := range commands {
			w.execute(c)
		}
	}
	w.res.finish()
}

func (w *world) measuring() bool {
	return w.elapsed >= warmUp
}

func (w *world) processArrivals() {
	for ; w.next.shift < len(w.sc.loadChanges) && w.sc.loadChanges[w.next.shift].at <= w.elapsed; w.next.shift++ {
		w.load = w.sc.loadChanges[w.next.shift].load
	}
	for ; w.next.arrival < len(w.sc.arrivals) && w.sc.arrivals[w.next.arrival].at <= w.elapsed; w.next.arrival++ {
		if !w.noBatch {
			w.submit(&w.sc.arrivals[w.next.arrival])
		}
	}
}

func (w *world) submit(a *arrival) {
	j := a.job
	j.State = table.JobPending
	for i := range a.tasks {
		id := table.TaskID(fmt.Sprintf("%s/%02d", j.ID, i))
		u := a.tasks[i]
		w.taskModels[id] = &u
		w.t.Tasks[id] = &table.Task{ID: id, Job: j.ID, State: table.TaskPending}
		j.Tasks = append(j.Tasks, id)
	}
	j.Open = len(j.Tasks)
	w.t.Jobs[j.ID] = &j
}

// advanceRuns simulates the batch tasks of h for one step: ends stopped runs, enforces the memory limit and shares the
// spare cores in proportion to what the tasks request.
func (w *world) advanceRuns(h *host) {
	for _, r := range slices.Clone(h.runs) {
		if r.stopping {
			w.endRun(r, journal.LeaseStopped)
		}
	}
	w.killOverMemory(h)
	asked := 0.0
	for _, r := range h.runs {
		asked += r.model.cores * r.cpuShare
	}
	scale := 1.0
	if asked > h.spareCPU {
		scale = h.spareCPU / asked
	}
	h.overcommit = max(0, asked-h.spareCPU) / float64(w.sc.Size.Cores)
	h.cpuByKind = [kindCount]float64{}
	for _, r := range slices.Clone(h.runs) {
		r.used = r.model.cores * r.cpuShare * scale
		h.cpuByKind[r.kind] += r.used / float64(w.sc.Size.Cores)
		w.advanceRun(h, r)
	}
}

func (w *world) advanceRun(h *host, r *run) {
	gain := min(r.used*step.Seconds(), r.model.work-r.done)
	r.done += gain
	if w.measuring() {
		w.res.work += gain
	}
	failing := h.index == w.sc.failingWorker &&
		w.elapsed >= failingWorkerStart && w.elapsed < failingWorkerStart+failingWorkerDuration
	if failing && w.elapsed-r.started >= failingWorkerTaskTime {
		w.endRun(r, journal.LeaseFailed)
		return
	}
	if r.done >= r.model.work {
		w.endRun(r, journal.LeaseFinished)
		return
	}
	if w.elapsed-r.savedAt >= checkpointInterval {
		w.saveCheckpoint(r)
	}
}

func (w *world) saveCheckpoint(r *run) {
	r.model.saved = r.done
	r.savedAt = w.elapsed
}

// killOverMemory fails the tasks that exceed their granted memory most until the rest fits into memory.
func (w *world) killOverMemory(h *host) {
	for {
		sum := 0.0
		var worst *run
		for _, r := range h.runs {
			sum += r.model.memoryGB
			if worst == nil || r.memoryExcess() > worst.memoryExcess() {
				worst = r
			}
		}
		if sum <= h.spareGB || worst == nil {
			return
		}
		if w.measuring() {
			w.res.Kills++
		}
		w.endRun(worst, journal.LeaseFailed)
	}
}

func (r *run) memoryExcess() float64 {
	return r.model.memoryGB - float64(r.task.Lease.Need.Memory)/(1<<30)
}

func sortRuns(rs []*run) {
	slices.SortFunc(rs, func(a, b *run) int { return cmp.Compare(a.token, b.token) })
}
