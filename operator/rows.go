package operator

import "persimmonpick/table"

// Status sums up the tables and the entry hosts.
type Status struct {
	Applied     table.Offset // last offset of the log that the answering host applied
	ConfigSeen  table.Offset // offset of the last configuration change
	Hosts       []HostStatus
	Jobs        map[string]int // by state
	Tasks       map[string]int // by state
	Workers     WorkerCounts
	Instances   int
	Kinds       []table.Kind
	Teams       []table.Team
	Limits      []table.Limit
	Drains      []string
	Unknown     []UnknownTask // tasks that need a decision; at most maxUnknown
	MoreUnknown bool
}

// WorkerCounts counts workers by state; a worker may count in several states.
type WorkerCounts struct {
	Listed      int // not gone
	Open        int // may be given new work
	Leaving     int
	Drained     int
	Quarantined int
	Capacity    table.Resources // of the open workers
	Used        table.Resources // of the open workers
}

// UnknownTask is a task that an operator must decide about.
type UnknownTask struct {
	Task   table.TaskID
	Job    table.JobID
	Team   table.TeamID
	Reason string
}

// JobRow is one line of the list of jobs.
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

// JobPage is one page of the list of jobs in the order of ids.
type JobPage struct {
	Jobs []JobRow
	Next table.JobID // pass as After for the next page; empty on the last page
}

// JobDetail is one job with its tasks.
type JobDetail struct {
	JobRow
	Need         table.Resources
	RunTime      table.Millis
	Deadline     table.UnixMillis
	Gang         bool
	MaxAttempts  int
	PayloadBytes int
	Waits        string    // why it can run nowhere as the site is now
	TaskRows     []TaskRow // at most maxTaskRows
}

// TaskRow is one line of the list of tasks of a job.
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

// WorkerRow is one line of the list of workers.
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

// WorkerPage is one page of the list of workers in the order of ids.
type WorkerPage struct {
	Workers []WorkerRow
	Next    table.WorkerID // pass as After for the next page; empty on the last page
}
