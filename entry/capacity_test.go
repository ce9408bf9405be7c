package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"syscall"
	"testing"
	"time"

	"persimmonpick/journal"
	"persimmonpick/provider"
	"persimmonpick/settings"
	"persimmonpick/table"
)

// The load of each worker at the design target.
const (
	capacityTasksPerWorker     = 9 // running batch tasks
	capacityInstancesPerWorker = 3
)

// cpuTime returns the processor time used by this process.
func cpuTime() time.Duration {
	var ru syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &ru); err != nil {
		panic(err)
	}
	return time.Duration(ru.Utime.Nano() + ru.Stime.Nano())
}

func capacityTask(worker, k int) table.TaskID {
	return table.TaskID(fmt.Sprintf("j-ABCDEFGHIJKLMNOPQR%08d/%d", worker, k))
}

func capacityWorker(i int) table.WorkerID {
	return table.WorkerID(fmt.Sprintf("worker-%05d", i))
}

// capacityTables returns tables with n workers and their instances and running tasks, with one job per worker.
func capacityTables(n int) *table.Tables {
	t := table.New()
	t.Applied = 1000
	need := table.Resources{CPU: 1000, Memory: 4 << 30}
	for i := range 290 {
		id := table.TeamID(fmt.Sprintf("team-%03d", i))
		t.Teams[id] = &table.Team{ID: id, Weight: 1, Quota: table.Resources{CPU: 1 << 40, Memory: 1 << 50}}
	}
	for i := range n {
		w := &table.Worker{ID: capacityWorker(i), Capacity: table.Resources{CPU: 32_000, Memory: 125 << 30}}
		t.Workers[w.ID] = w
		for k := range capacityInstancesPerWorker {
			in := &table.Instance{
				ID: table.InstanceID(fmt.Sprintf("instance-%05d-%d", i, k)), Service: table.ServiceID(fmt.Sprintf("service-%02d", k)),
				Worker: w.ID, Need: need, Slots: 8, Connections: 64,
			}
			t.Instances[in.ID] = in
			w.Used, w.Holds = w.Used.Plus(need), w.Holds+1
		}
		job := &table.Job{ID: table.JobID(fmt.Sprintf("j-%d", i)), Team: "team-001", Kind: "rerun", Need: need, State: table.JobRunning, Open: capacityTasksPerWorker}
		job.Counts.Held = capacityTasksPerWorker
		t.Jobs[job.ID] = job
		for k := range capacityTasksPerWorker {
			task := &table.Task{ID: capacityTask(i, k), Job: job.ID, State: table.TaskStarted, LastToken: 900}
			task.Lease = table.Lease{Worker: w.ID, Token: 900, Need: need, Started: true}
			t.Tasks[task.ID] = task
			job.Tasks = append(job.Tasks, task.ID)
			w.Used, w.Holds = w.Used.Plus(need), w.Holds+1
		}
	}
	return t
}

// capacityHost returns an entry host that is the only seat, is current, holds t, and whose workers respond at once.
func capacityHost(t *table.Tables, reports map[table.WorkerID]provider.Report) *Host {
	s := settings.Default()
	s.Seat = "seat-1"
	s.Seats = []settings.Seat{{ID: "seat-1", PeerAddress: "127.0.0.1:1"}}
	s.Peers.Plain = true
	h, err := New(Config{Settings: s, Logger: slog.New(slog.DiscardHandler), Platform: provider.Platform{
		Workers: provider.Workers{
			Report: func(_ context.Context, w table.WorkerID) (provider.Report, error) { return reports[w], nil },
			Renew:  func(context.Context, table.WorkerID, []provider.Renewal) error { return nil },
		},
	}})
	if err != nil {
		panic(err)
	}
	h.control.applyDelivery(journal.Delivery{Tables: t})
	h.control.caughtUp.Store(true)
	h.control.joined.Store(true)
	return h
}

// capacityReports returns a report of each of the n workers of capacityTables, by worker.
func capacityReports(n int, taken time.Time) map[table.WorkerID]provider.Report {
	all := map[table.WorkerID]provider.Report{}
	for i := range n {
		rep := provider.Report{Worker: capacityWorker(i), Taken: taken}
		for k := range capacityTasksPerWorker {
			id := capacityTask(i, k)
			rep.Statuses = append(rep.Statuses, provider.TaskStatus{Task: id, Token: 900, State: provider.RunRunning})
			rep.Tasks = append(rep.Tasks, provider.TaskUsage{Task: id, Token: 900, Used: table.Resources{CPU: 913, Memory: 3_456_789_012}, Progress: 0.1234})
		}
		for k := range capacityInstancesPerWorker {
			rep.Instances = append(rep.Instances, provider.InstanceUsage{
				Instance: table.InstanceID(fmt.Sprintf("instance-%05d-%d", i, k)), Load: 0.4321, P99: 12_345_678,
			})
		}
		all[rep.Worker] = rep
	}
	return all
}

// BenchmarkVisits measures one poll of every worker for several numbers of workers: copying the leases, comparing them
// with the report, renewing leases, and updating the interference estimates.
//
// json-B/worker is the size of a report and a renewal in JSON, without HTTP headers. cpu-us/worker excludes the
// encoding.
func BenchmarkVisits(b *testing.B) {
	for _, n := range []int{65, 145, 289, 650, 2600} {
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			t := capacityTables(n)
			reports := capacityReports(n, time.Now())
			h := capacityHost(t, reports)
			c := h.control
			now := time.Now()
			began := cpuTime()
			for b.Loop() {
				now = now.Add(time.Second)
				c.group.Fence.Advance(t.Applied, time.Now(), time.Now())
				for done := 0; done < n; {
					c.agent.run(t, now)
					select {
					case res := <-c.polls:
						c.agent.handlePoll(t, res, now)
						done++
					case <-time.After(10 * time.Second):
						b.Fatal("no poll ended within 10 s")
					}
				}
			}
			b.ReportMetric(float64(cpuTime()-began)/float64(b.N*n)/1e3, "cpu-us/worker")
			b.ReportMetric(pollBytes(b, reports[capacityWorker(0)]), "json-B/worker")
		})
	}
}

// pollBytes returns the size in JSON of rep and of the renewal of its leases.
func pollBytes(b *testing.B, rep provider.Report) float64 {
	var rs []provider.Renewal
	for _, st := range rep.Statuses {
		rs = append(rs, provider.Renewal{Task: st.Task, Token: st.Token, Until: time.Now()})
	}
	report, err := json.Marshal(rep)
	if err != nil {
		b.Fatal(err)
	}
	renewal, err := json.Marshal(rs)
	if err != nil {
		b.Fatal(err)
	}
	return float64(len(report) + len(renewal))
}

// BenchmarkLearn measures the processing of a worker report fetched from a peer.
func BenchmarkLearn(b *testing.B) {
	for _, n := range []int{65, 289, 650, 2600} {
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			t := capacityTables(n)
			taken := time.Now()
			reports := capacityReports(n, taken)
			h := capacityHost(t, reports)
			began := cpuTime()
			for b.Loop() {
				taken = taken.Add(time.Second)
				for _, rep := range reports {
					rep.Taken = taken
					h.control.proposer.policy.handleReport(t, rep, taken)
				}
			}
			b.ReportMetric(float64(cpuTime()-began)/float64(b.N*n)/1e3, "cpu-us/report")
		})
	}
}

// BenchmarkControlFold measures the control goroutine on a delivery of one batch: applying the records, the updates
// that follow each record, and rebuilding the view.
func BenchmarkControlFold(b *testing.B) {
	for _, n := range []int{65, 650, 1300, 2600} {
		for _, records := range []int{1, 16, 64} {
			b.Run(fmt.Sprintf("workers=%d/records=%d", n, records), func(b *testing.B) {
				h := capacityHost(capacityTables(n), nil)
				c := h.control
				next := func(rs []journal.Record) {
					off := c.tables.Applied + 1
					batch := &journal.Batch{Writer: "seat-2-ABCDEFGHIJKLMNOP", Seq: uint64(off), Records: rs}
					c.applyDelivery(journal.Delivery{Entries: []journal.Entry{{Offset: off, Batch: batch}}, Began: time.Now()})
				}
				began := cpuTime()
				for b.Loop() {
					var ends, grants, starts []journal.Record
					for i := range records {
						id := capacityTask(i%65, i/65)
						ends = append(ends, journal.Record{LeaseEnded: &journal.LeaseEnded{Task: id, Token: c.tables.Tasks[id].Lease.Token, Outcome: journal.LeaseStopped}})
					}
					next(ends)
					for i := range records {
						id := capacityTask(i%65, i/65)
						grants = append(grants, journal.Record{LeaseGranted: &journal.LeaseGranted{
							Task: id, Worker: capacityWorker(i % 65), Need: table.Resources{CPU: 1000, Memory: 4 << 30}, Holder: "seat-1",
						}})
					}
					next(grants)
					for i := range records {
						id := capacityTask(i%65, i/65)
						starts = append(starts, journal.Record{LeaseStarted: &journal.LeaseStarted{Task: id, Token: c.tables.Applied, Starter: "seat-2-ABCDEFGHIJKLMNOP"}})
					}
					next(starts)
				}
				b.ReportMetric(float64(cpuTime()-began)/float64(3*b.N)/1e3, "cpu-us/batch")
			})
		}
	}
}

// BenchmarkReportJSON measures decoding the report of one worker and encoding the renewal of its leases.
func BenchmarkReportJSON(b *testing.B) {
	rep := capacityReports(1, time.Now())[capacityWorker(0)]
	data, err := json.Marshal(rep)
	if err != nil {
		b.Fatal(err)
	}
	rs := make([]provider.Renewal, capacityTasksPerWorker)
	began := cpuTime()
	for b.Loop() {
		var got provider.Report
		if err := json.Unmarshal(data, &got); err != nil {
			b.Fatal(err)
		}
		if _, err := json.Marshal(rs); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(cpuTime()-began)/float64(b.N)/1e3, "cpu-us/op")
}

// BenchmarkHostList measures the platform's host list: its size in JSON, its decoding, and its comparison with the
// tables.
func BenchmarkHostList(b *testing.B) {
	for _, n := range []int{65, 650, 1300, 2600} {
		t := capacityTables(n)
		list := provider.HostList{AsOf: time.Now()}
		for _, id := range table.SortedWorkers(t) {
			w := t.Workers[id]
			list.Workers = append(list.Workers, provider.WorkerInfo{ID: id, Capacity: w.Capacity})
		}
		for _, id := range table.SortedInstances(t) {
			list.Instances = append(list.Instances, *t.Instances[id])
		}
		data, err := json.Marshal(list)
		if err != nil {
			b.Fatal(err)
		}
		hosts := capacityHost(t, nil).control.proposer.hosts
		for name, op := range map[string]func(){
			"decode": func() { _ = json.Unmarshal(data, &provider.HostList{}) },
			"compare": func() {
				hosts.newest = list
				list.AsOf = list.AsOf.Add(time.Second)
				hosts.run(t, time.Now())
			},
		} {
			b.Run(fmt.Sprintf("%s/workers=%d", name, n), func(b *testing.B) {
				began := cpuTime()
				for b.Loop() {
					op()
				}
				b.ReportMetric(float64(cpuTime()-began)/float64(b.N)/1e6, "cpu-ms/op")
				b.ReportMetric(float64(len(data)), "json-B")
			})
		}
	}
}
