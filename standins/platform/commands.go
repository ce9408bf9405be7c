package platform

import (
	"context"
	"encoding/json"
	"sort"
	"time"

	"persimmonpick/fault"
	api "persimmonpick/provider"
	"persimmonpick/standins/harness"
	"persimmonpick/table"
)

// onWorker runs op on a worker after its tasks have been advanced to the current time. It fails if the worker is
// unknown or removed.
func (s *Server) onWorker(ctx context.Context, function string, id table.WorkerID, op func(w *worker, now time.Time) error) error {
	return s.call(ctx, function, id, func(now time.Time) error {
		w := s.workers[id]
		if w == nil || w.removed {
			return fault.New(fault.PlatformFailed, "worker %s is not reachable", id)
		}
		s.advance(w, now)
		return op(w, now)
	})
}

func (s *Server) start(ctx context.Context, id table.WorkerID, req api.StartRequest) error {
	return s.onWorker(ctx, "Workers.Start", id, func(w *worker, now time.Time) error {
		highest := w.highestTokens[req.Task]
		if req.Token < highest || req.Token <= w.stoppedTokens[req.Task] {
			s.stats.StaleRefusals++
			return fault.New(fault.Stale, "token %d of %s is stopped or below %d", req.Token, req.Task, highest)
		}
		if req.Token == highest {
			return nil
		}
		if !req.Until.After(now) {
			s.stats.StaleRefusals++
			return fault.New(fault.Stale, "lease of %s ended before its start", req.Task)
		}
		if !s.reservedResources(w, req.Task).Plus(req.Need).Fits(w.info.Capacity) {
			s.stats.CapacityRefusals++
			s.addViolation(Violation{Rule: OverCapacity, Time: now, Task: req.Task, Workers: []table.WorkerID{id}})
			return fault.New(fault.Capacity, "worker %s has no room for %s", id, req.Task)
		}
		s.stopRuns(w, req.Task, now, "Superseded")
		s.startRun(w, req, now)
		return nil
	})
}

// reservedResources returns what the instances and the running tasks of a worker reserve, leaving out one task.
func (s *Server) reservedResources(w *worker, except table.TaskID) table.Resources {
	var sum table.Resources
	for _, in := range s.hostVersions[len(s.hostVersions)-1].list.Instances {
		if in.Worker == w.info.ID {
			sum = sum.Plus(in.Need)
		}
	}
	for _, r := range w.runs {
		if r.state == api.RunRunning && r.task != except {
			sum = sum.Plus(r.need)
		}
	}
	return sum
}

func (s *Server) startRun(w *worker, req api.StartRequest, now time.Time) {
	r := &run{
		runID: runID{req.Task, req.Token}, worker: w.info.ID, need: req.Need,
		state: api.RunRunning, startedAt: now, advancedTo: now, leaseEnd: req.Until, checkpointed: -1, cpuShare: 1,
	}
	var failReason string
	r.payload, failReason = parsePayload(req.Payload)
	var checkpoint savedState
	if len(req.Checkpoint) > 0 && json.Unmarshal(req.Checkpoint, &checkpoint) == nil {
		r.initialDone = checkpoint.DoneMillis
		r.done = checkpoint.DoneMillis
		r.checkpointed = checkpoint.DoneMillis
	}
	w.runs[r.runID] = r
	w.highestTokens[req.Task] = req.Token
	s.runs = append(s.runs, r)
	s.recordStart(w, r, now)
	_, _, failStart := s.Faults.Take(func(f harness.Fault) bool {
		return f.Action == FailStarts && (f.Worker == "" || f.Worker == w.info.ID)
	})
	if failStart {
		failReason = "worker fails every start"
	}
	if failReason != "" {
		r.state = api.RunFailed
		r.reason = failReason
		r.endedAt = now
		s.recordEnd(w, r)
	}
}

// stopRuns stops the runs of a task that are in progress. The caller has checked that the worker has seen no newer
// token than its own.
func (s *Server) stopRuns(w *worker, task table.TaskID, now time.Time, reason string) {
	for id, r := range w.runs {
		if id.task == task && r.state == api.RunRunning {
			r.stop(now, reason)
			s.recordEnd(w, r)
		}
	}
}

func (s *Server) renew(ctx context.Context, id table.WorkerID, rs []api.Renewal) error {
	return s.onWorker(ctx, "Workers.Renew", id, func(w *worker, _ time.Time) error {
		for _, n := range rs {
			r := w.runs[runID{n.Task, n.Token}]
			// A renewal that arrives out of order must not shorten the lease.
			if r != nil && r.state == api.RunRunning && n.Until.After(r.leaseEnd) {
				r.leaseEnd = n.Until
			}
		}
		return nil
	})
}

func (s *Server) stop(ctx context.Context, id table.WorkerID, task table.TaskID, token table.Token) (api.TaskStatus, error) {
	st := api.TaskStatus{Task: task, Token: token, State: api.RunUnaccepted}
	err := s.onWorker(ctx, "Workers.Stop", id, func(w *worker, now time.Time) error {
		w.stoppedTokens[task] = max(w.stoppedTokens[task], token)
		if token >= w.highestTokens[task] {
			w.highestTokens[task] = token
			s.stopRuns(w, task, now, "StopCommand")
		}
		if r := w.runs[runID{task, token}]; r != nil {
			st = r.status()
		}
		return nil
	})
	if err != nil {
		return api.TaskStatus{}, err
	}
	return st, nil
}

// currentRun returns the run of a task, which must be running under exactly this token.
func (w *worker) currentRun(task table.TaskID, token table.Token) (*run, error) {
	if token < w.highestTokens[task] {
		return nil, fault.New(fault.Stale, "token %d of %s is below %d", token, task, w.highestTokens[task])
	}
	r := w.runs[runID{task, token}]
	if r == nil || r.state != api.RunRunning {
		return nil, fault.New(fault.NotFound, "%s does not run under token %d", task, token)
	}
	return r, nil
}

func (s *Server) checkpoint(ctx context.Context, id table.WorkerID, task table.TaskID, token table.Token) error {
	return s.onWorker(ctx, "Workers.Checkpoint", id, func(w *worker, _ time.Time) error {
		r, err := w.currentRun(task, token)
		if err != nil {
			return err
		}
		r.checkpointed = r.done
		return nil
	})
}

func (s *Server) throttle(ctx context.Context, id table.WorkerID, task table.TaskID, token table.Token, share float64) error {
	if !(share >= 0 && share <= 1) {
		return fault.New(fault.Invalid, "share %v is not between 0 and 1", share)
	}
	return s.onWorker(ctx, "Workers.Throttle", id, func(w *worker, _ time.Time) error {
		r, err := w.currentRun(task, token)
		if err != nil {
			return err
		}
		r.cpuShare = share
		return nil
	})
}

func (s *Server) report(ctx context.Context, id table.WorkerID) (api.Report, error) {
	var rep api.Report
	err := s.onWorker(ctx, "Workers.Report", id, func(w *worker, now time.Time) error {
		rep = s.delayedUsage(w, now)
		rep.Statuses = nil
		for _, r := range w.runs {
			rep.Statuses = append(rep.Statuses, r.status())
		}
		sort.Slice(rep.Statuses, func(i, j int) bool {
			a, b := rep.Statuses[i], rep.Statuses[j]
			return a.Task < b.Task || a.Task == b.Task && a.Token < b.Token
		})
		return nil
	})
	if err != nil {
		return api.Report{}, err
	}
	return rep, nil
}

// delayedUsage takes a usage sample and returns the newest sample that is at least UsageLag old.
func (s *Server) delayedUsage(w *worker, now time.Time) api.Report {
	sample := api.Report{Worker: w.info.ID, Taken: now}
	for _, r := range w.runs {
		if r.state == api.RunRunning {
			sample.Tasks = append(sample.Tasks, r.usage())
		}
	}
	sort.Slice(sample.Tasks, func(i, j int) bool { return sample.Tasks[i].Task < sample.Tasks[j].Task })
	for _, in := range s.hostVersions[len(s.hostVersions)-1].list.Instances {
		if u, ok := s.instanceUsage[in.ID]; ok && in.Worker == w.info.ID {
			sample.Instances = append(sample.Instances, u)
		}
	}
	w.usageSamples = append(w.usageSamples, sample)
	cutoff := now.Add(-millis(s.cfg.UsageLag))
	if w.usageSamples[0].Taken.After(cutoff) {
		return api.Report{Worker: w.info.ID}
	}
	for len(w.usageSamples) > 1 && !w.usageSamples[1].Taken.After(cutoff) {
		w.usageSamples = w.usageSamples[1:]
	}
	return w.usageSamples[0]
}

func (s *Server) forget(ctx context.Context, id table.WorkerID, rs []api.Renewal) error {
	return s.onWorker(ctx, "Workers.Forget", id, func(w *worker, _ time.Time) error {
		for _, n := range rs {
			key := runID{n.Task, n.Token}
			if r := w.runs[key]; r != nil && r.state != api.RunRunning {
				delete(w.runs, key)
			}
		}
		return nil
	})
}
