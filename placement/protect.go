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

// Steps of throttling and the times between them.
const (
	throttleStep  = 0.5
	throttleFloor = 0.5
	// settleLags is the number of report lags between two actions on a worker, so that reports show the effect
	// of the first.
	settleLags = 2.0
	// recoveryLags is the recovery time in report lags: instances must stay recovered that long before a
	// throttle is eased.
	recoveryLags        = 3.0
	maxBackoffDoublings = 3               // doublings of the recovery time
	minSettle           = 5 * time.Second // least time between two actions, however short the lag
	checkpointTime      = 5 * time.Second // time that a task has to save a checkpoint before it is evicted
	minBlamedSlowdown   = 0.2             // least predicted added slowdown for which a kind is acted on
)

// ReasonInterference is the reason of leases revoked to protect a latency-critical instance.
const ReasonInterference = "slows a latency-critical instance"

// protector holds the state of one call of Protect.
type protector struct {
	g        *Guard
	t        *table.Tables
	now      time.Time
	in       ProtectInput
	loads    map[table.InstanceID]float64
	commands []Command
	records  []journal.Record
}

// Protect throttles batch work beside instances that miss their objective, and evicts it as a last resort. It eases
// throttles on workers whose instances have recovered.
func (g *Guard) Protect(t *table.Tables, scan *queue.Scan, now time.Time, in ProtectInput) ([]Command, []journal.Record) {
	g.prune(t)
	g.applyReadings(in.Readings)
	running := 0
	for _, held := range scan.Held {
		running += len(held)
	}
	g.budget.refill(now, in.Policy.EvictionBudget*float64(running)/100)
	p := &protector{g: g, t: t, now: now, in: in, loads: make(map[table.InstanceID]float64, len(in.Readings))}
	for _, r := range in.Readings {
		p.loads[r.Instance] = r.Load
	}
	for _, s := range workerStates(t, scan, nil) {
		if len(s.instances) > 0 {
			p.protectWorker(s)
		}
	}
	return p.commands, p.records
}

func (p *protector) protectWorker(s *workerState) {
	p.revokeCheckpointed(s)
	if p.now.Sub(p.g.lastAction[s.w.ID]) < p.settleTime() {
		return
	}
	violating := p.worstInstance(s)
	if violating != nil {
		p.mitigate(s, violating)
		return
	}
	if p.recovered(s) {
		p.easeThrottles(s)
	}
}

// settleTime returns the least time between two actions on a worker.
func (p *protector) settleTime() time.Duration {
	return max(minSettle, time.Duration(settleLags*float64(p.in.Lag)))
}

// worstInstance returns the instance on s with the highest violation ratio, or nil. Only instances with a
// report taken after the last action on s count.
func (p *protector) worstInstance(s *workerState) *table.Instance {
	var violating *table.Instance
	highest := 0.0
	for _, in := range s.instances {
		st := p.g.instances[in.ID]
		if st == nil || !st.violating || st.ratio <= highest || !st.lastReport.After(p.g.lastAction[s.w.ID]) {
			continue
		}
		violating, highest = in, st.ratio
	}
	return violating
}

// recovered reports whether every instance on s has been below recoveryRatio for the recovery time, and as much
// time has passed since the last action on s.
func (p *protector) recovered(s *workerState) bool {
	wait := time.Duration(recoveryLags*float64(p.in.Lag)) << min(p.g.backoff[s.w.ID], maxBackoffDoublings)
	for _, in := range s.instances {
		st := p.g.instances[in.ID]
		if st == nil {
			continue
		}
		if st.recoveredSince.IsZero() || p.now.Sub(st.recoveredSince) < wait || p.now.Sub(p.g.lastAction[s.w.ID]) < wait {
			return false
		}
	}
	return true
}

// mitigate throttles a task of the most interfering kind on s, or evicts one if all are at throttleFloor.
func (p *protector) mitigate(s *workerState, in *table.Instance) {
	tasks := p.mostInterfering(s, in)
	if len(tasks) == 0 {
		return
	}
	if !p.g.eased[s.w.ID].IsZero() {
		// The eased throttle was still needed, so double the recovery time of the next one.
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
	p.requestCheckpoint(s, tasks)
}

// mostInterfering returns the tasks on s of the kind with the largest predicted slowdown of in, newest first.
// It returns nil if no kind exceeds minBlamedSlowdown.
func (p *protector) mostInterfering(s *workerState, in *table.Instance) []*table.Task {
	byKind := map[table.KindID][]*table.Task{}
	for _, task := range s.held {
		if j := p.t.Jobs[task.Job]; j != nil && task.State == table.TaskStarted && !j.Urgent {
			byKind[j.Kind] = append(byKind[j.Kind], task)
		}
	}
	var worst table.KindID
	highest := minBlamedSlowdown
	for k, tasks := range byKind {
		weight := 0.0
		for _, task := range tasks {
			weight += p.g.Share(task) * cpuShare(task.Lease.Need, s.w)
		}
		added := p.slowdownBy(in, k, weight) - 1
		if added > highest || (added == highest && k < worst) {
			worst, highest = k, added
		}
	}
	tasks := byKind[worst]
	slices.SortFunc(tasks, func(a, b *table.Task) int {
		return cmp.Or(cmp.Compare(b.Lease.Granted, a.Lease.Granted), cmp.Compare(a.ID, b.ID))
	})
	return tasks
}

// slowdownBy returns the predicted slowdown factor of in beside kind k with the given weight.
func (p *protector) slowdownBy(in *table.Instance, k table.KindID, weight float64) float64 {
	if !p.in.Policy.Interference || p.in.Slowdown == nil {
		// Without a model, assume that the slowdown is proportional to the processor share.
		return 1 + weight
	}
	slowdown, _ := p.in.Slowdown(in.Service, []interference.Neighbour{{Kind: k, Weight: weight}}, p.loads[in.ID])
	return slowdown
}

// throttle sets the share of its processors that task may use.
func (p *protector) throttle(s *workerState, task *table.Task, share float64) {
	p.g.throttles[task.ID] = throttleState{task.Lease.Token, share}
	p.g.lastAction[s.w.ID] = p.now
	p.commands = append(p.commands, Command{
		Type: Throttle, Worker: s.w.ID, Task: task.ID, Token: task.Lease.Token, Share: share,
	})
}

// requestCheckpoint asks one of tasks to save a checkpoint, if the eviction budget allows: the newest of those
// with the fewest evictions. revokeCheckpointed revokes its lease later.
func (p *protector) requestCheckpoint(s *workerState, tasks []*table.Task) {
	task := tasks[0]
	for _, other := range tasks {
		if other.Evictions < task.Evictions {
			task = other
		}
	}
	if _, ok := p.g.awaitingCheckpoint[task.ID]; ok || !p.g.budget.spend() {
		return
	}
	p.g.awaitingCheckpoint[task.ID] = awaitingCheckpoint{task.Lease.Token, p.now}
	p.g.lastAction[s.w.ID] = p.now
	p.commands = append(p.commands, Command{
		Type: Checkpoint, Worker: s.w.ID, Task: task.ID, Token: task.Lease.Token,
	})
}

// revokeCheckpointed revokes the tasks on s whose time to save a checkpoint is over.
func (p *protector) revokeCheckpointed(s *workerState) {
	for _, task := range s.held {
		v, ok := p.g.awaitingCheckpoint[task.ID]
		if !ok || task.State != table.TaskStarted || p.now.Sub(v.requested) < checkpointTime {
			continue
		}
		delete(p.g.awaitingCheckpoint, task.ID)
		p.g.lastAction[s.w.ID] = p.now
		p.records = append(p.records, revocation(task, ReasonInterference))
	}
}

// easeThrottles raises the share of the throttled tasks on s by one step. If none is throttled any more, it
// resets the backoff of s.
func (p *protector) easeThrottles(s *workerState) {
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
