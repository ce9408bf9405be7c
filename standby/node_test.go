package standby

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"persimmonpick/fault"
	"persimmonpick/ledger"
	"persimmonpick/peer"
	"persimmonpick/standins/pipenet"
)

var discardLogger = slog.New(slog.NewTextHandler(io.Discard, nil))

// memoryLog is an in-memory log that counts the reads of JobTopic by host.
type memoryLog struct {
	mu          sync.Mutex
	topics      map[ledger.Topic][]ledger.Record
	epochs      map[string]ledger.Epoch // by producer
	next        map[string]int64        // sequence numbers, by producer
	reads       map[string]int
	unavailable func(host string) bool // reports whether the log refuses the calls of a host
}

func (m *memoryLog) setUnavailable(unavailable func(host string) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unavailable = unavailable
}

var errUnavailable = fault.New(fault.LogUnavailable, "unavailable")

func (m *memoryLog) forHost(host string) ledger.Log {
	return ledger.Log{
		Append: func(_ context.Context, a ledger.Append) error {
			m.mu.Lock()
			defer m.mu.Unlock()
			if m.unavailable(host) {
				return errUnavailable
			}
			if a.Epoch < m.epochs[a.Producer] {
				return fault.New(fault.Stale, "fenced")
			}
			rs := m.topics[a.Topic]
			if a.Producer != "" && a.Epoch == m.epochs[a.Producer] && a.Sequence < m.next[a.Producer] {
				return nil // duplicate
			}
			for _, r := range a.Records {
				r.Position = ledger.Position(len(rs))
				rs = append(rs, r)
			}
			m.topics[a.Topic], m.epochs[a.Producer], m.next[a.Producer] = rs, a.Epoch, a.Sequence+1
			return nil
		},
		Read: func(ctx context.Context, topic ledger.Topic, from ledger.Position, wait time.Duration) (ledger.Page, error) {
			m.count(topic, host)
			for end := time.Now().Add(wait); ; {
				p, err := m.page(host, topic, from)
				if err != nil || len(p.Records) > 0 || !time.Now().Before(end) {
					return p, err
				}
				ledger.Sleep(ctx, 10*time.Millisecond)
				if ctx.Err() != nil {
					return p, ctx.Err()
				}
			}
		},
		Newest: func(_ context.Context, topic ledger.Topic, _ string) (ledger.Snapshot, error) {
			m.count(topic, host)
			p, err := m.page(host, topic, 0)
			s := ledger.Snapshot{End: p.End}
			for i, r := range p.Records {
				if !slices.ContainsFunc(p.Records[i+1:], func(o ledger.Record) bool { return o.Key == r.Key }) {
					s.Records = append(s.Records, r)
				}
			}
			return s, err
		},
	}
}

func (m *memoryLog) count(topic ledger.Topic, host string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if topic == ledger.JobTopic {
		m.reads[host]++
	}
}

func (m *memoryLog) page(host string, topic ledger.Topic, from ledger.Position) (ledger.Page, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	rs := m.topics[topic]
	end := ledger.Position(len(rs))
	if m.unavailable(host) {
		return ledger.Page{}, errUnavailable
	}
	return ledger.Page{Records: append([]ledger.Record(nil), rs[from:]...), Next: end, End: end}, nil
}

// readers returns the hosts that have read JobTopic since the last call.
func (m *memoryLog) readers() map[string]bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	rs := map[string]bool{}
	for host := range m.reads {
		rs[host] = true
	}
	clear(m.reads)
	return rs
}

// cluster is a set of entry hosts that only elect a leader, read the log and send heartbeats.
type cluster struct {
	*is.I
	t     *testing.T
	log   *memoryLog
	net   *pipenet.Network
	hosts map[string]*testHost
}

type testHost struct {
	*Node
	view   *ledger.View
	reader *ledger.Reader
	stop   context.CancelFunc
}

func newCluster(t *testing.T, n int) *cluster {
	c := &cluster{
		I: is.New(t), t: t, net: pipenet.New(), hosts: map[string]*testHost{},
		log: &memoryLog{topics: map[ledger.Topic][]ledger.Record{}, epochs: map[string]ledger.Epoch{}, next: map[string]int64{}, reads: map[string]int{}, unavailable: func(string) bool { return false }},
	}
	for i := range n {
		c.start(fmt.Sprint("h", i))
	}
	return c
}

func (c *cluster) start(name string) {
	ctx, cancel := context.WithCancel(c.t.Context())
	log := c.log.forHost(name)
	h := &testHost{view: ledger.NewView(discardLogger), stop: cancel}
	h.reader = ledger.NewReader(ledger.ReaderConfig{
		Log: log, View: h.view, Pause: 150 * time.Millisecond, Idle: func() bool { return h.Idle() }, Logger: discardLogger,
	})
	address := name + ":1"
	h.Node = New(Config{
		Self: member(name, "z1", 0.5), Log: log, View: h.view, Leading: h.reader.Leading, Dial: c.net.Dial,
		Observe: func(error, time.Duration) {}, Logger: discardLogger,
	})
	e := ledger.NewElector(ledger.ElectorConfig{
		Log: log, View: h.view, Reader: h.reader, Host: name, Process: fmt.Sprint(name, time.Now().UnixNano()), Address: address, Size: 0.5,
		Lead: func(ctx context.Context, _ *ledger.Writer) { <-ctx.Done() }, Logger: discardLogger,
	})
	ln := c.net.Listen(address)
	go h.reader.Run(ctx)
	go h.Node.Run(ctx)
	go e.Run(ctx)
	// Ends with the context of the host.
	go func() { _ = peer.ServeLinks(ctx, ln, map[string]any{Service: NewServer(h.Node)}, discardLogger) }()
	c.hosts[name] = h
}

// kill stops a host and cuts its connections, without a resignation reaching the others.
func (c *cluster) kill(name string) {
	c.net.SetUnreachable(name+":1", true)
	c.hosts[name].stop()
	delete(c.hosts, name)
}

// delegating returns the hosts that do not read the log themselves.
func (c *cluster) delegating() map[string]*testHost {
	hs := map[string]*testHost{}
	for name, h := range c.hosts {
		if h.Delegating() {
			hs[name] = h
		}
	}
	return hs
}

func (c *cluster) leader() string {
	for name, h := range c.hosts {
		if h.reader.Leading() {
			return name
		}
	}
	return ""
}

// query calls any log reader and returns the error of the last call.
func (h *testHost) query(ctx context.Context) error {
	return h.Query(ctx, func(ctx context.Context, l *peer.Link) error {
		var r HeartbeatReply
		if err := l.Call(ctx, methodHeartbeat, HeartbeatArgs{Member: h.cfg.Self}, &r); err != nil {
			return err
		}
		if !r.usable() {
			return fault.New(fault.NotReady, "old")
		}
		return nil
	})
}

// stop stops all hosts and waits for their goroutines to end.
func (c *cluster) stop() {
	for _, h := range c.hosts {
		h.stop()
	}
	time.Sleep(time.Minute)
}

func TestOnlyLeaderAndStandbysReadLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 20)
		defer c.stop()
		time.Sleep(10 * time.Second)
		c.log.readers()
		time.Sleep(10 * time.Second)
		c.Equal(len(c.log.readers()), 1+standbys)
		delegating := 0
		for _, h := range c.hosts {
			if !h.Delegating() {
				continue
			}
			delegating++
			c.NoErr(h.query(t.Context()))
			c.True(h.Leader().Host == c.leader())
			_, loaded := h.view.Position()
			c.True(!loaded)
		}
		c.Equal(delegating, 20-1-standbys)
	})
}

func TestNewLeaderIsFoundThroughStandbys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 12)
		defer c.stop()
		time.Sleep(10 * time.Second)
		dead := c.leader()
		c.kill(dead)
		c.log.readers()
		for range 40 {
			time.Sleep(100 * time.Millisecond)
			for _, h := range c.hosts {
				if h.Delegating() {
					c.NoErr(h.query(t.Context())) // standbys answer during the election
				}
			}
		}
		c.True(c.leader() != "" && c.leader() != dead)
		c.True(len(c.log.readers()) <= 1+standbys) // including one new standby
		time.Sleep(6 * time.Second)
		c.log.readers()
		time.Sleep(5 * time.Second)
		c.Equal(len(c.log.readers()), 1+standbys)
	})
}

// The leader and all standbys are lost at once, so that no host answers queries. The remaining hosts must read
// the log themselves, elect a leader, and return to a few readers.
func TestHostsReadLogWhenNoReaderAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 12)
		defer c.stop()
		time.Sleep(10 * time.Second)
		for name, h := range c.hosts {
			if !h.Delegating() {
				c.kill(name)
			}
		}
		c.Equal(len(c.hosts), 12-1-standbys)
		time.Sleep(5 * time.Second)
		c.True(c.leader() != "")
		for _, h := range c.hosts {
			err := h.query(t.Context())
			c.True(err == nil || fault.Of(err) == fault.NotReady && !h.Idle())
		}
		time.Sleep(10 * time.Second)
		c.log.readers()
		time.Sleep(5 * time.Second)
		c.Equal(len(c.log.readers()), 1+standbys)
	})
}

// Hosts join a running cluster, and all hosts restart at once after a power failure. Without the hint each of
// them would load the whole log.
func TestNewHostsNeedNotLoadTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 12)
		defer c.stop()
		time.Sleep(10 * time.Second)
		c.log.readers()
		c.start("new")
		time.Sleep(300 * time.Millisecond)
		c.True(c.hosts["new"].Delegating())
		c.True(!c.log.readers()["new"])
		var names []string
		for name := range c.hosts {
			names = append(names, name)
			c.kill(name)
		}
		time.Sleep(2 * time.Second)
		c.log.readers()
		for _, name := range names {
			c.net.SetUnreachable(name+":1", false)
			c.start(name)
		}
		time.Sleep(discoverTimeout + 300*time.Millisecond)
		c.Equal(len(c.log.readers()), 1+standbys)
		time.Sleep(5 * time.Second)
		c.True(c.leader() != "")
	})
}

func TestLogReaderDoesNotQueryOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		defer c.stop()
		time.Sleep(5 * time.Second)
		err := c.hosts["h0"].query(t.Context())
		c.Equal(fault.Of(err), fault.NotReady)
		c.True(!errors.Is(err, context.DeadlineExceeded))
	})
}

// An outage of the log makes all views stale. Hosts that cannot read the log either must refuse queries at
// once, and must not load the log when it is back.
func TestLogOutageKeepsHostsDelegating(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 8)
		defer c.stop()
		time.Sleep(10 * time.Second)
		delegating := c.delegating()
		c.Equal(len(delegating), 8-1-standbys)
		c.log.setUnavailable(func(string) bool { return true })
		time.Sleep(maxViewAge + 3*time.Second)
		c.log.readers()
		for _, h := range delegating {
			c.True(h.LogUnavailable())
			began := time.Now()
			c.Equal(fault.Of(h.query(t.Context())), fault.LogUnavailable) // a view this stale must not be used
			c.True(time.Since(began) < callTimeout)
		}
		c.log.setUnavailable(func(string) bool { return false })
		time.Sleep(time.Second)
		for _, h := range delegating {
			c.True(h.Delegating() && !h.LogUnavailable())
			c.NoErr(h.query(t.Context()))
		}
		time.Sleep(5 * time.Second)
		c.True(len(c.log.readers()) <= 1+standbys)
	})
}

// The log refuses its readers but serves the other hosts, so that the readers' views become stale. The other
// hosts must stop querying them, read the log and elect a leader.
func TestStaleReadersAreNotQueried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 8)
		defer c.stop()
		time.Sleep(10 * time.Second)
		delegating := c.delegating()
		c.log.setUnavailable(func(host string) bool { return delegating[host] == nil })
		time.Sleep(maxViewAge + 3*time.Second)
		for _, h := range delegating {
			c.True(!h.Idle())
			_, loaded := h.view.Position()
			c.True(loaded)
		}
		time.Sleep(3 * time.Second)
		led := false
		for _, h := range delegating {
			led = led || h.reader.Leading()
		}
		c.True(led)
		c.log.setUnavailable(func(string) bool { return false })
		time.Sleep(10 * time.Second)
		c.log.readers()
		time.Sleep(5 * time.Second)
		c.Equal(len(c.log.readers()), 1+standbys)
	})
}

// Standbys of one size claim leadership in one order that all of them know, so that their claims do not collide.
func TestStandbysClaimInOneOrder(t *testing.T) {
	is := is.New(t)
	chosen := []Member{{Host: "a", Size: 0.2}, {Host: "b", Size: 0.8}, {Host: "c", Size: 0.2}}
	for host, want := range map[string]int{"b": 0, "a": 1, "c": 2, "other": -1} {
		n := New(Config{Self: Member{Host: host}})
		n.standbys = chosen
		rank, known := n.ClaimRank()
		is.Equal(rank, want)
		is.Equal(known, want >= 0)
	}
}
