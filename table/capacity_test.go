package table

import (
	"fmt"
	"syscall"
	"testing"
	"time"
)

// cpuTime returns the processor time used by this process.
func cpuTime() time.Duration {
	var ru syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &ru); err != nil {
		panic(err)
	}
	return time.Duration(ru.Utime.Nano() + ru.Stime.Nano())
}

// BenchmarkNewView measures the time to build a View for several numbers of instances, with three instances per worker.
func BenchmarkNewView(b *testing.B) {
	for _, n := range []int{65, 650, 1950, 3900, 7800} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			t := New()
			for i := range n {
				w := WorkerID(fmt.Sprintf("worker-%05d", i/3))
				t.Workers[w] = &Worker{ID: w, Rack: RackID(fmt.Sprintf("rack-%04d", i/33))}
				in := &Instance{
					ID: InstanceID(fmt.Sprintf("instance-%05d", i)), Service: ServiceID(fmt.Sprintf("service-%02d", i%20)),
					Worker: w, Zone: "zone-a", Address: "10.0.0.1:8080", Slots: 8, Connections: 64,
				}
				t.Instances[in.ID] = in
			}
			for i := range 290 {
				id := TeamID(fmt.Sprintf("team-%03d", i))
				t.Teams[id] = &Team{ID: id}
			}
			began := cpuTime()
			for b.Loop() {
				NewView(t)
			}
			b.ReportMetric(float64(cpuTime()-began)/float64(b.N), "cpu-ns/op")
		})
	}
}
