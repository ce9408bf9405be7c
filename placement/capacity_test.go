package placement

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"persimmonpick/queue"
	"persimmonpick/settings"
	"persimmonpick/table"
)

const (
	capacityHeld      = 9   // batch tasks running on each worker
	capacityInstances = 3   // instances on each worker
	capacityJobTasks  = 230 // tasks per job
)

// cpuTime returns the processor time that the process has used.
func cpuTime() time.Duration {
	var ru syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &ru); err != nil {
		panic(err)
	}
	return time.Duration(ru.Utime.Nano() + ru.Stime.Nano())
}

// capacityTables returns tables with workers that each run as many tasks as at the design size, and with the
// given numbers of pending and finished tasks.
func capacityTables(workers, pending, finished int) *table.Tables {
	t := table.New()
	need := table.Resources{CPU: 1000, Memory: 4 << 30}
	for i := range 290 {
		id := table.TeamID(fmt.Sprintf("team-%03d", i))
		t.Teams[id] = &table.Team{ID: id, Weight: 1, Quota: table.Resources{CPU: 1 << 40, Memory: 1 << 50}}
	}
	n := 0
	add := func(state table.TaskState) *table.Task {
		job := table.JobID(fmt.Sprintf("j-ABCDEFGHIJKLMNOPQR%08d", n/capacityJobTasks))
		if t.Jobs[job] == nil {
			t.Jobs[job] = &table.Job{
				ID: job, Team: table.TeamID(fmt.Sprintf("team-%03d", n/capacityJobTasks%290)), Kind: "rerun", Need: need,
				RunTime: 600_000, State: table.JobPending, Submitted: table.UnixMillis(n),
			}
		}
		task := &table.Task{ID: table.TaskID(fmt.Sprintf("%s/%d", job, n%capacityJobTasks)), Job: job, State: state}
		t.Tasks[task.ID] = task
		n++
		return task
	}
	for i := range workers {
		w := &table.Worker{
			ID: table.WorkerID(fmt.Sprintf("worker-%05d", i)), Rack: table.RackID(fmt.Sprintf("rack-%04d", i/11)),
			Zone:     table.ZoneID(fmt.Sprintf("zone-%02d", i%19)),
			Capacity: table.Resources{CPU: 32_000, Memory: 125 << 30, Accelerators: 2},
		}
		t.Workers[w.ID] = w
		for k := range capacityInstances {
			in := &table.Instance{ID: table.InstanceID(fmt.Sprintf("instance-%05d-%d", i, k)), Service: "quote", Worker: w.ID, Need: need}
			t.Instances[in.ID] = in
			w.Used = w.Used.Plus(need)
		}
		for range capacityHeld {
			task := add(table.TaskStarted)
			task.Lease = table.Lease{Worker: w.ID, Need: need, Granted: 1_800_000_000_000}
			w.Used = w.Used.Plus(need)
		}
	}
	for range pending {
		add(table.TaskPending)
	}
	for range finished {
		add(table.TaskFinished)
	}
	t.IndexUnfinished()
	return t
}

func benchmarkPlace(b *testing.B, t *table.Tables) {
	now := time.UnixMilli(1_800_000_060_000)
	granted := 0
	begin := cpuTime()
	for b.Loop() {
		in := Input{Policy: settings.Default().Policy, Holder: "seat-1", Reservations: &Reservations{}}
		granted = len(Place(t, now, in))
	}
	b.ReportMetric(float64(cpuTime()-begin)/float64(b.N)/1e6, "cpu-ms/op")
	b.ReportMetric(float64(granted), "grants")
}

// BenchmarkPlaceWorkers measures ordering and placement of one tick for several numbers of workers, with 3,000
// pending tasks.
func BenchmarkPlaceWorkers(b *testing.B) {
	for _, workers := range []int{65, 650, 1300, 2600, 5200} {
		t := capacityTables(workers, 3000, 0)
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) { benchmarkPlace(b, t) })
	}
}

// BenchmarkPlacePending measures one tick with 2,600 workers and several numbers of pending tasks.
func BenchmarkPlacePending(b *testing.B) {
	for _, pending := range []int{500, 3000, 12000, 48000} {
		t := capacityTables(2600, pending, 0)
		b.Run(fmt.Sprintf("pending=%d", pending), func(b *testing.B) { benchmarkPlace(b, t) })
	}
}

// BenchmarkPlaceFinished measures one tick with 2,600 workers and several numbers of finished tasks that are
// still in the tables.
func BenchmarkPlaceFinished(b *testing.B) {
	for _, finished := range []int{0, 50000, 100000, 200000, 400000} {
		t := capacityTables(2600, 3000, finished)
		b.Run(fmt.Sprintf("finished=%d", finished), func(b *testing.B) { benchmarkPlace(b, t) })
	}
}

// BenchmarkOrder measures the scan and the ordering of 256 entries without placement.
func BenchmarkOrder(b *testing.B) {
	now := time.UnixMilli(1_800_000_060_000)
	for _, pending := range []int{500, 3000, 12000, 48000} {
		t := capacityTables(2600, pending, 0)
		b.Run(fmt.Sprintf("pending=%d", pending), func(b *testing.B) {
			begin := cpuTime()
			for b.Loop() {
				queue.Order(t, now, queue.Config{})
			}
			b.ReportMetric(float64(cpuTime()-begin)/float64(b.N)/1e6, "cpu-ms/op")
		})
	}
}
