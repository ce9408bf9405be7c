package platform

import (
	"sort"
	"time"

	api "persimmonpick/provider"
	"persimmonpick/table"
)

// Event is one entry of the ledger.
type Event struct {
	Time   time.Time
	Event  string // Start, Resume, Stopped, Finished or Failed
	Worker table.WorkerID
	Task   table.TaskID
	Token  table.Token
	Reason string `json:",omitempty"`
}

// Rule names a rule that the ledger checks.
type Rule string

// The rules that the ledger checks.
const (
	TwoPlaces     Rule = "TwoPlaces"     // two runs of a task overlapped
	FinishedTwice Rule = "FinishedTwice" // a task finished more than once
	OverCapacity  Rule = "OverCapacity"  // a start requested more than the free capacity of its worker
	StartLeaving  Rule = "StartLeaving"  // a start on a worker that was listed as leaving for more than LeaveGrace
	RanTwice      Rule = "RanTwice"      // a non-idempotent task started from the beginning more than once
)

// Violation is one breach of a rule.
type Violation struct {
	Rule    Rule
	Time    time.Time
	Task    table.TaskID
	Workers []table.WorkerID
}

func (s *Server) recordStart(w *worker, r *run, now time.Time) {
	e := Event{Time: now, Event: "Start", Worker: r.worker, Task: r.task, Token: r.token}
	if r.checkpointed >= 0 {
		e.Event = "Resume"
	}
	s.ledger = append(s.ledger, e)
	if !w.listedLeavingAt.IsZero() && now.Sub(w.listedLeavingAt) > millis(s.cfg.LeaveGrace) {
		s.addViolation(Violation{Rule: StartLeaving, Time: now, Task: r.task, Workers: []table.WorkerID{r.worker}})
	}
}

// recordEnd appends the end of a run to the ledger. The token of a stopped run is barred from starting again.
func (s *Server) recordEnd(w *worker, r *run) {
	if r.state == api.RunStopped {
		w.stoppedTokens[r.task] = max(w.stoppedTokens[r.task], r.token)
	}
	s.ledger = append(s.ledger, Event{r.endedAt, string(r.state), r.worker, r.task, r.token, r.reason})
}

func (s *Server) addViolation(v Violation) {
	s.violations = append(s.violations, v)
}

// Ledger returns every start, resume, stop, finish and failure so far, ordered by time.
func (s *Server) Ledger() []Event {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advanceAll(time.Now())
	es := append([]Event{}, s.ledger...)
	sort.SliceStable(es, func(i, j int) bool { return es[i].Time.Before(es[j].Time) })
	return es
}

// Violations returns every breach of a rule so far, ordered by time.
func (s *Server) Violations() []Violation {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.advanceAll(now)
	byTask := map[table.TaskID][]*run{}
	for _, r := range s.runs {
		byTask[r.task] = append(byTask[r.task], r)
	}
	vs := append([]Violation{}, s.violations...)
	for _, rs := range byTask {
		vs = append(vs, checkTask(rs, now)...)
	}
	sort.SliceStable(vs, func(i, j int) bool { return vs[i].Time.Before(vs[j].Time) })
	return vs
}

// checkTask checks the runs of one task, which must be ordered by start time.
func checkTask(rs []*run, now time.Time) []Violation {
	var vs []Violation
	finished, freshStarts := 0, 0
	latest := rs[0]
	for i, r := range rs {
		if i > 0 && r.startedAt.Before(latest.endTime(now)) {
			vs = append(vs, newViolation(TwoPlaces, r.startedAt, latest, r))
		}
		if r.state == api.RunFinished {
			finished++
		}
		if finished > 1 && r.state == api.RunFinished {
			vs = append(vs, newViolation(FinishedTwice, r.endedAt, rs[0], r))
		}
		if r.payload.NonIdempotent && r.initialDone == 0 {
			freshStarts++
		}
		if freshStarts > 1 && r.initialDone == 0 {
			vs = append(vs, newViolation(RanTwice, r.startedAt, rs[0], r))
		}
		if r.endTime(now).After(latest.endTime(now)) {
			latest = r
		}
	}
	return vs
}

func newViolation(rule Rule, at time.Time, a, b *run) Violation {
	return Violation{Rule: rule, Time: at, Task: a.task, Workers: []table.WorkerID{a.worker, b.worker}}
}

// endTime returns when a run ended. For a run in progress it lies just after now, so that the run overlaps every run
// that has started since.
func (r *run) endTime(now time.Time) time.Time {
	if r.state == api.RunRunning {
		return now.Add(time.Nanosecond)
	}
	return r.endedAt
}
