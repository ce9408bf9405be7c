package ledger

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
	"unicode/utf8"

	"github.com/matryer/is"

	"persimmonpick/fault"
	"persimmonpick/table"
	"persimmonpick/workload"
)

// memoryLog is an in-memory log whose calls can be made to fail.
type memoryLog struct {
	mu        sync.Mutex
	records   []Record
	first     Position
	epochs    map[string]Epoch
	next      map[string]int64
	appendErr error // returned instead of appending
	loseErr   error // returned after appending
	readErr   error
	appends   int
	latency   time.Duration // of an append
	maxRecord table.Bytes   // larger records are refused; 0 means no limit
	maxAppend table.Bytes   // likewise
	changed   chan struct{}
}

// repeatable is the number of appends of a producer that are recognized if they are repeated.
const repeatable = 5

func newMemoryLog() *memoryLog {
	return &memoryLog{epochs: map[string]Epoch{}, next: map[string]int64{}, changed: make(chan struct{}), latency: time.Millisecond}
}

func (m *memoryLog) log() Log { return Log{Append: m.append, Read: m.read, Newest: m.newest} }

func (m *memoryLog) set(f func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f()
}

func (m *memoryLog) end() Position { return m.first + Position(len(m.records)) }

func (m *memoryLog) append(ctx context.Context, a Append) error {
	m.mu.Lock()
	latency := m.latency
	m.mu.Unlock()
	Sleep(ctx, latency)
	if ctx.Err() != nil {
		return fault.Wrap(ctx.Err(), fault.OutcomeUnknown, "no answer")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.appends++
	total, tooLarge := table.Bytes(0), false
	for _, r := range a.Records {
		total += r.Size()
		tooLarge = tooLarge || m.maxRecord > 0 && r.Size() > m.maxRecord
	}
	switch {
	case m.appendErr != nil:
		return m.appendErr
	case tooLarge || m.maxAppend > 0 && total > m.maxAppend:
		return fault.New(fault.TooLarge, "too large")
	case a.Epoch < m.epochs[a.Producer]:
		return fault.New(fault.Stale, "fenced")
	case a.Epoch > m.epochs[a.Producer]:
		m.epochs[a.Producer], m.next[a.Producer] = a.Epoch, a.Sequence
	case a.Sequence > m.next[a.Producer] || a.Sequence < m.next[a.Producer]-repeatable:
		return fault.New(fault.Stale, "seq")
	case a.Sequence < m.next[a.Producer]:
		return nil // duplicate
	}
	for _, r := range a.Records {
		r.Position = m.end()
		m.records = append(m.records, r)
	}
	m.next[a.Producer] = a.Sequence + 1
	close(m.changed)
	m.changed = make(chan struct{})
	return m.loseErr
}

func (m *memoryLog) read(ctx context.Context, _ Topic, from Position, wait time.Duration) (Page, error) {
	end := time.After(wait)
	for {
		m.mu.Lock()
		changed, err := m.changed, m.readErr
		gone := from < m.first
		var rs []Record
		if !gone {
			rs = append(rs, m.records[from-m.first:]...)
		}
		p := Page{Records: rs, Next: m.end(), End: m.end()}
		m.mu.Unlock()
		switch {
		case err != nil:
			return Page{}, err
		case gone:
			return Page{}, fault.New(fault.NotFound, "gone")
		case len(rs) > 0 || wait == 0:
			return p, nil
		}
		select {
		case <-changed:
		case <-end:
			wait = 0
		case <-ctx.Done():
			return Page{}, ctx.Err()
		}
	}
}

func (m *memoryLog) newest(_ context.Context, _ Topic, _ string) (Snapshot, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.readErr != nil {
		return Snapshot{}, m.readErr
	}
	byKey := map[string]Record{}
	for _, r := range m.records {
		byKey[r.Key] = r
	}
	s := Snapshot{End: m.end()}
	for _, r := range byKey {
		if r.Value != nil {
			s.Records = append(s.Records, r)
		}
	}
	return s, nil
}

var discardLogger = slog.New(slog.NewTextHandler(io.Discard, nil))

func submission(is *is.I, id table.JobID) Record {
	r, err := SubmissionRecord(id, &workload.Submission{Queue: workload.Queue{ID: "q"}, Spec: workload.Spec{Payload: string(id)}})
	is.NoErr(err)
	return r
}

// host is a view with its reader.
type host struct {
	view   *View
	reader *Reader
}

func newHost(m *memoryLog) host {
	v := NewView(discardLogger)
	return host{v, NewReader(ReaderConfig{Log: m.log(), View: v, Pause: 50 * time.Millisecond, Logger: discardLogger})}
}

func TestAppenderDistinguishesUnknownFromRefused(t *testing.T) {
	for _, c := range []struct {
		name       string
		appendErr  error
		loseErr    error
		want       fault.Kind
		within     time.Duration
		mayBeThere bool
	}{
		{name: "sound", want: fault.None, within: 100 * time.Millisecond, mayBeThere: true},
		{name: "refusing", appendErr: fault.New(fault.LogUnavailable, "no"), want: fault.LogUnavailable, within: time.Second},
		{name: "losing", loseErr: fault.New(fault.OutcomeUnknown, "lost"), want: fault.None, within: time.Second, mayBeThere: true},
		{name: "silent", appendErr: fault.New(fault.OutcomeUnknown, "?"), want: fault.OutcomeUnknown, within: 3 * time.Second, mayBeThere: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				m := newMemoryLog()
				m.appendErr, m.loseErr = c.appendErr, c.loseErr
				ctx, cancel := context.WithCancel(t.Context())
				a := NewAppender(AppenderConfig{Log: m.log(), Producer: "p", Failing: never, Logger: discardLogger})
				go a.Run(ctx)
				began := time.Now()
				err := a.Append(ctx, submission(is, "a"))
				is.Equal(fault.Of(err), c.want)
				is.True(time.Since(began) <= c.within)
				is.True(c.mayBeThere || len(m.records) == 0)
				is.True(len(m.records) <= 1)
				cancel()
				synctest.Wait()
			})
		})
	}
}

func TestAppenderBatchesCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := newMemoryLog()
		ctx, cancel := context.WithCancel(t.Context())
		a := NewAppender(AppenderConfig{Log: m.log(), Producer: "p", Failing: never, Logger: discardLogger})
		go a.Run(ctx)
		var wg sync.WaitGroup
		for i := range 40 {
			wg.Go(func() { is.NoErr(a.Append(ctx, submission(is, table.JobID(fmt.Sprint(i))))) })
		}
		wg.Wait()
		is.Equal(len(m.records), 40)
		is.True(m.appends < 10)
		cancel()
		synctest.Wait()
	})
}

func TestViewFromSnapshotMatchesViewFromRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := newMemoryLog()
		ctx, cancel := context.WithCancel(t.Context())
		early := newHost(m)
		go early.reader.Run(ctx)
		status, err := StatusRecord("b", workload.Status{State: workload.Running})
		is.NoErr(err)
		cancelled, err := CancelRecord("c", 1)
		is.NoErr(err)
		all := []Record{submission(is, "a"), submission(is, "b"), submission(is, "c"), submission(is, "d"), status, cancelled}
		all = append(all, DropJob("d")...)
		is.NoErr(m.append(ctx, Append{Producer: "p", Epoch: 1, Records: all}))
		time.Sleep(2 * readWait)
		m.set(func() { m.first, m.records = m.end(), m.records[:len(m.records):len(m.records)] })
		m.set(func() { m.first = 0 })
		late := newHost(m)
		is.NoErr(late.reader.Refresh(ctx))
		for _, v := range []*View{early.view, late.view} {
			is.Equal(v.Pending("q"), 1) // only a: b runs, c is cancelled, d is deleted
			b, ok := v.Job("b")
			is.True(ok)
			is.Equal(b.Status.State, workload.Running)
			c, ok := v.Job("c")
			is.True(ok)
			is.True(c.Cancelled)
			_, ok = v.Job("d")
			is.True(!ok)
		}
		cancel()
		synctest.Wait()
	})
}

func TestUnreadableRecordsChangeNothing(t *testing.T) {
	is := is.New(t)
	v := NewView(discardLogger)
	v.load(nil, 0, time.Now())
	v.applyPage(0, Page{Records: []Record{{}, {Key: "Jx", Value: []byte{0xff}}, {Key: "L", Value: []byte("?")}, {Key: "Zy", Value: []byte("?")}}, Next: 4, End: 4}, time.Now())
	_, ok := v.Job("x")
	is.True(!ok)
	is.Equal(v.Leader(), Leader{})
}

// A status that cannot be decoded must not make a completed job look queued.
func TestUnreadableStatusKeepsTheLastOne(t *testing.T) {
	is := is.New(t)
	v := NewView(discardLogger)
	v.load(nil, 0, time.Now())
	r, err := StatusRecord("x", workload.Status{State: workload.Completed})
	is.NoErr(err)
	v.applyPage(0, Page{Records: []Record{submission(is, "x"), r, {Key: r.Key, Value: []byte{0xff}}}, Next: 3, End: 3}, time.Now())
	e, ok := v.Job("x")
	is.True(ok)
	is.Equal(e.Status.State, workload.Completed)
	is.Equal(v.Pending("q"), 0)
}

// candidate is a host with an elector; it records whether it leads.
type candidate struct {
	host
	mu      sync.Mutex
	leading bool
	writer  *Writer
	stop    context.CancelFunc
	done    chan struct{}
}

func (c *candidate) isLeading() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leading
}

// currentWriter returns the writer of the latest epoch led by c.
func (c *candidate) currentWriter() *Writer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writer
}

func startCandidate(t *testing.T, m *memoryLog, name string) *candidate {
	return startCandidateOf(t, m, name, 1, nil)
}

func startCandidateOf(t *testing.T, m *memoryLog, name string, size float64, rank func() (int, bool)) *candidate {
	ctx, cancel := context.WithCancel(t.Context())
	c := &candidate{host: newHost(m), stop: cancel, done: make(chan struct{})}
	e := NewElector(ElectorConfig{
		Log: m.log(), View: c.view, Reader: c.reader, Host: name, Process: name + "-1", Size: size, Rank: rank, Logger: discardLogger,
		Lead: func(ctx context.Context, w *Writer) {
			c.mu.Lock()
			c.leading, c.writer = true, w
			c.mu.Unlock()
			<-ctx.Done()
			c.mu.Lock()
			c.leading = false
			c.mu.Unlock()
		},
	})
	go c.reader.Run(ctx)
	go func() {
		defer close(c.done)
		e.Run(ctx)
	}()
	return c
}

// stopAll stops the candidates and waits until they have resigned.
func stopAll(cs ...*candidate) {
	for _, c := range cs {
		c.stop()
	}
	for _, c := range cs {
		<-c.done
	}
	synctest.Wait()
}

func countLeaders(cs ...*candidate) int {
	n := 0
	for _, c := range cs {
		if c.isLeading() {
			n++
		}
	}
	return n
}

func TestOneLeaderAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := newMemoryLog()
		a, b, c := startCandidate(t, m, "a"), startCandidate(t, m, "b"), startCandidate(t, m, "c")
		time.Sleep(2 * time.Second)
		is.Equal(countLeaders(a, b, c), 1)
		first := a
		for _, x := range []*candidate{b, c} {
			if x.isLeading() {
				first = x
			}
		}
		epoch := first.currentWriter().Epoch()
		first.stop() // resigns
		<-first.done
		time.Sleep(time.Second)
		is.Equal(countLeaders(a, b, c), 1)
		is.True(!first.isLeading())
		is.True(first.view.Leader().Epoch >= epoch)
		stopAll(a, b, c)
	})
}

// A leader that is stopped while the log still works on an append must resign after it, or the others wait for
// leaderTimeout.
func TestStoppedLeaderFinishesItsAppendAndResigns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := newMemoryLog()
		a, b := startCandidate(t, m, "a"), startCandidate(t, m, "b")
		time.Sleep(2 * time.Second)
		first, second := a, b
		if b.isLeading() {
			first, second = b, a
		}
		m.set(func() { m.latency = 200 * time.Millisecond })
		written := false
		first.currentWriter().Append([]Record{submission(is, "x")}, func([]Record) { written = true })
		time.Sleep(50 * time.Millisecond)
		first.stop()
		<-first.done
		is.True(written)
		time.Sleep(leaderTimeout / 2)
		is.True(second.isLeading())
		stopAll(a, b)
	})
}

// A small host must not leave a vacancy to larger ones that do not exist: the first standby claims at once.
func TestFirstStandbyClaimsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := newMemoryLog()
		leader := startCandidate(t, m, "leader")
		time.Sleep(2 * time.Second)
		second := startCandidateOf(t, m, "second", 0.1, func() (int, bool) { return 1, true })
		first := startCandidateOf(t, m, "first", 0.1, func() (int, bool) { return 0, true })
		time.Sleep(time.Second)
		leader.stop()
		<-leader.done
		time.Sleep(claimStagger)
		is.True(first.isLeading())
		is.True(!second.isLeading())
		stopAll(leader, first, second)
	})
}

// While nobody leads, hosts append the records of their callers themselves. On a slow log such appends must not make
// every claim fail.
func TestLeaderIsElectedWhileCallersAppendToSlowLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := newMemoryLog()
		m.latency = 200 * time.Millisecond
		ctx, cancel := context.WithCancel(t.Context())
		for n := range 4 {
			go func() {
				for i := 0; ctx.Err() == nil; i++ {
					// An error means that the test has ended.
					_ = m.append(ctx, Append{Producer: fmt.Sprint("host", n), Epoch: 1, Sequence: int64(i), Records: []Record{submission(is, table.JobID(fmt.Sprint(n, "-", i)))}})
				}
			}()
		}
		a, b := startCandidate(t, m, "a"), startCandidate(t, m, "b")
		time.Sleep(leaderTimeout)
		is.Equal(countLeaders(a, b), 1)
		cancel()
		stopAll(a, b)
	})
}

func TestSupersededLeaderCannotWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := newMemoryLog()
		a := startCandidate(t, m, "a")
		time.Sleep(2 * time.Second)
		is.True(a.isLeading())
		w := a.currentWriter()
		r, err := encode(leaderKey, Leader{Host: "b", Process: "b-1", Epoch: w.Epoch() + 1})
		is.NoErr(err)
		is.NoErr(m.append(t.Context(), Append{Producer: leaderProducer, Epoch: w.Epoch() + 1, Records: []Record{r}}))
		written := false
		w.Append([]Record{submission(is, "x")}, func([]Record) { written = true })
		time.Sleep(time.Second)
		is.True(!written)
		is.True(w.Superseded())
		is.True(!a.isLeading())
		stopAll(a)
	})
}

// Guards against a leader that extends leases by an election that it has read late, after others may have been elected.
func TestLeaderIsNotConfirmedBeforeItHasAppended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := newMemoryLog()
		r, err := encode(leaderKey, Leader{Host: "a", Process: "a-1", Epoch: 1}) // a claim that was carried out late
		is.NoErr(err)
		is.NoErr(m.append(t.Context(), Append{Producer: leaderProducer, Epoch: 1, Records: []Record{r}}))
		m.set(func() { m.appendErr = fault.New(fault.LogUnavailable, "down") })
		time.Sleep(time.Minute)
		a := startCandidate(t, m, "a")
		time.Sleep(time.Second)
		is.True(a.isLeading())
		is.True(a.currentWriter().Confirmed().IsZero())
		m.set(func() { m.appendErr = nil })
		time.Sleep(appendRetryDelay + 10*time.Millisecond)
		is.True(time.Since(a.currentWriter().Confirmed()) < 2*appendRetryDelay)
		stopAll(a)
	})
}

// Guards against a new leader without work that may not extend leases for long.
func TestNewLeaderIsConfirmedByItsFirstHeartbeat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := newMemoryLog()
		a := startCandidate(t, m, "a")
		for !a.isLeading() {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(heartbeatInterval + 10*time.Millisecond)
		is.True(!a.currentWriter().Confirmed().IsZero())
		stopAll(a)
	})
}

func TestLogOutageElectsNoLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := newMemoryLog()
		a, b := startCandidate(t, m, "a"), startCandidate(t, m, "b")
		time.Sleep(2 * time.Second)
		was := a.isLeading()
		m.set(func() {
			m.appendErr = fault.New(fault.LogUnavailable, "down")
			m.readErr = m.appendErr
		})
		time.Sleep(8 * time.Second)
		m.set(func() { m.appendErr, m.readErr = nil, nil })
		time.Sleep(500 * time.Millisecond)
		is.Equal(a.isLeading(), was) // no host can claim leadership without the log
		is.Equal(countLeaders(a, b), 1)
		stopAll(a, b)
	})
}

// A leader that only writes handover records for longer than leaderTimeout must not be taken for a silent one,
// or another host would claim leadership.
func TestHandoverRecordsCountAsLeaderActivity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := newMemoryLog()
		a, b := startCandidate(t, m, "a"), startCandidate(t, m, "b")
		time.Sleep(2 * time.Second)
		was := a.isLeading()
		w := a.currentWriter()
		if !was {
			w = b.currentWriter()
		}
		for range 20 {
			if w.Superseded() {
				break
			}
			w.Append([]Record{HandoverRecord("worker/w", []byte("x"))}, func([]Record) {})
			time.Sleep(200 * time.Millisecond)
		}
		is.Equal(a.isLeading(), was)
		is.Equal(countLeaders(a, b), 1)
		stopAll(a, b)
	})
}

// A log that drops its history makes readers load a snapshot, which must not make known records look new.
func TestHandoverRecordKeepsTheTimeOfItsFirstRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		v := NewView(discardLogger)
		first := time.Now()
		same, changed := HandoverRecord("same", []byte("a")), HandoverRecord("changed", []byte("a"))
		v.load([]Record{same, changed}, 2, first)
		time.Sleep(time.Second)
		v.applyPage(2, Page{Records: []Record{same}, Next: 3, End: 3}, time.Now())
		time.Sleep(time.Second)
		v.load([]Record{same, HandoverRecord("changed", []byte("b"))}, 5, time.Now())
		is.Equal(v.HandoverReadAt("same"), first)
		is.Equal(v.HandoverReadAt("changed"), first.Add(2*time.Second))
		v.Unload()
		v.load([]Record{same}, 5, time.Now())
		is.Equal(v.HandoverReadAt("same"), first.Add(2*time.Second))
	})
}

// Reads hang while the log is unavailable, as on dead connections, and the topic is idle. A reader that
// long-polls after a failure would notice the recovery only after the full wait.
func TestReaderDetectsLogRecoveryPromptly(t *testing.T) {
	const grace = 700 * time.Millisecond // delay of the reply beyond the wait
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := newMemoryLog()
		var unavailable atomic.Bool
		log := m.log()
		log.Read = func(ctx context.Context, topic Topic, from Position, wait time.Duration) (Page, error) {
			if unavailable.Load() {
				time.Sleep(wait + grace)
				return Page{}, fault.New(fault.LogUnavailable, "silence")
			}
			return m.read(ctx, topic, from, wait)
		}
		logger := slog.New(slog.NewTextHandler(io.Discard, nil))
		r := NewReader(ReaderConfig{Log: log, View: NewView(logger), Logger: logger})
		ctx, cancel := context.WithCancel(t.Context())
		go r.Run(ctx)
		time.Sleep(300 * time.Millisecond)
		unavailable.Store(true)
		time.Sleep(4200 * time.Millisecond)
		is.True(r.Failing())
		unavailable.Store(false)
		time.Sleep(grace + retryDelay + 10*time.Millisecond)
		is.True(!r.Failing())
		cancel()
		synctest.Wait()
	})
}

// A follower that paused after every page would fall behind a topic of 1,000 records that is read ten at a
// time.
func TestFollowerKeepsUpInSmallPages(t *testing.T) {
	const page = 10
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := newMemoryLog()
		log := m.log()
		log.Read = func(ctx context.Context, topic Topic, from Position, wait time.Duration) (Page, error) {
			p, err := m.read(ctx, topic, from, wait)
			if len(p.Records) > page {
				p.Records, p.Next = p.Records[:page], from+page
			}
			return p, err
		}
		var read atomic.Int32
		f := NewFollower(FollowerConfig{Log: log, Topic: JobTopic, Pause: 250 * time.Millisecond, Logger: discardLogger, Apply: func(rs []Record, _ bool) { read.Add(int32(len(rs))) }})
		ctx, cancel := context.WithCancel(t.Context())
		go f.Run(ctx)
		time.Sleep(10 * time.Millisecond)
		for n := range 1000 {
			is.NoErr(log.Append(ctx, Append{Topic: JobTopic, Producer: "p", Sequence: int64(n), Records: []Record{{Key: "K"}}}))
		}
		time.Sleep(time.Second)
		is.Equal(int(read.Load()), 1000)
		is.True(f.Age() < 2*time.Second)
		cancel()
		synctest.Wait()
	})
}

// A host starts on a slow link while callers request jobs that it does not know yet. If each caller started a
// load of its own, the loads would share the link and none would complete in time.
func TestConcurrentLoadsAreShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := newMemoryLog()
		log := m.log()
		is.NoErr(log.Append(t.Context(), Append{Topic: JobTopic, Producer: "p", Records: []Record{{Key: "K"}}}))
		var loads atomic.Int32
		log.Newest = func(ctx context.Context, topic Topic, after string) (Snapshot, error) {
			loads.Add(1)
			time.Sleep(2 * time.Second)
			return m.newest(ctx, topic, after)
		}
		r := NewReader(ReaderConfig{Log: log, View: NewView(discardLogger), Logger: discardLogger})
		ctx, cancel := context.WithCancel(t.Context())
		go r.Run(ctx)
		time.Sleep(time.Millisecond)
		var callers sync.WaitGroup
		for range 10 {
			callers.Go(func() {
				ctx, cancel := context.WithTimeout(ctx, 700*time.Millisecond)
				defer cancel()
				is.Equal(fault.Of(r.Refresh(ctx)), fault.LogUnavailable)
			})
			time.Sleep(100 * time.Millisecond)
		}
		callers.Wait()
		time.Sleep(time.Second)
		is.NoErr(r.Refresh(ctx))
		is.Equal(int(loads.Load()), 1)
		cancel()
		time.Sleep(time.Minute)
	})
}

// Guards against a snapshot that never ends, and grows without bound, where keys that are not UTF-8 fill a page: the
// log's responses hold other characters in place of their bytes.
func TestSnapshotEndsWithUnreadableKeys(t *testing.T) {
	for _, keys := range [][]string{
		{"a", "b\xff1", "b\xff2", "b\xff3", "c", "d"},
		{"\xfe", "\xff", "\xff\xff", "\xff\xff\xff", "\xff\xff\xff\xff"},
		{"a", "b\x80", "b\x90", "c"},
	} {
		is := is.New(t)
		calls := 0
		log := Log{Newest: func(_ context.Context, _ Topic, after string) (Snapshot, error) {
			calls++
			if calls > 100 {
				return Snapshot{}, fault.New(fault.LogUnavailable, "the snapshot does not end")
			}
			var s Snapshot
			for _, k := range keys {
				if k > after && len(s.Records) < 2 {
					s.Records = append(s.Records, Record{Key: string([]rune(k))})
				}
			}
			s.More = keys[len(keys)-1] > after && len(s.Records) == 2
			return s, nil
		}}
		records, _, err := readSnapshot(t.Context(), log, JobTopic)
		is.NoErr(err)
		found := map[string]bool{}
		for _, r := range records {
			found[r.Key] = true
		}
		for _, k := range keys {
			is.True(found[k] || !utf8.ValidString(k))
		}
	}
}

func TestSnapshotWithoutProgressIsAnError(t *testing.T) {
	is := is.New(t)
	calls := 0
	log := Log{Newest: func(context.Context, Topic, string) (Snapshot, error) {
		calls++
		if calls > 100 {
			return Snapshot{}, fault.New(fault.LogUnavailable, "the snapshot does not end")
		}
		return Snapshot{Records: []Record{{Key: "a"}}, More: true}, nil
	}}
	_, _, err := readSnapshot(t.Context(), log, JobTopic)
	is.Equal(fault.Of(err), fault.PlatformFailed)
	is.True(calls < 5)
}
