package ledger

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"persimmonpick/workload"
)

// stateRecords returns records of job j: c for a cancellation, r, d, f and x for the state running, completed, failed
// or cancelled.
func stateRecords(is *is.I, kinds string) []Record {
	states := map[rune]workload.State{'r': workload.Running, 'd': workload.Completed, 'f': workload.Failed, 'x': workload.Cancelled}
	rs := []Record{submission(is, "j")}
	for _, k := range kinds {
		r, err := CancelRecord("j", 1)
		if k != 'c' {
			r, err = StatusRecord("j", workload.Status{State: states[k]})
		}
		is.NoErr(err)
		rs = append(rs, r)
	}
	return rs
}

// Guards against hosts that show another final state than before or than each other.
func TestFirstFinalStateInTheLogIsShownByAllHosts(t *testing.T) {
	for kinds, want := range map[string]workload.State{
		"rcd": workload.Cancelled, "rcf": workload.Cancelled, "cd": workload.Cancelled, "crf": workload.Cancelled,
		"rdc": workload.Completed, "rfc": workload.Failed, "dcc": workload.Completed, "cx": workload.Cancelled,
		"ccd": workload.Cancelled, "cdx": workload.Cancelled, "cdcx": workload.Cancelled, "cdxc": workload.Cancelled,
		"cr": workload.Cancelled, "r": workload.Running,
	} {
		t.Run(kinds, func(t *testing.T) {
			is := is.New(t)
			m := newMemoryLog()
			early := newHost(m)
			shown := workload.Queued
			overruled := 0
			early.view.Watch(func(e Entry) {
				if e.Overruled() {
					overruled++
				}
			})
			for i, r := range stateRecords(is, kinds) {
				is.NoErr(m.append(t.Context(), Append{Producer: "p", Epoch: 1, Sequence: int64(i), Records: []Record{r}}))
				time.Sleep(time.Millisecond)
				is.NoErr(early.reader.Refresh(t.Context()))
				e, known := early.view.Job("j")
				is.True(known)
				is.True(!shown.Final() || e.State() == shown)
				shown = e.State()
			}
			is.Equal(shown, want)
			late := newHost(m)
			is.NoErr(late.reader.Refresh(t.Context()))
			e, known := late.view.Job("j")
			is.True(known)
			is.Equal(e.State(), want)
			is.Equal(e.Overruled(), e.Status.State.Final() && e.Status.State != want)
			is.True(!e.Overruled() || overruled > 0)
			s, err := m.newest(t.Context(), JobTopic, "")
			is.NoErr(err)
			early.view.load(s.Records, s.End, time.Now()) // anew
			e, _ = early.view.Job("j")
			is.Equal(e.State(), want)
		})
	}
}

// Guards against a cancellation that a reload dates by another job that had the same ID.
func TestCancellationOfAnEarlierJobDoesNotCount(t *testing.T) {
	is := is.New(t)
	v := NewView(discardLogger)
	rs := stateRecords(is, "c")
	for i := range rs {
		rs[i].Position = Position(i)
	}
	v.load(rs, 2, time.Now())
	again, err := SubmissionRecord("j", &workload.Submission{Submitted: 5})
	is.NoErr(err)
	rs = append([]Record{again}, stateRecords(is, "dc")[1:]...)
	for i := range rs {
		rs[i].Position = Position(10 + i)
	}
	v.load(rs, 20, time.Now())
	e, _ := v.Job("j")
	is.Equal(e.State(), workload.Completed)
}

// Guards against a state of a snapshot that is newer than the cancellation that the snapshot lacks, since its pages
// are not of one moment.
func TestSnapshotIsCompletedBeforeItCounts(t *testing.T) {
	is := is.New(t)
	m := newMemoryLog()
	rs := stateRecords(is, "cd")
	is.NoErr(m.append(t.Context(), Append{Producer: "p", Epoch: 1, Records: rs}))
	v := NewView(discardLogger)
	l := m.log()
	l.Newest = func(ctx context.Context, topic Topic, after string) (Snapshot, error) {
		s, err := m.newest(ctx, topic, after)
		var older []Record
		for _, r := range s.Records {
			if r.Key != rs[1].Key {
				older = append(older, r)
			}
		}
		return Snapshot{Records: older, End: 1}, err
	}
	r := NewReader(ReaderConfig{Log: l, View: v, Logger: discardLogger})
	is.NoErr(r.load(t.Context()))
	is.True(!v.Settled())
	is.True(v.Confirmed().IsZero())
	is.NoErr(r.Refresh(t.Context()))
	is.True(v.Settled())
	e, known := v.Job("j")
	is.True(known)
	is.Equal(e.State(), workload.Cancelled)
}
