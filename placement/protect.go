package placement

import (
	"cmp"
	"slices"
	"time"

	"persimmonpick/interference"
	"persimmonpick/journal"
	"persimmonpick/queue"
	"persimmonpick/table"
)

// Steps of throttling, and times around them.
const (
	throttleStep  = 0.5
	throttleFloor = 0.5
	settleLags    = 2.0             // report lags between two actions on a worker, so that the effect of the first is seen
	calmLags      = 3.0             // report lags that an instance must be calm before a throttle is eased
	maxBackoff    = 3               // doublings of that time
	minSettle     = 5 * time.Second // between two actions, however short the lag
	checkpointFor = 5 * time.Second // given to a task to save a checkpoint before it is evicted
	blameAtLeast  = 0.2             // predicted slowdown by a kind below which it is not blamed
)

// ReasonInterference is the reason of leases revoked to protect a latency-critical instance.
const ReasonInterference = "slows a latency-critical instance"

// protection is the state of one call of Protect.
type protection struct {
	g        *Guard
	t        *table.Tables
	now      time.Time
	in       ProtectInput
	loads    map[table.InstanceID]float64
	commands []Command
	records  []journal.Record
}

// Protect throttles, and as a last resort evicts, batch work beside instances that miss their objective, and eases throttles where it is calm.
func (g *Guard) Protect(t *table.Tables, scan *queue.Scan, now time.Time, in ProtectInput) ([]Command, []journal.Record) {
	g.forget(t)
	g.read(in.Readings)
	running := 0
	for _, held := range scan.Held {
		running += len(held)
	}
	g.budget.refill(now, in.Policy.EvictionBudget*float64(running)/100)
	p := &protection{g: g, t: t, now: now, in: in, loads: make(map[table.InstanceID]float64, len(in.Readings))}
	for _, r := range in.Readings {
		p.loads[r.Instance] = r.Load
	}
	for _, s := range sites(t, scan, nil) {
		if len(s.instances) > 0 {
			p.worker(s)
		}
	}
	return p.commands, p.records
}

func (p *protection) worker(s *site) {
	p.finishSaving(s)
	if p.now.Sub(p.g.last[s.w.ID]) < p.settle() {
		return
	}
	bad := p.worst(s)
	if bad != nil {
		p.restrain(s, bad)
		return
	}
	if p.calm(s) {
		p.ease(s)
	}
}

func (p *protection) settle() time.Duration {
	return max(minSettle, time.Duration(settleLags*float64(p.in.Lag)))
}

// worst returns the instance on s that misses its objective most in a report taken since the last action, or nil.
func (p *protection) worst(s *site) *table.Instance {
	var bad *table.Instance
	highest := 0.0
	for _, in := range s.instances {
		w := p.g.watches[in.ID]
		if w == nil || !w.bad || w.ratio <= highest || !w.taken.After(p.g.last[s.w.ID]) {
			continue
		}
		bad, highest = in, w.ratio
	}
	return bad
}

// calm says whether every instance on s has been calm for long enough.
func (p *protection) calm(s *site) bool {
	wait := time.Duration(calmLags*float64(p.in.Lag)) << min(p.g.backoff[s.w.ID], maxBackoff)
	for _, in := range s.instances {
		w := p.g.watches[in.ID]
		if w == nil {
			continue
		}
		if w.calm.IsZero() || p.now.Sub(w.calm) < wait || p.now.Sub(p.g.last[s.w.ID]) < wait {
			return false
		}
	}
	return true
}

// restrain throttles the task that the model blames most, or evicts it when throttling is used up.
func (p *protection) restrain(s *site, in *table.Instance) {
	tasks := p.blamed(s, in)
	if len(tasks) == 0 {
		return
	}
	if !p.g.eased[s.w.ID].IsZero() {
		// The throttle was needed after all, so the next one stays longer.
		p.g.backoff[s.w.ID]++
		p.g.eased[s.w.ID] = time.Time{}
	}
	if p.in.Policy.Throttle {
		for _, task := range tasks {
			if share := p.g.Share(task); share > throttleFloor {
				p.throttle(s, task, max(throttleFloor, share*throttleStep))
				return
			}
		}
	}
	p.evict(s, tasks)
}

// blamed returns the tasks on s of the kind that slows in most by the model, newest first.
func (p *protection) blamed(s *site, in *table.Instance) []*table.Task {
	byKind := map[table.KindID][]*table.Task{}
	for _, task := range s.held {
		if j := p.t.Jobs[task.Job]; j != nil && task.State == table.TaskStarted && !j.Urgent {
			byKind[j.Kind] = append(byKind[j.Kind], task)
		}
	}
	var worst table.KindID
	highest := blameAtLeast
	for k, tasks := range byKind {
		weight := 0.0
		for _, task := range tasks {
			weight += p.g.Share(task) * weightOf(task.Lease.Need, s.w)
		}
		slow := p.predict(in, k, weight) - 1
		if slow > highest || (slow == highest && k < worst) {
			worst, highest = k, slow
		}
	}
	tasks := byKind[worst]
	slices.SortFunc(tasks, func(a, b *table.Task) int {
		return cmp.Or(cmp.Compare(b.Lease.Granted, a.Lease.Granted), cmp.Compare(a.ID, b.ID))
	})
	return tasks
}

func (p *protection) predict(in *table.Instance, k table.KindID, weight float64) float64 {
	if !p.in.Policy.Interference || p.in.Slowdown == nil {
		// Without a model every neighbour is as suspect as its processors.
		return 1 + weight
	}
	slow, _ := p.in.Slowdown(in.Service, []interference.Neighbour{{Kind: k, Weight: weight}}, p.loads[in.ID])
	return slow
}

func (p *protection) throttle(s *site, task *table.Task, share float64) {
	p.g.shares[task.ID] = throttled{task.Lease.Token, share}
	p.g.last[s.w.ID] = p.now
	p.commands = append(p.commands, Command{
		Type: Throttle, Worker: s.w.ID, Task: task.ID, Token: task.Lease.Token, Share: share,
	})
}

// evict asks the cheapest of tasks for a checkpoint, if the budget allows; finishSaving revokes it.
func (p *protection) evict(s *site, tasks []*table.Task) {
	task := tasks[0]
	for _, other := range tasks {
		if other.Evictions < task.Evictions {
			task = other
		}
	}
	if _, ok := p.g.saving[task.ID]; ok || !p.g.budget.spend() {
		return
	}
	p.g.saving[task.ID] = saving{task.Lease.Token, p.now}
	p.g.last[s.w.ID] = p.now
	p.commands = append(p.commands, Command{
		Type: Checkpoint, Worker: s.w.ID, Task: task.ID, Token: task.Lease.Token,
	})
}

// finishSaving revokes the tasks on s that had their time to save a checkpoint.
func (p *protection) finishSaving(s *site) {
	for _, task := range s.held {
		v, ok := p.g.saving[task.ID]
		if !ok || task.State != table.TaskStarted || p.now.Sub(v.at) < checkpointFor {
			continue
		}
		delete(p.g.saving, task.ID)
		p.g.last[s.w.ID] = p.now
		p.records = append(p.records, revocation(task, ReasonInterference))
	}
}

// ease gives the throttled tasks on s one step back.
func (p *protection) ease(s *site) {
	eased := false
	for _, task := range s.held {
		if share := p.g.Share(task); share < 1 {
			p.throttle(s, task, min(1, share/throttleStep))
			eased = true
		}
	}
	if !eased {
		delete(p.g.backoff, s.w.ID)
		return
	}
	p.g.eased[s.w.ID] = p.now
}
