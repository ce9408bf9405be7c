package platform

import (
	"encoding/json"
	"math"
	"time"

	api "persimmonpick/provider"
	"persimmonpick/standins/harness"
	"persimmonpick/table"
)

// defaultRunTime is the run time of a task with an empty payload.
const defaultRunTime = table.Millis(100)

// Payload is the JSON task payload; it tells the worker how the task behaves.
type Payload struct {
	RunMillis             table.Millis
	Result                string           `json:",omitempty"`
	Fail                  bool             `json:",omitempty"` // the task fails at the end of its run time
	CheckpointEveryMillis table.Millis     `json:",omitempty"` // in work done; 0 for no periodic checkpoints
	Used                  *table.Resources `json:",omitempty"` // usage in reports; the need of the task if omitted
	NonIdempotent         bool             `json:",omitempty"` // a second start from the beginning is a violation
}

// savedState is the JSON content of a checkpoint.
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
	listedLeavingAt time.Time // when the host list first showed it as leaving
	runs            map[runID]*run
	highestTokens   map[table.TaskID]table.Token // highest token seen in a start or stop
	stoppedTokens   map[table.TaskID]table.Token // highest token that must not start again
	usageSamples    []api.Report                 // taken for earlier reports, oldest first
}

func newWorker() *worker {
	return &worker{
		runs:          map[runID]*run{},
		highestTokens: map[table.TaskID]table.Token{},
		stoppedTokens: map[table.TaskID]table.Token{},
	}
}

// run is the execution of a task under one token. Its state is advanced lazily, whenever it is accessed.
type run struct {
	runID
	worker       table.WorkerID
	need         table.Resources
	payload      Payload
	state        api.RunState
	reason       string
	startedAt    time.Time
	endedAt      time.Time // set once the state is final
	advancedTo   time.Time // time up to which done has been computed
	leaseEnd     time.Time
	initialDone  float64 // value of done at the start
	done         float64 // milliseconds of work
	checkpointed float64 // value of done at the last checkpoint, negative if there is none
	cpuShare     float64 // share of its processors that it may use
}

// parsePayload decodes a payload; the second result is the reason for failing the task, or empty.
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

// advance brings the run up to now, given the speed of the worker since the last call, and reports whether the run
// ended.
func (r *run) advance(now time.Time, speed float64) (ended bool) {
	if r.state != api.RunRunning {
		return false
	}
	upTo := now
	if r.leaseEnd.Before(upTo) {
		upTo = r.leaseEnd
	}
	speed *= r.cpuShare
	elapsed := float64(upTo.Sub(r.advancedTo)) / float64(time.Millisecond)
	remaining := float64(r.payload.RunMillis) - r.done
	if remaining <= 0 || speed > 0 && elapsed*speed >= remaining {
		r.done = float64(r.payload.RunMillis)
		finishedAt := r.advancedTo
		if remaining > 0 {
			finishedAt = finishedAt.Add(time.Duration(remaining / speed * float64(time.Millisecond)))
		}
		r.finish(finishedAt)
		return true
	}
	if elapsed > 0 {
		r.done += elapsed * speed
		r.advancedTo = upTo
	}
	if interval := float64(r.payload.CheckpointEveryMillis); interval > 0 && r.done >= interval {
		r.checkpointed = max(r.checkpointed, math.Floor(r.done/interval)*interval)
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

// stop ends a running task after a final checkpoint.
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

// speed returns the speed of the tasks of a worker, where 1 is full speed and 0 is frozen.
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

// advance brings all tasks of a worker up to now and records those that ended in the ledger.
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

// failRuns fails the running tasks of a worker that died or was removed. Their checkpoints are lost.
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

// beforeFault advances all tasks before a fault is added or removed, because that may change their speed. It also
// applies the immediate effects of Kill and Stale.
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
