package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"persimmonpick/journal"
	"persimmonpick/settings"
	"persimmonpick/table"
)

var start = time.Unix(1_800_000_000, 0)

const gb = table.Bytes(1 << 30)

func res(cores, gbs int) table.Resources {
	return table.Resources{CPU: table.Millicores(cores) * 1000, Memory: table.Bytes(gbs) * gb}
}

func cluster(workers, cores int) *table.Tables {
	t := table.New()
	for i := range workers {
		id := table.WorkerID(fmt.Sprintf("w%03d", i))
		rack := table.RackID(fmt.Sprintf("r%d", i/8))
		t.Workers[id] = &table.Worker{ID: id, Rack: rack, Zone: "z", Capacity: res(cores, 4*cores)}
	}
	t.Teams["a"] = &table.Team{ID: "a", Quota: res(1e6, 1e6), Weight: 1}
	return t
}

func submit(t *table.Tables, id string, tasks int, need table.Resources, run time.Duration) *table.Job {
	j := &table.Job{
		ID: table.JobID(id), Team: "a", Kind: "k", Need: need, State: table.JobPending,
		RunTime: table.Millis(run.Milliseconds()), Submitted: table.UnixMillis(start.UnixMilli()),
	}
	for i := range tasks {
		task := &table.Task{ID: table.TaskID(fmt.Sprintf("%s/%d", id, i)), Job: j.ID, State: table.TaskPending}
		t.Tasks[task.ID] = task
		j.Tasks = append(j.Tasks, task.ID)
	}
	t.Jobs[j.ID] = j
	return j
}

// applyRecords applies the records of Place to t as package journal does, and calls fail for a grant that
// journal would reject.
func applyRecords(fail func(string, ...any), t *table.Tables, now time.Time, rs []journal.Record) {
	for _, r := range rs {
		t.Applied++
		if v := r.LeaseRevoked; v != nil {
			t.Tasks[v.Task].State = table.TaskRevoking
			continue
		}
		g := r.LeaseGranted
		task, w := t.Tasks[g.Task], t.Workers[g.Worker]
		team := t.Jobs[task.Job].Team
		used := t.TeamUsed[team].Plus(g.Need)
		if task.State != table.TaskPending || !t.Schedulable(w) || !g.Need.Fits(w.Free()) || !used.Fits(t.Teams[team].Quota) {
			fail("grant of %s to %s would be rejected when applied", g.Task, g.Worker)
		}
		w.Used, t.TeamUsed[team] = w.Used.Plus(g.Need), used
		task.State = table.TaskStarted
		task.Lease = table.Lease{Worker: w.ID, Token: t.Applied, Need: g.Need, Granted: table.UnixMillis(now.UnixMilli())}
	}
}

func endTask(t *table.Tables, task *table.Task, s table.TaskState) {
	w, team := t.Workers[task.Lease.Worker], t.Jobs[task.Job].Team
	w.Used = w.Used.Minus(task.Lease.Need)
	t.TeamUsed[team] = t.TeamUsed[team].Minus(task.Lease.Need)
	task.State = s
}

func input() Input {
	return Input{Policy: settings.Default().Policy, Holder: "s1", Reservations: &Reservations{}}
}

// Guards against grants of one tick that together exceed the capacity of a worker or a quota, and against gangs
// that are placed in part.
func TestGrantsFitTogether(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		tab := cluster(rapid.IntRange(1, 12).Draw(rt, "workers"), 16)
		tab.Teams["a"].Quota = res(rapid.IntRange(1, 100).Draw(rt, "quota"), 1000)
		for i := range rapid.IntRange(1, 20).Draw(rt, "jobs") {
			need := res(rapid.IntRange(1, 20).Draw(rt, "cores"), rapid.IntRange(1, 60).Draw(rt, "gb"))
			j := submit(tab, fmt.Sprintf("j%d", i), rapid.IntRange(1, 8).Draw(rt, "tasks"), need, time.Minute)
			j.Gang = rapid.Bool().Draw(rt, "gang")
			j.Urgent = rapid.Bool().Draw(rt, "urgent")
		}
		in := input()
		for range 3 {
			applyRecords(rt.Fatalf, tab, start, Place(tab, start, in))
		}
		for _, j := range tab.Jobs {
			held := 0
			for _, id := range j.Tasks {
				if tab.Tasks[id].State.Held() {
					held++
				}
			}
			if j.Gang && held != 0 && held != len(j.Tasks) {
				rt.Fatalf("gang %s holds leases for %d of %d tasks", j.ID, held, len(j.Tasks))
			}
		}
	})
}

// Guards against starvation of a large job by a steady stream of small jobs whose run times are underestimated.
func TestLargeJobIsNotStarved(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		tab := cluster(3, 16)
		in := input()
		now := start
		wrong := rapid.Float64Range(2, 6).Draw(rt, "real run time over declared")
		for i := range 40 {
			submit(tab, fmt.Sprintf("old%02d", i), 1, res(3, 3), time.Minute)
		}
		large := submit(tab, "large", 1, res(16, 16), time.Minute)
		large.Submitted++
		for i := 0; i < 400; i++ {
			j := submit(tab, fmt.Sprintf("small%03d", i), 1, res(3, 3), time.Minute)
			j.Submitted += table.UnixMillis(i)
			applyRecords(rt.Fatalf, tab, now, Place(tab, now, in))
			if tab.Tasks["large/0"].State.Held() {
				return
			}
			now = now.Add(10 * time.Second)
			for k, id := range table.SortedTasks(tab) {
				task := tab.Tasks[id]
				// Uneven run times prevent a worker from becoming empty by chance.
				longest := wrong * (0.5 + float64(k*7%11)/10)
				ran := now.Sub(time.UnixMilli(int64(task.Lease.Granted)))
				if task.State.Held() && ran.Minutes() > longest {
					endTask(tab, task, table.TaskFinished)
				}
			}
		}
		rt.Fatal("the large job never started")
	})
}

// Guards against urgent work that waits for batch work to end, and against preempting more tasks than it needs.
func TestUrgentPreempts(t *testing.T) {
	is := is.New(t)
	tab := cluster(2, 16)
	submit(tab, "batch", 8, res(4, 4), time.Hour)
	in := input()
	in.Policy.UrgentHeadroom = 0
	applyRecords(t.Fatalf, tab, start, Place(tab, start, in))
	submit(tab, "urgent", 2, res(5, 5), time.Minute).Urgent = true
	later := start.Add(time.Second)
	rs := Place(tab, later, in)
	is.Equal(len(rs), 3) // three tasks of four cores make room for two tasks of five
	applyRecords(t.Fatalf, tab, later, rs)
	is.Equal(len(Place(tab, later, in)), 0) // the revoked tasks already release enough
	for _, task := range tab.Tasks {
		if task.State == table.TaskRevoking {
			endTask(tab, task, table.TaskPending)
		}
	}
	var granted []table.TaskID
	for _, r := range Place(tab, later, in) {
		granted = append(granted, r.LeaseGranted.Task)
	}
	is.True(slices.Contains(granted, "urgent/0"))
	is.True(slices.Contains(granted, "urgent/1"))
}
