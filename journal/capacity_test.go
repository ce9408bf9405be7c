package journal

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"persimmonpick/fault"
	"persimmonpick/provider"
	"persimmonpick/table"
)

// The shape of the work that docs/CAPACITY.md assumes.
const (
	capacityTeams       = 290
	capacityTasksPerJob = 230 // 3.46 million tasks a day in 15,000 jobs
	capacityPayload     = 256 // bytes of a job
	capacityResult      = 64  // bytes of the result of a task
	capacityAnswer      = 300 // bytes of the answer that a claim keeps
)

func cpuTime() time.Duration {
	var ru syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &ru); err != nil {
		panic(err)
	}
	return time.Duration(ru.Utime.Nano() + ru.Stime.Nano())
}

// capacityFold builds tables by folding batches, as an entry host does.
type capacityFold struct {
	t      *table.Tables
	off    table.Offset
	random *rand.ChaCha8
}

func newCapacityFold(workers int) *capacityFold {
	f := &capacityFold{t: table.New(), random: rand.NewChaCha8([32]byte{1})}
	for i := range capacityTeams {
		id := table.TeamID(fmt.Sprintf("team-%03d", i))
		f.t.Teams[id] = &table.Team{ID: id, Quota: table.Resources{CPU: 1 << 40, Memory: 1 << 50}, Weight: 1}
	}
	f.t.Kinds["rerun"] = &table.Kind{ID: "rerun", Class: table.Batch}
	for i := range workers {
		f.apply(Record{WorkerSeen: &WorkerSeen{
			ID: capacityWorker(i), Rack: table.RackID(fmt.Sprintf("rack-%04d", i/11)), Zone: "zone-a",
			Capacity: table.Resources{CPU: 256_000, Memory: 1 << 40, Accelerators: 2},
		}})
	}
	return f
}

func capacityWorker(i int) table.WorkerID {
	return table.WorkerID(fmt.Sprintf("worker-%05d", i))
}

func (f *capacityFold) batch(rs ...Record) *Batch {
	return &Batch{Writer: "seat-1-ABCDEFGHIJKLMNOP", Seq: uint64(f.off) + 1, Time: 1_800_000_000_000, Records: rs}
}

func (f *capacityFold) apply(rs ...Record) {
	b := f.batch(rs...)
	f.off++
	for i, k := range Apply(f.t, f.off, b) {
		if k != 0 {
			panic(fmt.Sprintf("record %d: %v", i, k))
		}
	}
}

// submit adds n tasks in jobs of the usual size.
func (f *capacityFold) submit(n int) {
	for first := len(f.t.Tasks); n > 0; n -= capacityTasksPerJob {
		f.apply(Record{JobSubmitted: &JobSubmitted{TaskCount: min(n, capacityTasksPerJob), Digest: 1, Job: table.Job{
			ID:   table.JobID(fmt.Sprintf("j-ABCDEFGHIJKLMNOPQR%08d", first+n)),
			Team: table.TeamID(fmt.Sprintf("team-%03d", n%capacityTeams)), Kind: "rerun",
			Need: table.Resources{CPU: 1000, Memory: 4 << 30}, RunTime: 600_000, MaxAttempts: 3,
			Payload: make([]byte, capacityPayload),
		}}})
	}
}

func (f *capacityFold) grant(ids []table.TaskID) []Record {
	rs := make([]Record, 0, len(ids))
	for i, id := range ids {
		rs = append(rs, Record{LeaseGranted: &LeaseGranted{
			Task: id, Worker: capacityWorker(i % len(f.t.Workers)), Need: table.Resources{CPU: 1000, Memory: 4 << 30}, Holder: "seat-1",
		}})
	}
	return rs
}

func (f *capacityFold) started(ids []table.TaskID) []Record {
	rs := make([]Record, 0, len(ids))
	for _, id := range ids {
		rs = append(rs, Record{LeaseStarted: &LeaseStarted{Task: id, Token: f.t.Tasks[id].LastToken, Starter: "seat-1-ABCDEFGHIJKLMNOP"}})
	}
	return rs
}

func (f *capacityFold) ended(ids []table.TaskID, outcome LeaseOutcome) []Record {
	rs := make([]Record, 0, len(ids))
	for _, id := range ids {
		rs = append(rs, Record{LeaseEnded: &LeaseEnded{
			Task: id, Token: f.t.Tasks[id].LastToken, Outcome: outcome, Result: f.result(),
		}})
	}
	return rs
}

// result returns bytes that do not compress, as a caller's result may be.
func (f *capacityFold) result() []byte {
	data := make([]byte, capacityResult)
	_, _ = f.random.Read(data)
	return data
}

// running folds n tasks up to their start, spread over the workers.
func (f *capacityFold) running(n int) []table.TaskID {
	f.submit(n)
	ids := table.SortedTasks(f.t)
	f.apply(f.grant(ids)...)
	f.apply(f.started(ids)...)
	return ids
}

// finished folds n tasks to their end.
func (f *capacityFold) finished(n int) {
	ids := f.running(n)
	f.apply(f.ended(ids, LeaseFinished)...)
}

// BenchmarkApplyCycle measures the fold of grant, start and end of a batch of tasks in tables of several sizes.
func BenchmarkApplyCycle(b *testing.B) {
	for _, size := range []int{6000, 12000, 24000, 48000} {
		for _, records := range []int{1, 16, 64, 256} {
			b.Run(fmt.Sprintf("tasks=%d/records=%d", size, records), func(b *testing.B) {
				f := newCapacityFold(size / 9)
				ids := f.running(size)[:records]
				f.apply(f.ended(ids, LeaseStopped)...)
				var spent time.Duration
				for b.Loop() {
					for _, records := range []func() []Record{
						func() []Record { return f.grant(ids) },
						func() []Record { return f.started(ids) },
						func() []Record { return f.ended(ids, LeaseStopped) },
					} {
						batch := f.batch(records()...)
						f.off++
						began := time.Now()
						Apply(f.t, f.off, batch)
						spent += time.Since(began)
					}
				}
				b.ReportMetric(float64(spent)/float64(3*b.N), "ns/batch")
				b.ReportMetric(float64(spent)/float64(3*b.N*records), "ns/record")
			})
		}
	}
}

// BenchmarkCycleCodec measures bytes, encoding and decoding of batches of grants, starts and ends in equal parts, and the
// bytes of each type in a batch of its own.
func BenchmarkCycleCodec(b *testing.B) {
	f := newCapacityFold(2600)
	ids := f.running(3000)
	for _, records := range []int{3, 15, 63, 255, 1023} {
		third := ids[:records/3]
		types := map[string][]Record{"granted": f.grant(third), "started": f.started(third), "ended": f.ended(third, LeaseFinished)}
		batch := f.batch(slices.Concat(types["granted"], types["started"], types["ended"])...)
		data, err := Encode(batch)
		if err != nil {
			b.Fatal(err)
		}
		for _, op := range []string{"encode", "decode"} {
			b.Run(fmt.Sprintf("%s/records=%d", op, records), func(b *testing.B) {
				began := cpuTime()
				for b.Loop() {
					if op == "encode" {
						_, err = encMode.Marshal(batch)
					} else {
						_, err = Decode(data)
					}
					if err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64(cpuTime()-began)/float64(b.N*records), "cpu-ns/record")
				b.ReportMetric(float64(len(data)), "B/batch")
				for name, rs := range types {
					one, _ := Encode(f.batch(rs...))
					b.ReportMetric(float64(len(one))/float64(len(rs)), "B/"+name)
				}
			})
		}
	}
}

// BenchmarkSnapshotSizes measures a snapshot: the first 24,000 tasks run and the rest have finished.
func BenchmarkSnapshotSizes(b *testing.B) {
	for _, tasks := range []int{24000, 48000, 96000, 192000} {
		f := newCapacityFold(2600)
		f.finished(tasks - 24000)
		f.submit(24000)
		var pending []table.TaskID
		for id, task := range f.t.Tasks {
			if task.State == table.TaskPending {
				pending = append(pending, id)
			}
		}
		f.apply(f.grant(pending)...)
		f.apply(f.started(pending)...)
		chunks, err := EncodeSnapshot(f.t)
		if err != nil {
			b.Fatal(err)
		}
		size := len(slices.Concat(chunks...))
		ops := map[string]func(){
			"clone":  func() { CloneTables(f.t) },
			"encode": func() { _, _ = EncodeSnapshot(f.t) },
			"load": func() {
				a := NewAssembler()
				for _, c := range chunks {
					_ = a.Add(c)
				}
				if a.Newest() == nil {
					b.Fatal("the snapshot was not whole")
				}
			},
		}
		for _, op := range []string{"clone", "encode", "load"} {
			b.Run(fmt.Sprintf("%s/tasks=%d", op, tasks), func(b *testing.B) {
				runtime.GC()
				began := cpuTime()
				for b.Loop() {
					ops[op]()
				}
				b.ReportMetric(float64(cpuTime()-began)/float64(b.N)/1e6, "cpu-ms/op")
				b.ReportMetric(float64(size), "B")
				b.ReportMetric(float64(len(chunks)), "chunks")
			})
		}
	}
}

// BenchmarkTableMemory reports the heap and the snapshot bytes of one entity of each type.
func BenchmarkTableMemory(b *testing.B) {
	fills := map[string]func(*capacityFold, int){
		"running":  func(f *capacityFold, n int) { f.running(n) },
		"finished": func(f *capacityFold, n int) { f.finished(n) },
		"jobs":     capacityJobs,
		"claims":   capacityClaims,
		"workers":  func(f *capacityFold, n int) { f.t = newCapacityFold(n).t },
	}
	for _, name := range []string{"running", "finished", "jobs", "claims", "workers"} {
		for _, n := range []int{10_000, 20_000, 40_000, 80_000} {
			b.Run(fmt.Sprintf("%s=%d", name, n), func(b *testing.B) {
				for b.Loop() {
					before := heapInUse()
					f := newCapacityFold(2600)
					base := heapInUse() - before
					fills[name](f, n)
					after := heapInUse() - before
					chunks, err := EncodeSnapshot(f.t)
					if err != nil {
						b.Fatal(err)
					}
					size := len(slices.Concat(chunks...))
					b.ReportMetric(float64(after-base)/float64(n), "heap-B/entity")
					image, err := encMode.Marshal(newImage(f.t))
					if err != nil {
						b.Fatal(err)
					}
					b.ReportMetric(float64(size)/float64(n), "snapshot-B/entity")
					b.ReportMetric(float64(len(image))/float64(n), "image-B/entity")
					runtime.KeepAlive(f)
				}
			})
		}
	}
}

func heapInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// capacityJobs adds jobs of one task, so that the slope less that of a task is a job.
func capacityJobs(f *capacityFold, n int) {
	for i := range n {
		f.apply(Record{JobSubmitted: &JobSubmitted{TaskCount: 1, Digest: 1, Job: table.Job{
			ID: table.JobID(fmt.Sprintf("j-ABCDEFGHIJKLMNOPQR%08d", i)), Team: "team-001", Kind: "rerun",
			Need: table.Resources{CPU: 1000, Memory: 4 << 30}, Payload: make([]byte, capacityPayload),
		}}})
	}
}

func capacityClaims(f *capacityFold, n int) {
	const inc = "seat-1-ABCDEFGHIJKLMNOP"
	f.apply(Record{HostJoined: &HostJoined{Seat: "seat-1", Incarnation: inc, Address: "10.0.0.1:1", Zone: "zone-a"}})
	for i := range n {
		key := table.ClaimKey{Team: "team-001", Key: fmt.Sprintf("7c9e6679-7425-40de-944b-%012d", i)}
		f.apply(Record{ClaimMade: &ClaimMade{Key: key, Kind: "cut-plan", Digest: 1, Seat: "seat-1", Incarnation: inc}})
		f.apply(Record{ClaimEnded: &ClaimEnded{
			Key: key, Made: f.off, State: table.ClaimDone, Status: 200, ContentType: "application/json", Answer: make([]byte, capacityAnswer),
		}})
	}
}

// TestCapacityAppends guards against appends that grow with the records instead of the hosts, and logs what one host appends.
func TestCapacityAppends(t *testing.T) {
	const seconds, rate = 10, 500 // a ninth of 4,500 records a second
	for _, took := range []time.Duration{5, 10, 20, 40, 80} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			appends, bytes, folded := 0, 0, 0
			var worst time.Duration
			w := NewWriter(WriterConfig{Incarnation: "seat-1-ABCDEFGHIJKLMNOP", Log: provider.Log{}})
			w.cfg.Log.Append = func(_ context.Context, _ string, data []byte) (table.Offset, error) {
				time.Sleep(took * time.Millisecond)
				appends, bytes = appends+1, bytes+len(data)
				off := table.Offset(appends)
				b, err := Decode(data)
				if err != nil {
					return 0, err
				}
				w.BatchApplied(off, b, make([]fault.Kind, len(b.Records)))
				return off, nil
			}
			go w.Run(ctx)
			r := Record{LeaseStarted: &LeaseStarted{Task: "j-ABCDEFGHIJKLMNOPQR00000001/100", Token: 1 << 40, Starter: "seat-1-ABCDEFGHIJKLMNOP"}}
			for range seconds * rate {
				began := time.Now()
				w.Submit([]Record{r}, func(Result, error) {
					folded++
					worst = max(worst, time.Since(began))
				})
				time.Sleep(time.Second / rate)
			}
			time.Sleep(time.Second)
			cancel()
			synctest.Wait()
			t.Logf("append %3d ms: %5.1f appends/s, %5.1f records and %6.0f bytes an append, longest wait %v",
				took, float64(appends)/seconds, float64(folded)/float64(appends), float64(bytes)/float64(appends), worst)
			if folded != seconds*rate || appends > int(seconds*time.Second/(took*time.Millisecond))+2 {
				t.Errorf("%d records folded in %d appends", folded, appends)
			}
		})
	}
}
