package platform

import (
	"encoding/json"
	"math"
	"time"

	api "persimmonpick/provider"
	"persimmonpick/standins/harness"
	"persimmonpick/table"
)

// defaultRun is the run time of a task whose payload is empty.
const defaultRun = table.Millis(100)

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
	info    api.WorkerInfo
	gone    bool
	listed  time.Time // when the list of hosts first showed it as leaving
	runs    map[runID]*run
	highest map[table.TaskID]table.Token // highest token heard of
	stopped map[table.TaskID]table.Token // highest token that never starts again
	samples []api.Report                 // usage of earlier reports, oldest first
}

func newWorker() *worker {
	return &worker{
		runs:    map[runID]*run{},
		highest: map[table.TaskID]table.Token{},
		stopped: map[table.TaskID]table.Token{},
	}
}

// run is one task under one token; its state is worked out when it is looked at.
type run struct {
	runID
	worker  table.WorkerID
	need    table.Resources
	payload Payload
	state   api.RunState
	reason  string
	begun   time.Time
	ended   time.Time // set once the state is final
	last    time.Time // up to when done is worked out
	until   time.Time
	from    float64 // done when it started
	done    float64 // milliseconds of work
	saved   float64 // done at the last checkpoint, negative without one
	share   float64 // of its processors
}

// parsePayload returns the reason why the task fails, if it does.
func parsePayload(data []byte) (Payload, string) {
	if len(data) == 0 {
		return Payload{RunMillis: defaultRun}, ""
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
	if r.until.Before(stop) {
		stop = r.until
	}
	speed *= r.share
	span := float64(stop.Sub(r.last)) / float64(time.Millisecond)
	rest := float64(r.payload.RunMillis) - r.done
	if rest <= 0 || speed > 0 && span*speed >= rest {
		r.done = float64(r.payload.RunMillis)
		at := r.last
		if rest > 0 {
			at = at.Add(time.Duration(rest / speed * float64(time.Millisecond)))
		}
		r.finish(at)
		return true
	}
	if span > 0 {
		r.done += span * speed
		r.last = stop
	}
	if every := float64(r.payload.CheckpointEveryMillis); every > 0 && r.done >= every {
		r.saved = max(r.saved, math.Floor(r.done/every)*every)
	}
	if r.until.After(now) {
		return false
	}
	r.halt(r.until, "LeaseExpired")
	return true
}

func (r *run) finish(at time.Time) {
	r.state = api.RunFinished
	if r.payload.Fail {
		r.state = api.RunFailed
		r.reason = "payload asks for it"
	}
	r.ended = at
}

// halt stops a running task with a checkpoint.
func (r *run) halt(at time.Time, reason string) {
	r.state = api.RunStopped
	r.reason = reason
	r.ended = at
	r.saved = r.done
}

func (r *run) status() api.TaskStatus {
	st := api.TaskStatus{Task: r.task, Token: r.token, State: r.state, Reason: r.reason}
	if r.saved >= 0 {
		st.Checkpoint, _ = json.Marshal(savedState{r.saved})
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
	u.Used.CPU = table.Millicores(float64(u.Used.CPU) * r.share)
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
			s.noteEnd(w, r)
		}
	}
}

func (s *Server) advanceAll(now time.Time) {
	for _, w := range s.workers {
		s.advance(w, now)
	}
}

// lose ends the tasks of a worker that died; they ran in part, and no checkpoint is left.
func (s *Server) lose(w *worker, now time.Time, reason string) {
	s.advance(w, now)
	for _, r := range w.runs {
		if r.state != api.RunRunning {
			continue
		}
		r.state = api.RunFailed
		r.reason = reason
		r.ended = now
		r.saved = -1
		s.noteEnd(w, r)
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
			s.lose(w, now, "WorkerDied")
		}
	}
	if added && f.Action == Stale {
		l := s.shown(now)
		s.stale = &l
	}
}
