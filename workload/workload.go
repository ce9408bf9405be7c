package workload

import (
	"fmt"
	"time"

	"persimmonpick/table"
)

// QueueID names a queue of jobs.
type QueueID string

// RunNumber counts the starts of one task; the first is 1.
type RunNumber uint32

// Bounds on what one job may ask for; they keep a record within what the log takes and a task name short.
const (
	MaxSteps        = 256
	MaxTasksPerStep = 4096
	MaxPayload      = table.Bytes(4000)
)

// Queue is the policy of one queue as the configuration states it.
type Queue struct {
	ID          QueueID         `cbor:"1,keyasint"`
	Service     table.ServiceID `cbor:"2,keyasint"`
	Priority    int             `cbor:"3,keyasint,omitempty"` // 0 comes first
	MaxAttempts int             `cbor:"4,keyasint,omitempty"` // runs of a task that may fail
	Stretch     float64         `cbor:"5,keyasint,omitempty"` // objective as a multiple of the longest chain of work
	Allowance   table.Millis    `cbor:"6,keyasint,omitempty"` // added to the stretched chain
	NeedsApproval     bool            `cbor:"7,keyasint,omitempty"` // an outside service must approve the workers of each step
	Approval      ApprovalTerms     `cbor:"8,keyasint,omitempty"` // of that service
}

// ApprovalTerms says what a question to the service that approves workers takes.
type ApprovalTerms struct {
	Decision  table.Millis `cbor:"1,keyasint,omitempty"`
	PerWorker table.Millis `cbor:"2,keyasint,omitempty"` // added for each worker named
	Validity  table.Millis `cbor:"3,keyasint,omitempty"` // of an approval
}

// AnswerTime returns how long the answer to a question about n workers takes.
func (a ApprovalTerms) AnswerTime(n int) table.Millis { return a.Decision + table.Millis(n)*a.PerWorker }

// Step is a group of equal tasks of a job.
type Step struct {
	Count          int             `cbor:"1,keyasint"`
	Need           table.Resources `cbor:"2,keyasint"` // of each task
	Estimate       table.Millis    `cbor:"3,keyasint,omitempty"`
	After          []int           `cbor:"4,keyasint,omitempty"` // earlier steps that must be done first
	Checkpoints    bool            `cbor:"5,keyasint,omitempty"`
	Gang           bool            `cbor:"6,keyasint,omitempty"` // tasks work only while all of them run
	OneRack        bool            `cbor:"7,keyasint,omitempty"`
	Label          string          `cbor:"8,keyasint,omitempty"` // that the worker must carry
	DataRack       table.RackID    `cbor:"9,keyasint,omitempty"`
	MaxPerWorker   int             `cbor:"10,keyasint,omitempty"` // 0 means no limit
	Speculative    bool            `cbor:"11,keyasint,omitempty"`
	LongRunning        bool            `cbor:"12,keyasint,omitempty"` // runs until the job is cancelled
	Image          string          `cbor:"13,keyasint,omitempty"`
	LatencyTarget  table.Millis    `cbor:"14,keyasint,omitempty"` // of tasks that serve users of their own
	BestEffort          bool            `cbor:"15,keyasint,omitempty"` // takes processor time that others leave, outside the capacity
	MaxUnavailable int             `cbor:"16,keyasint,omitempty"` // disruption budget; 0 means none is stated
}

// LatencyCritical says whether the tasks of s have a latency target of their own.
func (s *Step) LatencyCritical() bool { return s.LatencyTarget > 0 }

// Spec is what a caller submitted.
type Spec struct {
	Payload    string           `cbor:"1,keyasint"`
	Steps      []Step           `cbor:"2,keyasint"`
	Repeat     int              `cbor:"3,keyasint,omitempty"` // occurrences; 0 means one, due at once
	FirstStart table.UnixMillis `cbor:"4,keyasint,omitempty"`
	Interval   table.Millis     `cbor:"5,keyasint,omitempty"`
}

// Occurrences returns how many times the steps run.
func (s *Spec) Occurrences() int { return max(1, s.Repeat) }

// Due returns when occurrence n may start; the zero time means at once.
func (s *Spec) Due(n int) time.Time {
	if s.Repeat <= 0 {
		return time.Time{}
	}
	return time.UnixMilli(int64(s.FirstStart) + int64(n)*int64(s.Interval))
}

// Check returns what makes s unusable, in words for its caller.
func (s *Spec) Check() error {
	if table.Bytes(len(s.Payload)) > MaxPayload {
		return fmt.Errorf("the payload exceeds %d bytes", MaxPayload)
	}
	if len(s.Steps) == 0 || len(s.Steps) > MaxSteps {
		return fmt.Errorf("a job needs 1 to %d steps", MaxSteps)
	}
	for i := range s.Steps {
		if err := s.Steps[i].check(i); err != nil {
			return fmt.Errorf("step %d: %w", i, err)
		}
	}
	return nil
}

func (s *Step) check(index int) error {
	if s.Count < 1 || s.Count > MaxTasksPerStep {
		return fmt.Errorf("a step needs 1 to %d tasks", MaxTasksPerStep)
	}
	if s.Need.Negative() {
		return fmt.Errorf("a task asks for a negative amount")
	}
	for _, a := range s.After {
		if a < 0 || a >= index {
			return fmt.Errorf("it waits for step %d, which is not an earlier one", a)
		}
	}
	return nil
}

// State is the state of a job as callers see it.
type State uint8

// The states of a job; the last three are final.
const (
	Queued State = iota
	Running
	Completed
	Failed
	Cancelled
)

var stateNames = [...]string{"Queued", "Running", "Completed", "Failed", "Cancelled"}

// String returns the name of s.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return fmt.Sprintf("State(%d)", uint8(s))
}

// Final says whether s never changes again.
func (s State) Final() bool { return s >= Completed }

// TaskKey names one task.
type TaskKey struct {
	Job        table.JobID
	Occurrence int
	Step       int
	Index      int
}

// StepKey names one step of one occurrence of a job.
type StepKey struct {
	Job        table.JobID
	Occurrence int
	Step       int
}

// Phase says where a task stands.
type Phase uint8

// The phases of a task that the log keeps.
const (
	Waiting  Phase = iota
	Assigned       // may run on its worker
	Done
)

// TaskProgress is the progress of one task; tasks without a mark have never been assigned.
type TaskProgress struct {
	_          struct{} `cbor:",toarray"`
	Occurrence int
	Step       int
	Index      int
	Phase      Phase
	Run        RunNumber // newest run that was assigned
	Failures   int
	Worker     table.WorkerID // while assigned
	Checkpoint string
}

// Progress is what must outlive the process that dispatches a job.
type Progress struct {
	Tasks []TaskProgress `cbor:"1,keyasint,omitempty"`
}

// Submission is the record of an accepted job.
type Submission struct {
	Queue     Queue            `cbor:"1,keyasint"`
	Spec      Spec             `cbor:"2,keyasint"`
	Submitted table.UnixMillis `cbor:"3,keyasint"` // clock of the entry host that accepted it
}

// Status is the record of a job's state.
type Status struct {
	State State            `cbor:"1,keyasint"`
	At    table.UnixMillis `cbor:"2,keyasint"` // clock of the leader that wrote it
}

// Cancel is the record of a caller's wish to end a job.
type Cancel struct {
	At table.UnixMillis `cbor:"1,keyasint"`
}

// String returns the name of k for logs.
func (k TaskKey) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", k.Job, k.Occurrence, k.Step, k.Index)
}
