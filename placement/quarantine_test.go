package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"persimmonpick/journal"
	"persimmonpick/settings"
	"persimmonpick/table"
)

// Guards against corrected sizes below the peak memory observed lately or beyond the largest worker, and
// against estimates that a single task overturns.
func TestCorrections(t *testing.T) {
	is := is.New(t)
	tab := cluster(1, 16)
	j := submit(tab, "j", 1, res(4, 8), 10*time.Minute)
	c := NewCorrections()
	c.LargestBatchCapacity = res(16, 64)
	is.Equal(c.Need(j), j.Need)
	c.ObserveUsage(start, j, "x", res(1, 12))
	is.True(c.Need(j).Memory >= 12*gb) // peak of a task that is still running
	for i := range 40 {
		id := table.TaskID(fmt.Sprint(i))
		c.ObserveUsage(start, j, id, res(2, 12))
		c.ObserveEnd(start, j, id, 20*time.Minute, true)
	}
	need := c.Need(j)
	is.True(need.CPU >= 2000 && need.CPU < 2300)
	is.True(c.RunTime(j) > 18*time.Minute && c.RunTime(j) <= 20*time.Minute)
	c.ObserveUsage(start, j, "y", res(2, 62))
	is.True(c.Need(j).Fits(c.LargestBatchCapacity))
}

// Guards against quarantining more workers than the policy's share allows, whatever the sequence of failures.
func TestQuarantineIsBounded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		policy := settings.Default().Policy
		policy.QuarantineShare = rapid.Float64Range(0, 0.5).Draw(rt, "share")
		tab := cluster(20, 16)
		q := NewQuarantine()
		for i := range 200 {
			w := table.WorkerID(fmt.Sprintf("w%03d", rapid.IntRange(0, 19).Draw(rt, "worker")))
			job := table.JobID(fmt.Sprint(rapid.IntRange(0, 50).Draw(rt, "job")))
			tab.Jobs[job] = &table.Job{ID: job}
			q.ObserveOutcome("", job, w, journal.LeaseFailed, start)
			applyQuarantine(tab, q.Decide(tab, start.Add(time.Duration(i)*10*time.Second), policy))
			if n := quarantinedCount(tab); float64(n) > policy.QuarantineShare*20 {
				rt.Fatalf("%d of 20 workers are in quarantine", n)
			}
		}
	})
}

// Guards against quarantining workers because of a job that fails everywhere, and against a faulty worker that
// is never quarantined or never released.
func TestBadWorkerAndBadJob(t *testing.T) {
	is := is.New(t)
	policy := settings.Default().Policy
	tab := cluster(20, 16)
	q := NewQuarantine()
	for i := range 20 {
		for _, job := range []table.JobID{"bad1", "bad2", "bad3", "bad4"} {
			tab.Jobs[job] = &table.Job{ID: job}
			q.ObserveOutcome("", job, table.WorkerID(fmt.Sprintf("w%03d", i)), journal.LeaseFailed, start)
		}
	}
	is.Equal(len(q.Decide(tab, start, policy)), 0)
	for i := range 3 {
		job := table.JobID(fmt.Sprint(i))
		tab.Jobs[job] = &table.Job{ID: job}
		q.ObserveOutcome("", job, "w001", journal.LeaseFailed, start)
		q.ObserveOutcome("", job, "w002", journal.LeaseFinished, start) // the job succeeds on another worker
	}
	applyQuarantine(tab, q.Decide(tab, start, policy))
	is.True(tab.Workers["w001"].Quarantined)
	applyQuarantine(tab, q.Decide(tab, start.Add(time.Second), policy))
	q.ObserveOutcome("", "old", "w001", journal.LeaseFinished, start) // started before the quarantine
	applyQuarantine(tab, q.Decide(tab, start.Add(2*time.Second), policy))
	is.True(tab.Workers["w001"].Quarantined)
	applyQuarantine(tab, q.Decide(tab, start.Add(time.Hour), policy))
	is.True(!tab.Workers["w001"].Quarantined)
	tab.Jobs["again"] = &table.Job{ID: "again"}
	q.ObserveOutcome("", "again", "w001", journal.LeaseFailed, start.Add(time.Hour))
	applyQuarantine(tab, q.Decide(tab, start.Add(time.Hour), policy))
	is.True(tab.Workers["w001"].Quarantined) // on probation one failure is enough
}

// applyQuarantine applies the quarantine records of rs to t.
func applyQuarantine(t *table.Tables, rs []journal.Record) {
	for _, r := range rs {
		if r.WorkerQuarantined != nil {
			t.Workers[r.WorkerQuarantined.ID].Quarantined = true
		}
		if r.WorkerReleased != nil {
			t.Workers[r.WorkerReleased.ID].Quarantined = false
		}
	}
}

func quarantinedCount(t *table.Tables) int {
	n := 0
	for _, w := range t.Workers {
		if w.Quarantined {
			n++
		}
	}
	return n
}
