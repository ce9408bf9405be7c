package dispatch

import (
	"fmt"
	"io"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"persimmonpick/ledger"
	"persimmonpick/table"
	"persimmonpick/workload"
)

// restored returns a Scheduler of the next leader, which knows what is in the log.
func (s *crashSite) restored() *Scheduler {
	next := NewScheduler(Config{
		MaxRecord: s.cfg.MaxRecord, Epoch: s.cfg.Epoch + 1, LeaseTerm: testTerm, StatusRetention: time.Hour, RemoteFactor: 3, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	for id, e := range s.entries {
		e.Status.State = s.loggedState(id)
		e.Progress = s.records["P"+string(id)]
		next.SetEntry(e, s.now)
	}
	next.Tick(s.now)
	return next
}

// tasksOf describes the tasks of the occurrences of a job that are not finished, as far as a record holds them.
func tasksOf(j *job) map[workload.TaskKey]string {
	all := map[workload.TaskKey]string{}
	for _, gs := range j.groups {
		if !slices.ContainsFunc(gs, func(g *group) bool { return g.unfinished > 0 }) {
			continue
		}
		for _, g := range gs {
			for _, t := range g.tasks {
				switch {
				case t.phase == done:
					all[t.key] = "done"
				case t.phase.held():
					all[t.key] = fmt.Sprint("run ", t.run, " on ", t.worker.info.ID, ", failures ", t.failures, ", checkpoint ", t.checkpoint)
				default:
					all[t.key] = fmt.Sprint("waits after run ", t.run, ", failures ", t.failures, ", checkpoint ", t.checkpoint)
				}
			}
		}
	}
	return all
}

// restoredDifference returns how the jobs of a Scheduler restored from the log differ, or "".
func (s *crashSite) restoredDifference() string {
	next := s.restored()
	for id, j := range s.jobs {
		if j.state.Final() {
			continue
		}
		other := next.jobs[id]
		if other == nil || other.state.Final() {
			return fmt.Sprintf("job %s is not open", id)
		}
		want, got := tasksOf(j), tasksOf(other)
		for k := range maps.Keys(want) {
			if want[k] != got[k] {
				return fmt.Sprintf("task %s: %q, want %q", k, got[k], want[k])
			}
		}
		if len(want) != len(got) || j.nextOccurrence != other.nextOccurrence {
			return fmt.Sprintf("job %s: %d tasks, want %d; next occurrence %d, want %d", id, len(got), len(want), other.nextOccurrence, j.nextOccurrence)
		}
	}
	return ""
}

func (s *crashSite) submitScheduled(id string, repeat int, interval table.Millis, steps ...workload.Step) {
	e := entryOf(s.rig, id)
	e.Submission.Spec.Steps, e.Submission.Spec.Repeat = steps, repeat
	e.Submission.Spec.FirstStart, e.Submission.Spec.Interval = table.UnixMillis(s.now.UnixMilli()), interval
	s.entries[e.ID] = e
	s.SetEntry(e, s.now)
}

func (s *crashSite) cancel(id table.JobID) {
	e := s.entries[id]
	e.Cancelled = true
	s.entries[id] = e
	s.SetEntry(e, s.now)
}

// largestRecord returns the size of the largest progress record in the log.
func (s *crashSite) largestRecord() table.Bytes {
	largest := table.Bytes(0)
	for k, v := range s.records {
		if strings.HasPrefix(k, "P") {
			largest = max(largest, ledger.Record{Key: k, Value: v}.Size())
		}
	}
	return largest
}

// wide returns a step whose only task fills a worker.
func wide() workload.Step {
	s := step(1)
	s.Need.CPU = 16000
	return s
}

func TestOccurrenceThatWaitsForRoomIsNotLostWithTheLeader(t *testing.T) {
	is := is.New(t)
	s := newCrashSite(t, backRestarted, 1)
	s.takes = 10 * time.Second
	s.pass(time.Second)
	s.submitScheduled("j", 2, 100, wide())
	s.SetEntry(s.entries["j"], s.now)
	s.Tick(s.now)
	s.task(key("j", 0, 0)).notBefore = s.now.Add(time.Second)
	s.pass(2 * time.Second)
	is.Equal(s.task(key("j", 0, 0)).phase, waiting)
	is.Equal(s.task(workload.TaskKey{Job: "j", Occurrence: 1}).phase, running)
	is.Equal(s.restoredDifference(), "")
	s.changeLeader()
	s.passUntilFinal(time.Minute)
	is.Equal(s.loggedState("j"), workload.Completed)
}

func TestJobWithOccurrencesDoneUnderEarlierLeadersCompletes(t *testing.T) {
	is := is.New(t)
	s := newCrashSite(t, backRestarted, 1)
	s.takes = 100 * time.Millisecond
	s.pass(time.Second)
	s.submitScheduled("j", 3, 1000, step(2))
	s.pass(1500 * time.Millisecond)
	s.changeLeader()
	s.passUntilFinal(time.Minute)
	is.Equal(s.loggedState("j"), workload.Completed)
}

// Guards against a record that lacks what the scheduler knows of steps, gangs and occurrences.
func TestRestoredSchedulerEqualsOneThatLivedOn(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		s := newCrashSite(t, backRestarted, rapid.IntRange(1, 3).Draw(rt, "workers"))
		s.takes = 700 * time.Millisecond
		limit := rapid.SampledFrom([]table.Bytes{0, 0, 500}).Draw(rt, "record limit")
		s.cfg.MaxRecord = limit
		s.pass(200 * time.Millisecond)
		jobs, cancelled := 0, map[table.JobID]bool{}
		for range rapid.IntRange(5, 25).Draw(rt, "actions") {
			switch rapid.IntRange(0, 7).Draw(rt, "action") {
			case 0, 1, 2:
				id := fmt.Sprintf("j%d", jobs)
				jobs++
				steps := make([]workload.Step, rapid.IntRange(1, 3).Draw(rt, "steps"))
				for i := range steps {
					steps[i] = step(rapid.IntRange(1, 4).Draw(rt, "tasks"))
					steps[i].Need.CPU = table.Millicores(rapid.SampledFrom([]int{1000, 4000}).Draw(rt, "cpu"))
					steps[i].Gang = rapid.Bool().Draw(rt, "gang")
					if i > 0 && rapid.Bool().Draw(rt, "depends") {
						steps[i].After = []int{i - 1}
					}
				}
				s.submitScheduled(id, rapid.IntRange(0, 6).Draw(rt, "repeat"), table.Millis(rapid.IntRange(1, 2000).Draw(rt, "interval")), steps...)
			case 3:
				s.changeLeader()
				s.cfg.MaxRecord = limit
			case 4:
				w := s.workers[rapid.IntRange(0, len(s.workers)-1).Draw(rt, "worker")]
				switch {
				case w.way == onlySilent && rapid.Bool().Draw(rt, "crashes"):
					w.crashBehindCut()
				case s.up(w) && w.way == "":
					s.takeDown(w, rapid.SampledFrom([]string{backReplaced, backRestarted, onlySilent}).Draw(rt, "way"))
				}
			case 5:
				if limit == 0 { // checkpoints are the first that a small record leaves out
					s.stopRun(rapid.IntRange(0, 99).Draw(rt, "run"))
				}
			case 6:
				if jobs > 0 && rapid.IntRange(0, 2).Draw(rt, "cancels") == 0 {
					id := table.JobID(fmt.Sprintf("j%d", rapid.IntRange(0, jobs-1).Draw(rt, "job")))
					cancelled[id] = true
					s.cancel(id)
				}
			}
			for range rapid.IntRange(1, 40).Draw(rt, "rounds") {
				s.pass(20 * time.Millisecond)
				if d := s.restoredDifference(); d != "" {
					rt.Fatal(d)
				}
				if n := s.largestRecord(); limit > 0 && n > limit {
					rt.Fatalf("a record has %d bytes", n)
				}
			}
		}
		s.passUntilFinal(3 * time.Minute)
		for id := range s.entries {
			if got := s.loggedState(id); got != workload.Completed && !cancelled[id] {
				rt.Fatalf("job %s is %s", id, got)
			}
		}
	})
}

// stopRun ends one of the runs with a checkpoint.
func (s *crashSite) stopRun(n int) {
	var keys []workload.TaskKey
	at := map[workload.TaskKey]*simWorker{}
	for _, w := range s.workers {
		for k := range w.running {
			keys = append(keys, k)
			at[k] = w
		}
	}
	if len(keys) == 0 {
		return
	}
	slices.SortFunc(keys, func(a, b workload.TaskKey) int { return strings.Compare(a.String(), b.String()) })
	k := keys[n%len(keys)]
	w := at[k]
	s.end(w, k, EndStopped)
	w.ended[len(w.ended)-1].Checkpoint = fmt.Sprintf("%s after %d", k, w.number)
}

// Guards against a rolling restart in which a leader of the version before repeats or loses occurrences.
func TestRecordWithoutRangesOfOccurrencesIsRestored(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.addWorkers("a")
	e := entryOf(r, "j")
	e.Submission.Spec = workload.Spec{Payload: "p", Steps: []workload.Step{step(1), step(1)}, Repeat: 5, FirstStart: 1, Interval: 1}
	rec, err := ledger.ProgressRecord("j", workload.Progress{Tasks: []workload.TaskProgress{
		{Occurrence: 1, Step: 0, Index: allTasks, Phase: workload.Done},
		{Occurrence: 1, Step: 1, Index: allTasks, Phase: workload.Done},
		{Occurrence: 3, Step: 0, Index: 0, Run: 2},
	}})
	is.NoErr(err)
	e.Progress = rec.Value
	r.SetEntry(e, r.now)
	r.Tick(r.now)
	j := r.jobs["j"]
	is.Equal(j.nextOccurrence, 5)
	is.Equal(len(tasksOf(j)), 8)
	is.Equal(tasksOf(j)[workload.TaskKey{Job: "j", Occurrence: 3}], "waits after run 2, failures 0, checkpoint ")
}
