package peer

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"persimmonpick/burn"
	"persimmonpick/provider"
	"persimmonpick/table"
)

func cpuTime() time.Duration {
	var ru syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &ru); err != nil {
		panic(err)
	}
	return time.Duration(ru.Utime.Nano() + ru.Stime.Nano())
}

// countingListener counts the bytes that its connections read and write.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countingConn{conn, &l.bytes}, err
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// measureCalls reports the bytes in both directions and the processor time of both ends of one call.
func measureCalls(b *testing.B, h Handlers, call func(*Client) error) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	ln := &countingListener{Listener: inner}
	s, err := Serve(ln, nil, h, slog.New(slog.DiscardHandler))
	if err != nil {
		b.Fatal(err)
	}
	defer s.Close()
	c := NewClient(ln.Addr().String(), nil)
	defer c.Close()
	if err := call(c); err != nil { // gob sends type definitions with the first call
		b.Fatal(err)
	}
	first := ln.bytes.Load()
	began := cpuTime()
	for b.Loop() {
		if err := call(c); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(cpuTime()-began)/float64(b.N)/1e3, "cpu-us/op")
	b.ReportMetric(float64(ln.bytes.Load()-first)/float64(b.N), "wire-B/op")
}

// BenchmarkHeartbeat measures a heartbeat by the number of workers that the replying host cannot reach.
func BenchmarkHeartbeat(b *testing.B) {
	for _, lost := range []int{0, 10, 50, 140, 290} {
		b.Run(fmt.Sprintf("unreachable=%d", lost), func(b *testing.B) {
			hb := Heartbeat{Seat: "seat-2", Incarnation: "seat-2-ABCDEFGHIJKLMNOP", Applied: 1 << 40, Ready: true, InFlight: 100}
			for i := range lost {
				hb.Unreachable = append(hb.Unreachable, table.WorkerID(fmt.Sprintf("worker-%05d", i)))
			}
			g := NewGroup(Config{
				Seat: "seat-2", Seats: []Seat{{"seat-1", ""}, {"seat-2", ""}}, LogGrace: time.Second,
				Self: func() Heartbeat { return hb }, Log: slog.New(slog.DiscardHandler),
			})
			own := hb
			own.Seat, own.Unreachable = "seat-1", nil
			measureCalls(b, Handlers{Heartbeat: g.HandleHeartbeat}, func(c *Client) error {
				_, err := c.Heartbeat(context.Background(), own)
				return err
			})
		})
	}
}

// BenchmarkReports measures the exchange of usage reports, each of 9 tasks and 3 instances.
func BenchmarkReports(b *testing.B) {
	for _, n := range []int{8, 72, 145, 289, 650} {
		b.Run(fmt.Sprintf("reports=%d", n), func(b *testing.B) {
			reply := ReportsReply{Next: 1 << 30}
			for i := range n {
				reply.Reports = append(reply.Reports, capacityReport(i))
			}
			measureCalls(b, Handlers{Reports: func(ReportsArgs) ReportsReply { return reply }}, func(c *Client) error {
				_, err := c.Reports(context.Background(), ReportsArgs{From: 1 << 30})
				return err
			})
		})
	}
}

func capacityReport(i int) provider.Report {
	rep := provider.Report{Worker: table.WorkerID(fmt.Sprintf("worker-%05d", i)), Taken: time.Now()}
	for k := range 9 {
		rep.Tasks = append(rep.Tasks, provider.TaskUsage{
			Task: table.TaskID(fmt.Sprintf("j-ABCDEFGHIJKLMNOPQR%08d/%d", i, k)), Token: 1 << 40,
			Used: table.Resources{CPU: 913, Memory: 3_456_789_012}, Progress: 0.1234 * float64(k),
		})
	}
	for k := range 3 {
		rep.Instances = append(rep.Instances, provider.InstanceUsage{
			Instance: table.InstanceID(fmt.Sprintf("instance-%05d-%d", i, k)), Load: 0.4321, P99: 12_345_678,
		})
	}
	return rep
}

// BenchmarkBurnExchange measures fetching one hour of counts of one host for 10 kinds, by the number of instances.
func BenchmarkBurnExchange(b *testing.B) {
	for _, instances := range []int{65, 130, 260, 512} {
		b.Run(fmt.Sprintf("instances=%d", instances), func(b *testing.B) {
			s := capacityCounts(instances)
			measureCalls(b, Handlers{Burn: func(BurnArgs) BurnReply { return BurnReply{Snapshots: []burn.Snapshot{s}} }}, func(c *Client) error {
				_, err := c.Burn(context.Background(), BurnArgs{})
				return err
			})
		})
	}
}

// capacityCounts returns the counts of one hour of requests to instances on as many workers.
func capacityCounts(instances int) burn.Snapshot {
	r := burn.NewRecorder(burn.Config{
		Seat: "seat-2", Incarnation: "seat-2-ABCDEFGHIJKLMNOP", Windows: burn.Windows{Short: 5 * time.Minute, Long: time.Hour},
		Objective: func(table.KindID) table.Objective { return table.Objective{Target: 0.999, Latency: 100} },
	})
	at := time.Unix(1_800_000_000, 0)
	for i := range 60 * instances * 4 {
		at = at.Add(time.Hour / time.Duration(60*instances*4))
		name := fmt.Sprintf("%05d", i%instances)
		kind := table.KindID(fmt.Sprintf("kind-%d", i%10))
		r.Observe(kind, table.InstanceID("instance-"+name), table.WorkerID("worker-"+name), time.Duration(1+i%97)*time.Millisecond, i%100 != 0, at)
	}
	return r.Snapshot(at)
}
