package placement

import (
	"fmt"
	"testing"
	"time"

	"persimmonpick/table"
)

// loadedCluster returns tables with the given numbers of workers, running tasks and pending tasks.
func loadedCluster(workers, running, pending int) *table.Tables {
	t := cluster(workers, 32)
	ids := table.SortedWorkers(t)
	for i := range workers * 3 {
		id := table.InstanceID(fmt.Sprintf("i%05d", i))
		w := t.Workers[ids[i%workers]]
		t.Instances[id] = &table.Instance{ID: id, Service: "s", Worker: w.ID, Need: res(2, 2)}
		w.Used = w.Used.Plus(res(2, 2))
	}
	for i := range running {
		j := submit(t, fmt.Sprintf("run%05d", i), 1, res(2, 4), time.Hour)
		task, w := t.Tasks[j.Tasks[0]], t.Workers[ids[i%workers]]
		task.State = table.TaskStarted
		task.Lease = table.Lease{Worker: w.ID, Token: table.Offset(i + 1), Need: j.Need, Granted: j.Submitted}
		w.Used = w.Used.Plus(j.Need)
	}
	for i := range pending / 5 {
		submit(t, fmt.Sprintf("new%05d", i), 5, res(1+i%9, 4), time.Hour)
	}
	return t
}

// BenchmarkPlace measures one tick of ordering and placement at four cluster sizes.
func BenchmarkPlace(b *testing.B) {
	for _, workers := range []int{250, 500, 1300, 2600} {
		running, pending := 24_000*workers/2600, 5_000*workers/2600
		b.Run(fmt.Sprintf("workers=%d/running=%d/pending=%d", workers, running, pending), func(b *testing.B) {
			t := loadedCluster(workers, running, pending)
			in := input()
			for b.Loop() {
				Place(t, start, in)
			}
		})
	}
}
