package platform

import (
	"sort"
	"time"

	api "persimmonpick/provider"
	"persimmonpick/table"
)

// Event is one line of the ledger.
type Event struct {
	Time   time.Time
	Event  string // Start, Resume, Stopped, Finished or Failed
	Worker table.WorkerID
	Task   table.TaskID
	Token  table.Token
	Reason string `json:",omitempty"`
}

// Rule is a rule that the ledger checks.
type Rule string

// The rules that the ledger checks.
const (
	TwoPlaces     Rule = "TwoPlaces"     // a task ran in two places at once
	FinishedTwice Rule = "FinishedTwice" // a task finished more than once
	OverCapacity  Rule = "OverCapacity"  // a start asked for more than its worker had left
	StartLeaving  Rule = "StartLeaving"  // a start at a worker listed as leaving for more than LeaveGrace
	RanTwice      Rule = "RanTwice"      // a non-idempotent task started from the beginning more than once
)

// Violation is one breach of a rule.
type Violation struct {
	Rule    Rule
	Time    time.Time
	Task    table.TaskID
	Workers []table.WorkerID
}

func (s *Server) noteStart(w *worker, r *run, now time.Time) {
	e := Event{Time: now, Event: "Start", Worker: r.worker, Task: r.task, Token: r.token}
	if r.saved >= 0 {
		e.Event = "Resume"
	}
	s.ledger = append(s.ledger, e)
	if !w.listed.IsZero() && now.Sub(w.listed) > millis(s.cfg.LeaveGrace) {
		s.violate(Violation{Rule: StartLeaving, Time: now, Task: r.task, Workers: []table.WorkerID{r.worker}})
	}
}

// noteEnd writes the end of a run to the ledger and bars the token of a stopped one.
func (s *Server) noteEnd(w *worker, r *run) {
	if r.state == api.RunStopped {
		w.stopped[r.task] = max(w.stopped[r.task], r.token)
	}
	s.ledger = append(s.ledger, Event{r.ended, string(r.state), r.worker, r.task, r.token, r.reason})
}

func (s *Server) violate(v Violation) {
	s.broken = append(s.broken, v)
}

// Ledger returns every start, resume, stop, finish and failure in the order of time.
func (s *Server) Ledger() []Event {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advanceAll(time.Now())
	es := append([]Event{}, s.ledger...)
	sort.SliceStable(es, func(i, j int) bool { return es[i].Time.Before(es[j].Time) })
	return es
}

// Violations returns every breach of a rule so far.
func (s *Server) Violations() []Violation {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.advanceAll(now)
	byTask := map[table.TaskID][]*run{}
	for _, r := range s.runs {
		byTask[r.task] = append(byTask[r.task], r)
	}
	vs := append([]Violation{}, s.broken...)
	for _, rs := range byTask {
		vs = append(vs, checkTask(rs, now)...)
	}
	sort.SliceStable(vs, func(i, j int) bool { return vs[i].Time.Before(vs[j].Time) })
	return vs
}

// checkTask checks the runs of one task, which are in the order of their starts.
func checkTask(rs []*run, now time.Time) []Violation {
	var vs []Violation
	finished, fresh := 0, 0
	longest := rs[0]
	for i, r := range rs {
		if i > 0 && r.begun.Before(longest.end(now)) {
			vs = append(vs, pair(TwoPlaces, r.begun, longest, r))
		}
		if r.state == api.RunFinished {
			finished++
		}
		if finished > 1 && r.state == api.RunFinished {
			vs = append(vs, pair(FinishedTwice, r.ended, rs[0], r))
		}
		if r.payload.NonIdempotent && r.from == 0 {
			fresh++
		}
		if fresh > 1 && r.from == 0 {
			vs = append(vs, pair(RanTwice, r.begun, rs[0], r))
		}
		if r.end(now).After(longest.end(now)) {
			longest = r
		}
	}
	return vs
}

func pair(rule Rule, at time.Time, a, b *run) Violation {
	return Violation{Rule: rule, Time: at, Task: a.task, Workers: []table.WorkerID{a.worker, b.worker}}
}

// end is when a run ended; one that still runs overlaps everything that started.
func (r *run) end(now time.Time) time.Time {
	if r.state == api.RunRunning {
		return now.Add(time.Nanosecond)
	}
	return r.ended
}
