package platform

import (
	"encoding/json"
	"math"
	"time"

	api "persimmonpick/provider"
	"persimmonpick/standins/harness"
	"persimmonpick/table"
)

// defaultRunTime is the run time of a task whose payload is empty.
const defaultRunTime = table.Millis(100)

// Payload is the JSON that tells a worker what a task does.
type Payload struct {
	RunMillis             table.Millis
	Result                string           `json:",omitempty"`
	Fail                  bool             `json:",omitempty"` // fails at the end of its run time
	CheckpointEveryMillis table.Millis     `json:",omitempty"` // of work done; 0 for no periodic checkpoints
	Used                  *table.Resources `json:",omitempty"` // what reports say it uses; its need if left out
	NonIdempotent         bool             `json:",omitempty"` // a second start from the beginning is a violation
}

// savedState is the JSON of a checkpoint.
type savedState struct {
	DoneMillis float64
}

type runID struct {
	task  table.TaskID
	token table.Token
}

type worker struct {
	info            api.WorkerInfo
	removed         bool
	listedLeavingAt time.Time // when the list of hosts first showed it as leaving
	runs            map[runID]*run
	highestTokens   map[table.TaskID]table.Token // highest token heard of
	stoppedTokens   map[table.TaskID]table.Token // highest token that never starts again
	usageSamples    []api.Report                 // usage of earlier reports, oldest first
}

func newWorker() *worker {
	return &worker{
		runs:          map[runID]*run{},
		highestTokens: map[table.TaskID]table.Token{},
		stoppedTokens: map[table.TaskID]table.Token{},
	}
}

// run is one task under one token; its state is worked out when it is looked at.
type run struct {
	runID
	worker       table.WorkerID
	need         table.Resources
	payload      Payload
	state        api.RunState
	reason       string
	startedAt    time.Time
	endedAt      time.Time // set once the state is final
	advancedTo   time.Time // up to when done is worked out
	leaseEnd     time.Time
	initialDone  float64 // done when it started
	done         float64 // milliseconds of work
	checkpointed float64 // done at the last checkpoint, negative without one
	cpuShare     float64 // of its processors
}

// parsePayload returns the reason why the task fails, if it does.
func parsePayload(data []byte) (Payload, string) {
	if len(data) == 0 {
		return Payload{RunMillis: defaultRunTime}, ""
	}
	var p Payload
	if err := json.Unmarshal(data, &p); err != nil {
		return p, "payload is not JSON"
	}
	return p, ""
}

// advance works out the state at now, given the speed of the worker since the last time.
func (r *run) advance(now time.Time, speed float64) (ended bool) {
	if r.state != api.RunRunning {
		return false
	}
	stop := now
	if r.leaseEnd.Before(stop) {
		stop = r.leaseEnd
	}
	speed *= r.cpuShare
	span := float64(stop.Sub(r.advancedTo)) / float64(time.Millisecond)
	rest := float64(r.payload.RunMillis) - r.done
	if rest <= 0 || speed > 0 && span*speed >= rest {
		r.done = float64(r.payload.RunMillis)
		at := r.advancedTo
		if rest > 0 {
			at = at.Add(time.Duration(rest / speed * float64(time.Millisecond)))
		}
		r.finish(at)
		return true
	}
	if span > 0 {
		r.done += span * speed
		r.advancedTo = stop
	}
	if every := float64(r.payload.CheckpointEveryMillis); every > 0 && r.done >= every {
		r.checkpointed = max(r.checkpointed, math.Floor(r.done/every)*every)
	}
	if r.leaseEnd.After(now) {
		return false
	}
	r.stop(r.leaseEnd, "LeaseExpired")
	return true
}

func (r *run) finish(at time.Time) {
	r.state = api.RunFinished
	if r.payload.Fail {
		r.state = api.RunFailed
		r.reason = "payload asks for it"
	}
	r.endedAt = at
}

// stop stops a running task with a checkpoint.
func (r *run) stop(at time.Time, reason string) {
	r.state = api.RunStopped
	r.reason = reason
	r.endedAt = at
	r.checkpointed = r.done
}

func (r *run) status() api.TaskStatus {
	st := api.TaskStatus{Task: r.task, Token: r.token, State: r.state, Reason: r.reason}
	if r.checkpointed >= 0 {
		st.Checkpoint, _ = json.Marshal(savedState{r.checkpointed})
	}
	if r.state == api.RunFinished {
		st.Result = []byte(r.payload.Result)
	}
	return st
}

func (r *run) usage() api.TaskUsage {
	u := api.TaskUsage{Task: r.task, Token: r.token, Used: r.need, Progress: 1}
	if r.payload.Used != nil {
		u.Used = *r.payload.Used
	}
	u.Used.CPU = table.Millicores(float64(u.Used.CPU) * r.cpuShare)
	if r.payload.RunMillis > 0 {
		u.Progress = r.done / float64(r.payload.RunMillis)
	}
	return u
}

// speed is how fast the tasks of a worker run, 1 for full speed.
func (s *Server) speed(id table.WorkerID) float64 {
	speed := 1.0
	for _, f := range s.Faults.List() {
		if f.Worker != id {
			continue
		}
		if f.Action == Freeze && (f.Target == "" || f.Target == "Workers") {
			return 0
		}
		if f.Action == RunSlow && f.Factor > 0 {
			speed /= f.Factor
		}
	}
	return speed
}

// advance works out the state of all tasks of a worker and writes what ended to the ledger.
func (s *Server) advance(w *worker, now time.Time) {
	speed := s.speed(w.info.ID)
	for _, r := range w.runs {
		if r.advance(now, speed) {
			s.recordEnd(w, r)
		}
	}
}

func (s *Server) advanceAll(now time.Time) {
	for _, w := range s.workers {
		s.advance(w, now)
	}
}

// failRuns ends the tasks of a worker that died; they ran in part, and no checkpoint is left.
func (s *Server) failRuns(w *worker, now time.Time, reason string) {
	s.advance(w, now)
	for _, r := range w.runs {
		if r.state != api.RunRunning {
			continue
		}
		r.state = api.RunFailed
		r.reason = reason
		r.endedAt = now
		r.checkpointed = -1
		s.recordEnd(w, r)
	}
}

// beforeFault brings the tasks up to date, because a fault may change how fast they run.
func (s *Server) beforeFault(f harness.Fault, added bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.advanceAll(now)
	if added && f.Action == Kill {
		if w := s.workers[f.Worker]; w != nil {
			s.failRuns(w, now, "WorkerDied")
		}
	}
	if added && f.Action == Stale {
		l := s.visibleList(now)
		s.staleList = &l
	}
}
