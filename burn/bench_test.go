package burn

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"testing"
	"time"

	"persimmonpick/table"
)

// observeOneHour records one hour of requests, 20 a second, at the size of the larger example deployment: 5 kinds and
// 65 instances.
func observeOneHour(r *Recorder) time.Time {
	const kinds, instances = 5, 65
	at := testStart
	for i := range 3600 * 20 {
		at = testStart.Add(time.Duration(i) * 50 * time.Millisecond)
		name := fmt.Sprintf("%02d", i%instances)
		kind := table.KindID(fmt.Sprint(i % kinds))
		latency := time.Duration(1+i%97) * time.Millisecond
		r.Observe(kind, table.InstanceID("instance-"+name), table.WorkerID("worker-"+name), latency, i%100 != 0, at)
	}
	return at
}

func BenchmarkObserve(b *testing.B) {
	r := newTestRecorder("a")
	now := observeOneHour(r)
	b.ReportAllocs()
	for b.Loop() {
		r.Observe("0", "instance-01", "worker-01", time.Millisecond, true, now)
	}
}

func BenchmarkSnapshot(b *testing.B) {
	r := newTestRecorder("a")
	now := observeOneHour(r)
	var size int
	for b.Loop() {
		var buffer bytes.Buffer
		if err := gob.NewEncoder(&buffer).Encode(r.Snapshot(now)); err != nil {
			b.Fatal(err)
		}
		size = buffer.Len()
	}
	b.ReportMetric(float64(size), "gob-bytes")
}

func BenchmarkReport(b *testing.B) {
	r := newTestRecorder("a")
	now := observeOneHour(r)
	var snapshots []Snapshot
	for i := range 9 {
		s := r.Snapshot(now)
		s.Incarnation = table.Incarnation(fmt.Sprint(i))
		snapshots = append(snapshots, s)
	}
	for b.Loop() {
		buildReport(now, snapshots)
	}
}
