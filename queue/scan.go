package queue

import "persimmonpick/table"

// Scan groups the unfinished tasks by job and by worker. It is valid until the tables change.
type Scan struct {
	Pending map[table.JobID][]*table.Task    // pending tasks by job
	Held    map[table.WorkerID][]*table.Task // tasks with a lease by worker
}

// NewScan returns a scan of the unfinished tasks of t.
func NewScan(t *table.Tables) *Scan {
	s := &Scan{
		Pending: make(map[table.JobID][]*table.Task),
		Held:    make(map[table.WorkerID][]*table.Task, len(t.Workers)),
	}
	for _, task := range t.Unfinished() {
		s.add(task)
	}
	return s
}

func (s *Scan) add(task *table.Task) {
	if task.State == table.TaskPending {
		s.Pending[task.Job] = append(s.Pending[task.Job], task)
		return
	}
	if task.State.Held() {
		s.Held[task.Lease.Worker] = append(s.Held[task.Lease.Worker], task)
	}
}
