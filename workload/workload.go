package workload

import (
	"fmt"
	"time"

	"persimmonpick/table"
)

// QueueID identifies a queue of jobs.
type QueueID string

// RunNumber counts the runs of one task, from 1.
type RunNumber uint32

// Limits on one job. They keep its record within the size limit of the log and its task names short.
const (
	MaxSteps        = 256
	MaxTasksPerStep = 4096
	MaxPayload      = table.Bytes(4000)
)

// Queue is the policy of one queue, taken from the configuration.
type Queue struct {
	ID          QueueID         `cbor:"1,keyasint"`
	Service     table.ServiceID `cbor:"2,keyasint"`
	Priority    int             `cbor:"3,keyasint,omitempty"` // 0 is the highest
	MaxAttempts int             `cbor:"4,keyasint,omitempty"` // failures of a task that fail its job; 0 means no limit
	// The completion time objective of a job is Stretch times its critical path, plus Allowance.
	Stretch   float64      `cbor:"5,keyasint,omitempty"`
	Allowance table.Millis `cbor:"6,keyasint,omitempty"`
	// NeedsApproval is set if the approval service must approve the workers of each step.
	NeedsApproval bool          `cbor:"7,keyasint,omitempty"`
	Approval      ApprovalTerms `cbor:"8,keyasint,omitempty"`
}

// ApprovalTerms holds the expected response time and the approval validity of the approval service.
type ApprovalTerms struct {
	Decision  table.Millis `cbor:"1,keyasint,omitempty"`
	PerWorker table.Millis `cbor:"2,keyasint,omitempty"` // added for each worker in the request
	Validity  table.Millis `cbor:"3,keyasint,omitempty"` // how long an approval is valid
}

// ResponseTime returns the expected response time of an approval request that names n workers.
func (a ApprovalTerms) ResponseTime(n int) table.Millis {
	return a.Decision + table.Millis(n)*a.PerWorker
}

// Step is a group of identical tasks of a job.
type Step struct {
	Count          int             `cbor:"1,keyasint"`
	Need           table.Resources `cbor:"2,keyasint"` // of each task
	Estimate       table.Millis    `cbor:"3,keyasint,omitempty"`
	After          []int           `cbor:"4,keyasint,omitempty"` // indexes of earlier steps that must complete first
	Checkpoints    bool            `cbor:"5,keyasint,omitempty"`
	Gang           bool            `cbor:"6,keyasint,omitempty"` // tasks make progress only while all of them run
	OneRack        bool            `cbor:"7,keyasint,omitempty"`
	Label          string          `cbor:"8,keyasint,omitempty"` // required of the worker
	DataRack       table.RackID    `cbor:"9,keyasint,omitempty"`
	MaxPerWorker   int             `cbor:"10,keyasint,omitempty"` // 0 means no limit
	Speculative    bool            `cbor:"11,keyasint,omitempty"`
	LongRunning    bool            `cbor:"12,keyasint,omitempty"` // tasks run until the job is cancelled
	Image          string          `cbor:"13,keyasint,omitempty"`
	LatencyTarget  table.Millis    `cbor:"14,keyasint,omitempty"` // of each latency-critical task; 0 means none
	BestEffort     bool            `cbor:"15,keyasint,omitempty"` // runs on idle processor time, outside the capacity
	MaxUnavailable int             `cbor:"16,keyasint,omitempty"` // disruption budget; 0 means unspecified
}

// LatencyCritical reports whether the tasks of s have a latency target of their own.
func (s *Step) LatencyCritical() bool { return s.LatencyTarget > 0 }

// Spec is a job as its caller submitted it.
type Spec struct {
	Payload    string           `cbor:"1,keyasint"`
	Steps      []Step           `cbor:"2,keyasint"`
	Repeat     int              `cbor:"3,keyasint,omitempty"` // occurrences; 0 means one, due immediately
	FirstStart table.UnixMillis `cbor:"4,keyasint,omitempty"`
	Interval   table.Millis     `cbor:"5,keyasint,omitempty"`
}

// Occurrences returns the number of times that the steps run.
func (s *Spec) Occurrences() int { return max(1, s.Repeat) }

// Due returns the earliest start of occurrence n; the zero time means immediately.
func (s *Spec) Due(n int) time.Time {
	if s.Repeat <= 0 {
		return time.Time{}
	}
	return time.UnixMilli(int64(s.FirstStart) + int64(n)*int64(s.Interval))
}

// Check returns an error that explains to the caller why s is invalid, or nil.
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

// MaxLongRunningTasks is the largest number of long-running tasks of one job, over all its occurrences. None of them
// ever ends, so that its progress record has an entry for each at the same time.
const MaxLongRunningTasks = 6144

// CheckSize returns an error that explains to the caller why the progress of s cannot be kept, or nil. Jobs that were
// accepted are not checked again, unlike by Check.
func (s *Spec) CheckSize() error {
	n := 0
	for i := range s.Steps {
		if s.Steps[i].LongRunning {
			n += s.Steps[i].Count
		}
	}
	if n > MaxLongRunningTasks/s.Occurrences() {
		return fmt.Errorf("a job may have %d long-running tasks over all its occurrences", MaxLongRunningTasks)
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

// State is the state of a job that is reported to callers.
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

// Final reports whether s is terminal.
func (s State) Final() bool { return s >= Completed }

// TaskKey identifies one task.
type TaskKey struct {
	Job        table.JobID
	Occurrence int
	Step       int
	Index      int
}

// StepKey identifies one step of one occurrence of a job.
type StepKey struct {
	Job        table.JobID
	Occurrence int
	Step       int
}

// Phase is the scheduling phase of a task.
type Phase uint8

// The phases of a task that are recorded in the log.
const (
	Waiting  Phase = iota
	Assigned       // may be running on its worker
	Done
)

// TaskProgress is the recorded progress of one task; a task without one has never been assigned.
type TaskProgress struct {
	_          struct{} `cbor:",toarray"`
	Occurrence int
	Step       int
	Index      int
	Phase      Phase
	Run        RunNumber // latest run that was assigned
	Failures   int
	Worker     table.WorkerID // while assigned
	Checkpoint string
}

// Progress is the state of a job's tasks that must survive a change of leader.
type Progress struct {
	Tasks   []TaskProgress `cbor:"1,keyasint,omitempty"`
	Crashes []TaskCrashes  `cbor:"2,keyasint,omitempty"`
	// Evidence holds for each entry of Crashes the evidence that the task crashes its workers: the natural logarithm of
	// the factor by which the crashes raise the odds.
	Evidence []float32 `cbor:"3,keyasint,omitempty"`
	// Known holds for each entry of Crashes what is known of them; records of earlier versions have none.
	Known []KnownCrashes `cbor:"4,keyasint,omitempty"`
	// Each occurrence below Opened is finished or open, and all tasks of an open one without entries wait. Opened is 0
	// in records of earlier versions, which have no Finished either.
	Opened   int               `cbor:"8,keyasint,omitempty"`
	Finished []OccurrenceRange `cbor:"9,keyasint,omitempty"` // all of whose tasks are done, ascending
	// Tasks that are done and have no entry, of steps that are not finished; only if all entries would not fit.
	Done []DoneTasks `cbor:"10,keyasint,omitempty"`
	// FailedRuns holds the newest failed run of each gang that is not finished; records of earlier versions have none.
	FailedRuns []FailedRun `cbor:"11,keyasint,omitempty"`
	// LateStarts holds the tasks of which a start was not answered so lately that it may yet be carried out.
	LateStarts []LateStart `cbor:"12,keyasint,omitempty"`
}

// LateStart names a task and the worker that may carry out a start of it late, in any later life too.
type LateStart struct {
	_          struct{} `cbor:",toarray"`
	Occurrence int
	Step       int
	Index      int
	Worker     table.WorkerID
}

// FailedRun is a run of a gang of which a member's end as failed is counted.
type FailedRun struct {
	_          struct{} `cbor:",toarray"`
	Occurrence int
	Step       int
	Run        RunNumber
}

// DoneTasks names the tasks of one step that are done.
type DoneTasks struct {
	_          struct{} `cbor:",toarray"`
	Occurrence int
	Step       int
	Bits       []byte // bit n%8 of byte n/8 is set if task n is done
}

// OccurrenceRange is a range of occurrences of a scheduled job.
type OccurrenceRange struct {
	_     struct{} `cbor:",toarray"`
	First int
	Count int
}

// TaskCrashes is the recorded number of workers that crashed in a row under one task.
type TaskCrashes struct {
	_          struct{} `cbor:",toarray"`
	Occurrence int
	Step       int
	Index      int
	Crashes    int
}

// KnownCrashes tells how many of the recorded crashes of a task were under runs that had taken effect for sure.
type KnownCrashes struct {
	_       struct{} `cbor:",toarray"`
	Crashes int
	Started bool // whether its present run is known to have taken effect
	Counted bool // whether a crash of its present run is counted
	// NotBefore is when a task that pauses may start again, by the clock of the leader; 0 unless it pauses.
	NotBefore     table.UnixMillis
	AwaitsAnswers bool // whether the pause may end early
	EndedEarly    bool // whether the last pause did; read by earlier versions only
}

// Submission is the log record of an accepted job.
type Submission struct {
	Queue     Queue            `cbor:"1,keyasint"`
	Spec      Spec             `cbor:"2,keyasint"`
	Submitted table.UnixMillis `cbor:"3,keyasint"` // by the clock of the entry host that accepted it
}

// Status is the log record of a job's state.
type Status struct {
	State State            `cbor:"1,keyasint"`
	At    table.UnixMillis `cbor:"2,keyasint"` // by the clock of the leader that wrote it
}

// Cancel is the log record of a caller's request to cancel a job.
type Cancel struct {
	At table.UnixMillis `cbor:"1,keyasint"`
}

// StepKey returns the key of the step of the task.
func (k TaskKey) StepKey() StepKey {
	return StepKey{Job: k.Job, Occurrence: k.Occurrence, Step: k.Step}
}

// String returns k as JOB.OCCURRENCE.STEP.INDEX.
func (k TaskKey) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", k.Job, k.Occurrence, k.Step, k.Index)
}
