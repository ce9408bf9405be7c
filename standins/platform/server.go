package platform

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"persimmonpick/fault"
	api "persimmonpick/provider"
	"persimmonpick/standins/harness"
	"persimmonpick/table"
)

// The actions of faults, described in standins/README.md.
const (
	Fail       harness.Action = "Fail"       // fail as in an outage, without any effect
	Drop       harness.Action = "Drop"       // close the connection, without any effect
	Refuse     harness.Action = "Refuse"     // fail with the error code Code
	Slow       harness.Action = "Slow"       // run after Delay
	LoseReply  harness.Action = "LoseReply"  // run, then close the connection
	Late       harness.Action = "Late"       // close the connection, run after Delay
	Freeze     harness.Action = "Freeze"     // hold calls until the fault ends; with a Worker, pause its tasks as well
	Cut        harness.Action = "Cut"        // the worker is unreachable; its tasks run on
	Kill       harness.Action = "Kill"       // the tasks of the worker fail, and it is unreachable while the fault lasts
	FailStarts harness.Action = "FailStarts" // tasks fail as soon as the worker starts them
	RunSlow    harness.Action = "RunSlow"    // tasks of the worker run slower by Factor
	Stale      harness.Action = "Stale"      // the host list is frozen
	Empty      harness.Action = "Empty"      // the host list is empty
	Short      harness.Action = "Short"      // the host list is cut to the first Share of its entries
)

// errDropped stands for a response that is never sent; the HTTP handler closes the connection.
var errDropped = errors.New("connection closed without an answer")

// Config configures a Server; zero values select the defaults.
type Config struct {
	Workers          []api.WorkerInfo
	Instances        []table.Instance
	ListLag          table.Millis // age of the host list
	UsageLag         table.Millis // minimum age of the usage in reports
	AppendsPerSecond int          // 300 by default
	RetainEntries    int          // entries retained in each stream, 100,000 by default
	RetainFor        table.Millis // age at which entries are dropped, one day by default

	// LeaveGrace is how long a start on a worker is still permitted after a list first showed the worker as leaving;
	// 5 s by default.
	LeaveGrace table.Millis
}

// Stats counts calls and refusals.
type Stats struct {
	Calls            map[string]int // by function
	AppendsRefused   int            // over AppendsPerSecond
	CapacityRefusals int
	StaleRefusals    int
}

// Server is the platform stand-in. All of its state is in memory and guarded by one mutex.
type Server struct {
	Faults *harness.Faults

	cfg           Config
	mu            sync.Mutex
	stats         Stats
	streams       map[string]*stream
	appendLimiter *rate.Limiter
	workers       map[table.WorkerID]*worker
	hostVersions  []hostVersion
	staleList     *api.HostList // what the host list showed when the fault Stale was added
	instanceUsage map[table.InstanceID]api.InstanceUsage
	ledger        []Event
	runs          []*run
	violations    []Violation
}

// New returns a Server with the workers and instances of cfg.
func New(cfg Config) *Server {
	cfg.AppendsPerSecond = orDefault(cfg.AppendsPerSecond, 300)
	cfg.RetainEntries = orDefault(cfg.RetainEntries, 100_000)
	cfg.RetainFor = table.Millis(orDefault(int(cfg.RetainFor), 24*3600*1000))
	cfg.LeaveGrace = table.Millis(orDefault(int(cfg.LeaveGrace), 5000))
	s := &Server{
		Faults:        harness.NewFaults(Fail, Drop, Refuse, Slow, LoseReply, Late, Freeze, Cut, Kill, FailStarts, RunSlow, Stale, Empty, Short),
		cfg:           cfg,
		stats:         Stats{Calls: map[string]int{}},
		streams:       map[string]*stream{},
		appendLimiter: rate.NewLimiter(rate.Limit(cfg.AppendsPerSecond), max(1, cfg.AppendsPerSecond/10)),
		workers:       map[table.WorkerID]*worker{},
		instanceUsage: map[table.InstanceID]api.InstanceUsage{},
	}
	s.Faults.BeforeChange = s.beforeFault
	s.ChangeHosts(HostChange{Add: cfg.Workers, AddInstances: cfg.Instances})
	s.hostVersions = s.hostVersions[len(s.hostVersions)-1:]
	s.hostVersions[0].since = time.Time{}
	return s
}

func orDefault(n, def int) int {
	if n == 0 {
		return def
	}
	return n
}

// Platform returns the functions of the stand-in for direct calls, without HTTP.
func (s *Server) Platform() api.Platform {
	return api.Platform{
		Log:   api.Log{Append: s.append, Read: s.read},
		Hosts: api.Hosts{List: s.list},
		Workers: api.Workers{
			Start: s.start, Renew: s.renew, Stop: s.stop, Checkpoint: s.checkpoint,
			Throttle: s.throttle, Report: s.report, Forget: s.forget,
		},
	}
}

// Stats returns a copy of the counters.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.stats
	c.Calls = map[string]int{}
	for f, n := range s.stats.Calls {
		c.Calls[f] = n
	}
	return c
}

// call applies the first matching fault to a call and, if the fault permits, runs op with the mutex held.
func (s *Server) call(ctx context.Context, function string, w table.WorkerID, op func(now time.Time) error) error {
	f, ended, ok := s.Faults.Take(func(f harness.Fault) bool { return affectsCall(f, function, w) })
	if !ok {
		return s.run(function, op)
	}
	switch f.Action {
	case Fail:
		return fault.New(outageKind(function), "%s fails on demand", function)
	case Refuse:
		return fault.New(fault.ParseKind(f.Code), "%s is refused on demand", function)
	case LoseReply:
		if err := s.run(function, op); err != nil {
			return err
		}
		return droppedError(function)
	case Late:
		time.AfterFunc(millis(f.Delay), func() { _ = s.run(function, op) })
		return droppedError(function)
	case Slow:
		if err := wait(ctx, function, time.After(millis(f.Delay)), nil); err != nil {
			return err
		}
		return s.run(function, op)
	case Freeze:
		if err := wait(ctx, function, nil, ended); err != nil {
			return err
		}
		return s.call(ctx, function, w, op)
	}
	return droppedError(function) // Drop, Cut, Kill
}

func (s *Server) run(function string, op func(now time.Time) error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Calls[function]++
	return op(time.Now())
}

// affectsCall reports whether f applies to calls of a function; w is empty for calls that address no worker.
func affectsCall(f harness.Fault, function string, w table.WorkerID) bool {
	switch f.Action {
	case FailStarts, RunSlow, Stale, Empty, Short:
		return false
	case Cut, Kill:
		return w != "" && f.Worker == w
	}
	if f.Worker != "" && f.Worker != w {
		return false
	}
	return f.Target == "" || f.Target == function || strings.HasPrefix(function, f.Target+".")
}

func droppedError(function string) error {
	return fault.Wrap(errDropped, outageKind(function), "%s got no answer; the outcome is unknown", function)
}

func outageKind(function string) fault.Kind {
	if strings.HasPrefix(function, "Log.") {
		return fault.LogUnavailable
	}
	return fault.PlatformFailed
}

func wait(ctx context.Context, function string, timer <-chan time.Time, ended <-chan struct{}) error {
	select {
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), outageKind(function), "%s was given up while it waited", function)
	case <-timer:
	case <-ended:
	}
	return nil
}

func millis(n table.Millis) time.Duration {
	return time.Duration(n) * time.Millisecond
}
