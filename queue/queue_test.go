package queue

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"persimmonpick/table"
)

var start = time.Unix(1_800_000_000, 0)

func cores(n int) table.Resources {
	return table.Resources{CPU: table.Millicores(n) * 1000}
}

func tables(teams map[table.TeamID]float64) *table.Tables {
	t := table.New()
	for i := range 4 {
		id := table.WorkerID(fmt.Sprintf("w%d", i))
		t.Workers[id] = &table.Worker{ID: id, Capacity: cores(16)}
	}
	for id, weight := range teams {
		t.Teams[id] = &table.Team{ID: id, Quota: cores(64), Weight: weight}
	}
	return t
}

func submit(t *table.Tables, id table.JobID, team table.TeamID, tasks, n int) *table.Job {
	j := &table.Job{ID: id, Team: team, Need: cores(n), RunTime: 60_000, State: table.JobPending}
	j.Submitted = table.UnixMillis(start.UnixMilli())
	for i := range tasks {
		task := &table.Task{ID: table.TaskID(fmt.Sprintf("%s/%d", id, i)), Job: id, State: table.TaskPending}
		t.Tasks[task.ID] = task
		j.Tasks = append(j.Tasks, task.ID)
	}
	t.Jobs[id] = j
	return j
}

// Guards against a team with many pending tasks that delays the other teams, and against ignored team weights.
func TestFairSharesFollowWeights(t *testing.T) {
	is := is.New(t)
	tab := tables(map[table.TeamID]float64{"a": 1, "b": 3})
	submit(tab, "many", "a", 60, 1)
	submit(tab, "few", "b", 60, 1)
	counts := map[string]int{}
	for _, id := range Order(tab, start, Config{Window: 40}) {
		counts[strings.Split(string(id), "/")[0]]++
	}
	is.Equal(counts["many"], 10)
	is.Equal(counts["few"], 30)
}

// Guards against ordering urgent jobs or jobs near their deadline behind older jobs, and against jobs that have
// missed their deadline delaying the rest.
func TestPrecedence(t *testing.T) {
	is := is.New(t)
	tab := tables(map[table.TeamID]float64{"a": 1})
	ms := table.UnixMillis(start.UnixMilli())
	submit(tab, "old", "a", 1, 1).Submitted = ms - 10
	submit(tab, "missed", "a", 1, 1).Deadline = ms - 1
	submit(tab, "near", "a", 1, 1).Deadline = ms + 80_000
	submit(tab, "far", "a", 1, 1).Deadline = ms + 8_000_000
	submit(tab, "urgent", "a", 1, 1).Urgent = true
	got := Order(tab, start, Config{})
	is.Equal(got, []table.TaskID{"urgent/0", "near/0", "old/0", "far/0", "missed/0"})
}

// Guards against ordering work beyond the quota, and against a large job that never starts because younger jobs
// of its team keep using up the quota.
func TestQuota(t *testing.T) {
	is := is.New(t)
	tab := tables(map[table.TeamID]float64{"a": 1})
	tab.TeamUsed["a"] = cores(30)
	submit(tab, "large", "a", 1, 40).Submitted -= 1000
	submit(tab, "small", "a", 50, 1)
	is.Equal(len(Order(tab, start, Config{})), 34)
	is.Equal(len(Order(tab, start.Add(time.Hour), Config{})), 0)
}

// Guards against unplaceable jobs that are not reported or that block the other jobs.
func TestUnplaceableJobs(t *testing.T) {
	is := is.New(t)
	tab := tables(map[table.TeamID]float64{"a": 1, "b": 1})
	tab.Teams["b"].Quota = cores(2)
	submit(tab, "wide", "a", 1, 17)
	submit(tab, "gang", "a", 5, 9).Gang = true
	submit(tab, "ok", "a", 1, 16)
	submit(tab, "poor", "b", 1, 3)
	submit(tab, "lost", "c", 1, 1)
	got := UnplaceableJobs(tab, Config{})
	is.Equal(len(got), 4)
	is.Equal(got[0].Job, table.JobID("gang"))
	is.True(strings.Contains(got[0].Reason, "places for 4"))
	is.Equal(got[1].Job, table.JobID("lost"))
	is.Equal(got[2].Job, table.JobID("poor"))
	is.Equal(got[3].Job, table.JobID("wide"))
	is.True(slices.Contains(Order(tab, start, Config{}), "ok/0"))
}
