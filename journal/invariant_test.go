package journal

import (
	"fmt"

	"pgregory.net/rapid"

	"persimmonpick/table"
)

// check recomputes all derived state of the tables from tasks and instances, and checks the transition from the tables
// before the newest batch.
func (m *model) check(rt *rapid.T) {
	m.checkWorkers(rt)
	m.checkJobs(rt)
	m.checkTeams(rt)
	m.checkTokens(rt)
	m.checkClaims(rt)
	checkActive(rt, m.t)
}

func (m *model) checkWorkers(rt *rapid.T) {
	used := map[table.WorkerID]table.Resources{}
	holds := map[table.WorkerID]int{}
	for _, task := range m.t.Tasks {
		if task.State.Held() {
			used[task.Lease.Worker] = used[task.Lease.Worker].Plus(task.Lease.Need)
			holds[task.Lease.Worker]++
		}
	}
	for _, in := range m.t.Instances {
		used[in.Worker] = used[in.Worker].Plus(in.Need)
		holds[in.Worker]++
	}
	for id, n := range holds {
		if m.t.Workers[id] == nil {
			rt.Fatalf("worker %s was deleted while it holds %d leases and instances", id, n)
		}
	}
	for id, w := range m.t.Workers {
		if w.Used != used[id] || w.Holds != holds[id] {
			rt.Fatalf("worker %s has Used %v, Holds %d instead of %v, %d", id, w.Used, w.Holds, used[id], holds[id])
		}
		m.checkCapacity(rt, w)
	}
}

// checkCapacity checks that a worker exceeds its capacity only because the capacity shrank.
func (m *model) checkCapacity(rt *rapid.T, w *table.Worker) {
	if w.Used.Fits(w.Capacity) {
		return
	}
	before := m.before.Workers[w.ID]
	if before == nil || (w.Capacity == before.Capacity && !w.Used.Fits(before.Used)) {
		rt.Fatalf("worker %s uses %v of a capacity of %v", w.ID, w.Used, w.Capacity)
	}
}

func (m *model) checkJobs(rt *rapid.T) {
	tasks := 0
	for id, j := range m.t.Jobs {
		open := 0
		counts := table.TaskCounts{}
		for _, taskID := range j.Tasks {
			task := m.t.Tasks[taskID]
			tasks++
			if !task.State.Final() {
				open++
			}
			switch {
			case task.State.Held():
				counts.Held++
			case task.State == table.TaskUnknown:
				counts.Unknown++
			case task.State == table.TaskFailed:
				counts.Failed++
			case task.State == table.TaskCancelled:
				counts.Cancelled++
			}
		}
		if open != j.Open || counts != j.Counts || (open == 0) != j.State.Final() {
			rt.Fatalf("job %s is %s with Open %d, Counts %v instead of %d, %v", id, j.State, j.Open, j.Counts, open, counts)
		}
		if m.before.Jobs[id] != nil && m.before.Jobs[id].State.Final() && m.before.Jobs[id].State != j.State {
			rt.Fatalf("final job %s changed", id)
		}
	}
	if tasks != len(m.t.Tasks) {
		rt.Fatalf("%d tasks do not belong to a job", len(m.t.Tasks)-tasks)
	}
}

func (m *model) checkTeams(rt *rapid.T) {
	used := map[table.TeamID]table.Resources{}
	jobs := map[table.TeamID]int{}
	for _, j := range m.t.Jobs {
		if j.State.Final() {
			continue
		}
		jobs[j.Team]++
		for _, id := range j.Tasks {
			if task := m.t.Tasks[id]; task.State.Held() && task.Lease.Need != (table.Resources{}) {
				used[j.Team] = used[j.Team].Plus(task.Lease.Need)
			}
		}
	}
	if fmt.Sprint(used) != fmt.Sprint(m.t.TeamUsed) || fmt.Sprint(jobs) != fmt.Sprint(m.t.TeamJobs) {
		rt.Fatalf("teams use %v, %v instead of %v, %v", m.t.TeamUsed, m.t.TeamJobs, used, jobs)
	}
	for id, team := range m.t.Teams {
		before := m.before.Teams[id]
		if before != nil && before.Quota == team.Quota && !used[id].Fits(team.Quota) && !used[id].Fits(m.before.TeamUsed[id]) {
			rt.Fatalf("team %s uses %v of a quota of %v", id, used[id], team.Quota)
		}
	}
}

// checkTokens checks that a changed token is a new one, that a lease ends before the next one begins, and that a
// non-idempotent task whose worker was lost is not granted again without a decision.
func (m *model) checkTokens(rt *rapid.T) {
	for id, task := range m.t.Tasks {
		before := m.before.Tasks[id]
		if task.State.Held() && task.Lease.Token != task.LastToken {
			rt.Fatalf("task %s is held under %d, not %d", id, task.Lease.Token, task.LastToken)
		}
		if before == nil || before.LastToken == task.LastToken {
			continue
		}
		if task.LastToken != m.t.Applied || task.LastToken < before.LastToken {
			rt.Fatalf("task %s got token %d after %d at %d", id, task.LastToken, before.LastToken, m.t.Applied)
		}
		if before.State == table.TaskUnknown && !m.resolved(id) {
			rt.Fatalf("task %s was granted in state Unknown", id)
		}
	}
}

// resolved reports whether the newest batch contains an operator's decision or a worker's report about task id.
func (m *model) resolved(id table.TaskID) bool {
	for _, r := range m.log[len(m.log)-1].Batch.Records {
		if r.PlanConfirmed != nil && r.PlanConfirmed.Intent.Task == id {
			return true
		}
		if r.LeaseEnded != nil && r.LeaseEnded.Task == id && r.LeaseEnded.Outcome != LeaseExpired {
			return true
		}
	}
	return false
}

func (m *model) checkClaims(rt *rapid.T) {
	for key, c := range m.t.Claims {
		before := m.before.Claims[key]
		if before != nil && before.State == table.ClaimDone && before.Made == c.Made && c.State != table.ClaimDone {
			rt.Fatalf("claim %v changed after it was in state Done", key)
		}
		h := m.t.Hosts[c.Seat]
		if c.State == table.ClaimRunning && (h == nil || h.Left || h.Incarnation != c.Incarnation) {
			rt.Fatalf("claim %v is running in a process that lost its seat", key)
		}
	}
}
