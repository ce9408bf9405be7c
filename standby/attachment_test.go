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

var quiet = slog.New(slog.NewTextHandler(io.Discard, nil))

// memoryLog is a log in memory that counts the reads of jobs by host.
type memoryLog struct {
	mu     sync.Mutex
	topics map[ledger.Topic][]ledger.Record
	epochs map[string]ledger.Epoch // by producer
	reads  map[string]int
	away   func(host string) bool // whether the log turns a host away
}

func (m *memoryLog) setAway(away func(host string) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.away = away
}

var errAway = fault.New(fault.LogUnavailable, "away")

func (m *memoryLog) of(host string) ledger.Log {
	return ledger.Log{
		Append: func(_ context.Context, a ledger.Append) error {
			m.mu.Lock()
			defer m.mu.Unlock()
			if m.away(host) {
				return errAway
			}
			if a.Epoch < m.epochs[a.Producer] {
				return fault.New(fault.Stale, "fenced")
			}
			rs := m.topics[a.Topic]
			if a.HasAt && a.At != ledger.Position(len(rs)) {
				return fault.New(fault.Conflict, "ends elsewhere")
			}
			for _, r := range a.Records {
				r.Position = ledger.Position(len(rs))
				rs = append(rs, r)
			}
			m.topics[a.Topic], m.epochs[a.Producer] = rs, a.Epoch
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
	if m.away(host) {
		return ledger.Page{}, errAway
	}
	return ledger.Page{Records: append([]ledger.Record(nil), rs[from:]...), Next: end, End: end}, nil
}

// readers returns which hosts have read the log since the last call.
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

// site is entry hosts that stand for leader, read the log and send heartbeats, and do nothing else.
type site struct {
	*is.I
	t     *testing.T
	log   *memoryLog
	net   *pipenet.Network
	hosts map[string]*testHost
}

type testHost struct {
	*Node
	fold   *ledger.View
	reader *ledger.Reader
	stop   context.CancelFunc
}

func newSite(t *testing.T, n int) *site {
	s := &site{
		I: is.New(t), t: t, net: pipenet.New(), hosts: map[string]*testHost{},
		log: &memoryLog{topics: map[ledger.Topic][]ledger.Record{}, epochs: map[string]ledger.Epoch{}, reads: map[string]int{}, away: func(string) bool { return false }},
	}
	for i := range n {
		s.start(fmt.Sprint("h", i))
	}
	return s
}

func (s *site) start(name string) {
	ctx, cancel := context.WithCancel(s.t.Context())
	log := s.log.of(name)
	h := &testHost{fold: ledger.NewView(quiet), stop: cancel}
	h.reader = ledger.NewReader(ledger.ReaderConfig{
		Log: log, Fold: h.fold, Pause: 150 * time.Millisecond, Idle: func() bool { return h.Idle() }, Logger: quiet,
	})
	address := name + ":1"
	h.Node = New(Config{
		Self: member(name, "z1", 0.5), Log: log, Fold: h.fold, Leading: h.reader.Leading, Dial: s.net.Dial,
		Observe: func(error, time.Duration) {}, Logger: quiet,
	})
	e := ledger.NewElector(ledger.ElectorConfig{
		Log: log, Fold: h.fold, Reader: h.reader, Host: name, Process: fmt.Sprint(name, time.Now().UnixNano()), Address: address, Size: 0.5,
		Lead: func(ctx context.Context, _ *ledger.Writer) { <-ctx.Done() }, Logger: quiet,
	})
	ln := s.net.Listen(address)
	go h.reader.Run(ctx)
	go h.Node.Run(ctx)
	go e.Run(ctx)
	// It ends with the context of the host.
	go func() { _ = peer.ServeLinks(ctx, ln, map[string]any{Service: NewServer(h.Node)}, quiet) }()
	s.hosts[name] = h
}

// kill makes a host vanish without a word.
func (s *site) kill(name string) {
	s.net.Cut(name+":1", true)
	s.hosts[name].stop()
	delete(s.hosts, name)
}

// attached returns the hosts that leave the log to others.
func (s *site) attached() map[string]*testHost {
	hs := map[string]*testHost{}
	for name, h := range s.hosts {
		if h.Delegating() {
			hs[name] = h
		}
	}
	return hs
}

func (s *site) leader() string {
	for name, h := range s.hosts {
		if h.reader.Leading() {
			return name
		}
	}
	return ""
}

// ask asks any host that reads the log, and returns the error of the last one.
func (h *testHost) ask(ctx context.Context) error {
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

// end lets the goroutines of all hosts end.
func (s *site) end() {
	for _, h := range s.hosts {
		h.stop()
	}
	time.Sleep(time.Minute)
}

func TestMostHostsLeaveTheLogAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 20)
		defer s.end()
		time.Sleep(10 * time.Second)
		s.log.readers()
		time.Sleep(10 * time.Second)
		s.Equal(len(s.log.readers()), 1+standbys)
		attached := 0
		for _, h := range s.hosts {
			if !h.Delegating() {
				continue
			}
			attached++
			s.NoErr(h.ask(t.Context()))
			s.True(h.Leader().Host == s.leader())
			_, loaded := h.fold.Position()
			s.True(!loaded)
		}
		s.Equal(attached, 20-1-standbys)
	})
}

func TestAnotherLeaderIsFoundThroughStandbys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 12)
		defer s.end()
		time.Sleep(10 * time.Second)
		dead := s.leader()
		s.kill(dead)
		s.log.readers()
		for range 40 {
			time.Sleep(100 * time.Millisecond)
			for _, h := range s.hosts {
				if h.Delegating() {
					s.NoErr(h.ask(t.Context())) // a standby answers meanwhile
				}
			}
		}
		s.True(s.leader() != "" && s.leader() != dead)
		s.True(len(s.log.readers()) <= 1+standbys) // of which one is a new standby
		time.Sleep(6 * time.Second)
		s.log.readers()
		time.Sleep(5 * time.Second)
		s.Equal(len(s.log.readers()), 1+standbys)
	})
}

// TestHostsReadTheLogWhereNobodyCanBeAsked plays the loss of the leader and of all standbys at once.
func TestHostsReadTheLogWhereNobodyCanBeAsked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 12)
		defer s.end()
		time.Sleep(10 * time.Second)
		for name, h := range s.hosts {
			if !h.Delegating() {
				s.kill(name)
			}
		}
		s.Equal(len(s.hosts), 12-1-standbys)
		time.Sleep(5 * time.Second)
		s.True(s.leader() != "")
		for _, h := range s.hosts {
			err := h.ask(t.Context())
			s.True(err == nil || fault.Of(err) == fault.NotReady && !h.Idle())
		}
		time.Sleep(10 * time.Second)
		s.log.readers()
		time.Sleep(5 * time.Second)
		s.Equal(len(s.log.readers()), 1+standbys)
	})
}

// TestNewHostsNeedNotLoadTheLog plays hosts that come while others run, and the return of all after a loss of power.
func TestNewHostsNeedNotLoadTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 12)
		defer s.end()
		time.Sleep(10 * time.Second)
		s.log.readers()
		s.start("new")
		time.Sleep(300 * time.Millisecond)
		s.True(s.hosts["new"].Delegating())
		s.True(!s.log.readers()["new"])
		var names []string
		for name := range s.hosts {
			names = append(names, name)
			s.kill(name)
		}
		time.Sleep(2 * time.Second)
		s.log.readers()
		for _, name := range names {
			s.net.Cut(name+":1", false)
			s.start(name)
		}
		time.Sleep(discoverFor + 300*time.Millisecond)
		s.Equal(len(s.log.readers()), 1+standbys)
		time.Sleep(5 * time.Second)
		s.True(s.leader() != "")
	})
}

func TestQuestionsOfAReaderAreItsOwn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 1)
		defer s.end()
		time.Sleep(5 * time.Second)
		err := s.hosts["h0"].ask(t.Context())
		s.Equal(fault.Of(err), fault.NotReady)
		s.True(!errors.Is(err, context.DeadlineExceeded))
	})
}

// TestLogAwayForAllMovesNobody plays an outage of the log, in which all views grow old: hosts that could not read the log either refuse at once, and load nothing when it is back.
func TestLogAwayForAllMovesNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 8)
		defer s.end()
		time.Sleep(10 * time.Second)
		attached := s.attached()
		s.Equal(len(attached), 8-1-standbys)
		s.log.setAway(func(string) bool { return true })
		time.Sleep(viewOldest + 3*time.Second)
		s.log.readers()
		for _, h := range attached {
			s.True(h.LogUnavailable())
			began := time.Now()
			s.Equal(fault.Of(h.ask(t.Context())), fault.LogUnavailable) // a view this old is not shown
			s.True(time.Since(began) < callTimeout)
		}
		s.log.setAway(func(string) bool { return false })
		time.Sleep(time.Second)
		for _, h := range attached {
			s.True(h.Delegating() && !h.LogUnavailable())
			s.NoErr(h.ask(t.Context()))
		}
		time.Sleep(5 * time.Second)
		s.True(len(s.log.readers()) <= 1+standbys)
	})
}

// TestOldViewsAreNotAsked plays readers that the log turns away while it serves the other hosts.
func TestOldViewsAreNotAsked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 8)
		defer s.end()
		time.Sleep(10 * time.Second)
		attached := s.attached()
		s.log.setAway(func(host string) bool { return attached[host] == nil })
		time.Sleep(viewOldest + 3*time.Second)
		for _, h := range attached {
			s.True(!h.Idle())
			_, loaded := h.fold.Position()
			s.True(loaded)
		}
		time.Sleep(3 * time.Second)
		led := false
		for _, h := range attached {
			led = led || h.reader.Leading()
		}
		s.True(led)
		s.log.setAway(func(string) bool { return false })
		time.Sleep(10 * time.Second)
		s.log.readers()
		time.Sleep(5 * time.Second)
		s.Equal(len(s.log.readers()), 1+standbys)
	})
}
