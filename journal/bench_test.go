package journal

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"

	"github.com/cespare/xxhash/v2"

	"persimmonpick/table"
)

// sizes are numbers of tasks; 32000 is about the number of running tasks that the system is designed for.
var sizes = []int{1000, 4000, 16000, 32000}

// tablesOf returns tables with n started tasks in jobs of 4, and n/12 workers.
func tablesOf(n int) *testTables {
	f := &testTables{t: table.New()}
	f.apply(
		plan(0, Intent{Type: SetTeam, Team: &table.Team{ID: "team-1", Quota: table.Resources{CPU: 1 << 50, Memory: 1 << 50}}}),
		plan(0, Intent{Type: SetKind, Kind: &table.Kind{ID: "fatigue-rerun", Class: table.Batch}}),
	)
	need := table.Resources{CPU: 1000, Memory: 4 << 30}
	for i := range n / 12 {
		full := table.Resources{CPU: 32000, Memory: 125 << 30}
		id := table.WorkerID(fmt.Sprintf("worker-%05d", i))
		f.apply(Record{WorkerSeen: &WorkerSeen{ID: id, Rack: "rack-01", Zone: "zone-1", Capacity: full}})
	}
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range n / 4 {
		j := table.Job{ID: benchJob(i), Team: "team-1", Kind: "fatigue-rerun", Need: need, RunTime: 3600000, Payload: benchPayload(rng)}
		f.apply(Record{JobSubmitted: &JobSubmitted{Job: j, TaskCount: 4}})
	}
	for i := range n {
		f.apply(benchGrant(i, n))
		f.apply(Record{LeaseStarted: &LeaseStarted{Task: benchTask(i), Token: f.off}})
	}
	return f
}

func benchJob(i int) table.JobID {
	// Random ids, because sequential ids would compress too well.
	h := xxhash.Sum64String(fmt.Sprint(i))
	return table.JobID(fmt.Sprintf("%016x%016x", h, xxhash.Sum64String(fmt.Sprint(h))))
}

// benchPayload returns 200 bytes that do not compress.
func benchPayload(rng *rand.Rand) []byte {
	data := make([]byte, 200)
	for i := range data {
		data[i] = byte(rng.Uint32())
	}
	return data
}

func benchTask(i int) table.TaskID {
	return table.TaskID(fmt.Sprintf("%s/%d", benchJob(i/4), i%4))
}

func benchGrant(i, n int) Record {
	w := table.WorkerID(fmt.Sprintf("worker-%05d", i%(n/12)))
	need := table.Resources{CPU: 1000, Memory: 4 << 30}
	return Record{LeaseGranted: &LeaseGranted{Task: benchTask(i), Worker: w, Need: need, Holder: "seat-1"}}
}

// BenchmarkApply applies the records that stop, grant and start each of 16000 tasks, in batches of the given size.
func BenchmarkApply(b *testing.B) {
	const n = 16000
	for _, size := range []int{1, 100} {
		b.Run(fmt.Sprintf("BatchOf%d", size), func(b *testing.B) {
			f := tablesOf(n)
			tasks := make([]table.TaskID, n)
			grants := make([]Record, n)
			for i := range n {
				tasks[i] = benchTask(i)
				grants[i] = benchGrant(i, n)
			}
			records := 0
			b.ReportAllocs()
			b.ResetTimer()
			for at := 0; records < b.N; at = (at + size) % n {
				var ends, starts []Record
				for _, id := range tasks[at : at+size] {
					ends = append(ends, Record{LeaseEnded: &LeaseEnded{Task: id, Token: f.t.Tasks[id].LastToken, Outcome: LeaseStopped}})
					starts = append(starts, Record{LeaseStarted: &LeaseStarted{Task: id, Token: f.off + 2}})
				}
				for _, rs := range [][]Record{ends, grants[at : at+size], starts} {
					if k := (Result{Kinds: f.apply(rs...)}).First(); k != 0 {
						b.Fatal(k)
					}
				}
				records += 3 * size
			}
			b.ReportMetric(float64(records)/b.Elapsed().Seconds(), "records/s")
		})
	}
}

// BenchmarkCodec measures the encoding of batches of one type of record, and reports their size.
func BenchmarkCodec(b *testing.B) {
	const n = 16000
	records := map[string]Record{
		"Grant":  benchGrant(1, n),
		"Start":  {LeaseStarted: &LeaseStarted{Task: benchTask(1), Token: 1 << 30}},
		"End":    {LeaseEnded: &LeaseEnded{Task: benchTask(1), Token: 1 << 30, Outcome: LeaseFinished, Result: make([]byte, 100)}},
		"Submit": {JobSubmitted: &JobSubmitted{Job: table.Job{ID: benchJob(1), Payload: make([]byte, 200)}, TaskCount: 4}},
		"Claim":  {ClaimMade: &ClaimMade{Key: table.ClaimKey{Team: "team-1", Key: "0198f2c6-7d1e-7c3a"}, Digest: 1 << 63}},
	}
	for _, name := range []string{"Grant", "Start", "End", "Submit", "Claim"} {
		for _, size := range []int{1, 100} {
			b.Run(fmt.Sprintf("%s/BatchOf%d", name, size), func(b *testing.B) {
				batch := &Batch{Writer: "0198f2c6-7d1e-7c3a-9f57", Seq: 1 << 20, Time: 1 << 40}
				for range size {
					batch.Records = append(batch.Records, records[name])
				}
				var data []byte
				for b.Loop() {
					data, _ = Encode(batch)
				}
				b.ReportMetric(float64(len(data)), "B/batch")
				b.ReportMetric(float64(len(data))/float64(size), "B/record")
			})
		}
	}
}

// BenchmarkSnapshot measures the size of a snapshot and the time to encode it, to decode it and to copy its tables.
func BenchmarkSnapshot(b *testing.B) {
	for _, n := range sizes {
		t := tablesOf(n).t
		b.Run(fmt.Sprintf("Encode/%d", n), func(b *testing.B) {
			size := 0
			for b.Loop() {
				chunks, err := EncodeSnapshot(t)
				if err != nil {
					b.Fatal(err)
				}
				size = 0
				for _, c := range chunks {
					size += len(c)
				}
			}
			b.ReportMetric(float64(size), "B/snapshot")
			b.ReportMetric(float64(size)/float64(n), "B/task")
		})
		b.Run(fmt.Sprintf("Decode/%d", n), func(b *testing.B) {
			chunks, _ := EncodeSnapshot(t)
			for b.Loop() {
				a := NewAssembler()
				for _, c := range chunks {
					if err := a.Add(c); err != nil {
						b.Fatal(err)
					}
				}
			}
		})
		b.Run(fmt.Sprintf("Clone/%d", n), func(b *testing.B) {
			for b.Loop() {
				CloneTables(t)
			}
		})
	}
}

// BenchmarkMemory reports the heap bytes per task.
func BenchmarkMemory(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			held := 0.0
			for b.Loop() {
				before := heap()
				f := tablesOf(n)
				held = float64(heap()-before) / float64(n)
				runtime.KeepAlive(f)
			}
			b.ReportMetric(held, "heapB/task")
		})
	}
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
