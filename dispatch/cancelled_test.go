package dispatch

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"persimmonpick/fault"
	"persimmonpick/ledger"
	"persimmonpick/table"
	"persimmonpick/workload"
)

// keyedLog is a log in memory whose newest record of each key can be read.
type keyedLog struct{ records []ledger.Record }

func (l *keyedLog) append(rs ...ledger.Record) {
	for _, r := range rs {
		r.Position = ledger.Position(len(l.records))
		l.records = append(l.records, r)
	}
}

// host returns a view of the log and the function that reads the log up to its end.
func (l *keyedLog) host(t *testing.T) (*ledger.View, func()) {
	quiet := slog.New(slog.NewTextHandler(io.Discard, nil))
	v := ledger.NewView(quiet)
	r := ledger.NewReader(ledger.ReaderConfig{View: v, Logger: quiet, Log: ledger.Log{
		Newest: func(context.Context, ledger.Topic, string) (ledger.Snapshot, error) {
			newest := map[string]ledger.Record{}
			for _, r := range l.records {
				newest[r.Key] = r
			}
			s := ledger.Snapshot{End: ledger.Position(len(l.records))}
			for _, r := range newest {
				if r.Value != nil {
					s.Records = append(s.Records, r)
				}
			}
			return s, nil
		},
		Read: func(_ context.Context, _ ledger.Topic, from ledger.Position, _ time.Duration) (ledger.Page, error) {
			end := ledger.Position(len(l.records))
			return ledger.Page{Records: l.records[from:], Next: end, End: end}, nil
		},
	}})
	return v, func() {
		if err := r.Refresh(t.Context()); err != nil {
			t.Error(fault.Of(err), err)
		}
	}
}

// cancelSite is a crashSite whose leader reads a log that callers write to.
type cancelSite struct {
	*crashSite
	log   keyedLog
	read  func() // of the leader
	shown map[table.JobID]workload.State
	twice map[table.JobID]bool // cancelled more than once
}

func newCancelSite(t *testing.T) *cancelSite {
	s := &cancelSite{crashSite: newCrashSite(t, backRestarted, 3), shown: map[table.JobID]workload.State{}, twice: map[table.JobID]bool{}}
	s.onWrite = func(rs []ledger.Record) { s.log.append(rs...) }
	s.lead()
	return s
}

// lead lets the leader follow the log from a snapshot.
func (s *cancelSite) lead() {
	v, read := s.log.host(s.t)
	s.read = read
	v.Watch(func(e ledger.Entry) {
		s.entries[e.ID] = e
		s.SetEntry(e, s.now)
	})
	read()
}

// check checks that no final state that callers were shown has changed for a host.
func (s *cancelSite) check(host string, v *ledger.View, fresh bool) {
	s.t.Helper()
	for id := range s.entries {
		e, known := v.Job(id)
		if !known || fresh && s.twice[id] {
			continue // a snapshot holds only the newest of several cancellations
		}
		got := e.State()
		if want := s.shown[id]; want.Final() && got != want && (got.Final() || fresh) {
			s.t.Errorf("%s shows job %s as %v after %v", host, id, got, want)
		}
		if got.Final() && !s.shown[id].Final() {
			s.shown[id] = got
		}
	}
}

// Guards against a job whose final state changes, since its cancellation crossed its end, and the leader changed.
func TestFinalStatesStayWhenCancellationsCrossEnds(t *testing.T) {
	const days, jobs = 16, 20
	overruled, kept := 0, 0
	for seed := range uint64(days) {
		rnd := rand.New(rand.NewPCG(seed, 2))
		s := newCancelSite(t)
		s.takes = 300 * time.Millisecond
		s.delays = func() bool { return rnd.IntN(4) > 0 }
		hosts := map[string]*ledger.View{}
		reads := map[string]func(){}
		for n := range 2 {
			name := fmt.Sprint("host ", n)
			hosts[name], reads[name] = s.log.host(t)
		}
		round := func() {
			s.pass(20 * time.Millisecond)
			if rnd.IntN(3) == 0 {
				s.read()
			}
			for name, v := range hosts {
				if rnd.IntN(4) == 0 {
					reads[name]()
					s.check(name, v, false)
				}
			}
			if rnd.IntN(8) == 0 {
				v, read := s.log.host(t)
				read()
				s.check("a new host", v, true)
			}
		}
		for n := range jobs {
			e := entryOf(s.rig, fmt.Sprint("j", n))
			e.Submission.Spec.Steps = []workload.Step{step(1)}
			rec, err := ledger.SubmissionRecord(e.ID, e.Submission)
			s.is.NoErr(err)
			s.log.append(rec)
			s.read()
			for rounds := 10 + rnd.IntN(15); rounds > 0; rounds-- {
				round()
			}
			for _, w := range s.workers {
				for k := range w.running {
					if rnd.IntN(3) == 0 {
						s.end(w, k, EndFailed)
					}
				}
			}
			for n := range rnd.IntN(3) {
				c, err := ledger.CancelRecord(e.ID, table.UnixMillis(s.now.UnixMilli()))
				s.is.NoErr(err)
				s.log.append(c)
				s.twice[e.ID] = n > 0
				round()
			}
			if rnd.IntN(5) == 0 {
				s.changeLeader()
				s.lead()
			}
		}
		for range 400 {
			round()
		}
		s.read()
		for id, e := range s.entries {
			if !s.loggedState(id).Final() || s.loggedState(id) != s.shown[id] && !s.twice[id] {
				t.Errorf("seed %d: the log has job %s as %v, callers were shown %v", seed, id, s.loggedState(id), s.shown[id])
			}
			if e.Cancelled && s.shown[id] == workload.Cancelled {
				overruled++
			} else if e.Cancelled {
				kept++
			}
		}
	}
	t.Logf("of the cancelled jobs %d are shown as cancelled, %d as they ended before", overruled, kept)
	if overruled == 0 || kept == 0 {
		t.Error("no cancellation crossed an end")
	}
}

// Guards against a log whose newest state of a job differs from the one that callers were shown.
func TestLeaderWritesTheStateThatCallersSee(t *testing.T) {
	for _, next := range []bool{false, true} {
		is := is.New(t)
		s := newCancelSite(t)
		s.takes = 200 * time.Millisecond
		e := entryOf(s.rig, "j")
		e.Submission.Spec.Steps = []workload.Step{step(1)}
		rec, err := ledger.SubmissionRecord("j", e.Submission)
		is.NoErr(err)
		s.log.append(rec)
		s.read()
		s.pass(200 * time.Millisecond)
		c, err := ledger.CancelRecord("j", 1)
		is.NoErr(err)
		s.log.append(c) // the leader does not read it before the end
		s.pass(2 * time.Second)
		is.Equal(s.loggedState("j"), workload.Completed)
		if next {
			s.changeLeader()
			s.lead()
		}
		s.read()
		s.pass(time.Second)
		is.Equal(s.loggedState("j"), workload.Cancelled)
		written := len(s.log.records)
		s.read()
		s.pass(time.Second)
		is.Equal(len(s.log.records), written) // once
	}
}
