package operator

import "persimmonpick/table"

// Status summarizes the tables and the entry hosts.
type Status struct {
	Applied     table.Offset // last log offset that the reporting host applied
	ConfigSeen  table.Offset // log offset of the last configuration change
	Hosts       []HostStatus
	Jobs        map[string]int // by state
	Tasks       map[string]int // by state
	Workers     WorkerCounts
	Instances   int
	Kinds       []table.Kind
	Teams       []table.Team
	Limits      []table.Limit
	Drains      []string
	Unknown     []UnknownTask // tasks whose outcome an operator must set; at most maxUnknownTasks
	MoreUnknown bool
}

// WorkerCounts counts workers by state; a worker can be in several states.
type WorkerCounts struct {
	Listed      int // not gone
	Open        int // may receive new work
	Leaving     int
	Drained     int
	Quarantined int
	Capacity    table.Resources // of the open workers
	Used        table.Resources // of the open workers
}

// UnknownTask is a task whose outcome is unknown and must be set by an operator.
type UnknownTask struct {
	Task   table.TaskID
	Job    table.JobID
	Team   table.TeamID
	Reason string
}

// JobRow is one entry of the job list.
type JobRow struct {
	ID            table.JobID
	Team          table.TeamID
	Kind          table.KindID
	State         table.JobState
	Urgent        bool
	NonIdempotent bool
	Tasks         int
	Open          int // tasks that are not final
	Submitted     table.UnixMillis
}

// JobPage is one page of the job list, ordered by id.
type JobPage struct {
	Jobs []JobRow
	Next table.JobID // value of After for the next page; empty on the last page
}

// JobDetail describes one job and its tasks.
type JobDetail struct {
	JobRow
	Need         table.Resources
	RunTime      table.Millis
	Deadline     table.UnixMillis
	Gang         bool
	MaxAttempts  int
	PayloadBytes int
	Waits        string    // why no current worker can run it; empty otherwise
	TaskRows     []TaskRow // at most maxTaskRows
}

// TaskRow is one entry of the task list of a job.
type TaskRow struct {
	ID          table.TaskID
	State       table.TaskState
	Worker      table.WorkerID
	Token       table.Token
	Attempts    int
	Evictions   int
	ResultBytes int
	Reason      string
}

// WorkerRow is one entry of the worker list.
type WorkerRow struct {
	ID          table.WorkerID
	Rack        table.RackID
	Zone        table.ZoneID
	Capacity    table.Resources
	Used        table.Resources
	Open        bool
	Leaving     bool
	Gone        bool
	Drained     bool
	Quarantined bool
	Tasks       int
	Instances   int
}

// WorkerPage is one page of the worker list, ordered by id.
type WorkerPage struct {
	Workers []WorkerRow
	Next    table.WorkerID // value of After for the next page; empty on the last page
}
