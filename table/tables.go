package table

// WriterState is the state retained for each writer of the log to detect duplicate batches.
type WriterState struct {
	Seq     uint64 // highest sequence number applied
	Changed Offset
}

// AppliedPlan records a confirmed plan, so that a repeated confirmation has no effect.
type AppliedPlan struct {
	ID     PlanID
	Digest uint64 // hash of the plan's intent and base
	Offset Offset
}

// Tables is the state that results from applying the log. It is not safe for concurrent use; one goroutine owns it.
type Tables struct {
	Applied    Offset // last offset applied
	Hosts      map[SeatID]*EntryHost
	Writers    map[Incarnation]*WriterState
	Workers    map[WorkerID]*Worker
	Instances  map[InstanceID]*Instance
	Kinds      map[KindID]*Kind
	Teams      map[TeamID]*Team
	Limits     map[LimitID]*Limit
	Drains     map[string]*Drain // by Drain.Name
	Jobs       map[JobID]*Job
	Tasks      map[TaskID]*Task
	Active     map[TaskID]*Task // index of the tasks that are not final, updated as records are applied; nil if unused
	Claims     map[ClaimKey]*Claim
	TeamUsed   map[TeamID]Resources // sum of the leases held by each team's tasks
	TeamJobs   map[TeamID]int       // number of unfinished jobs of each team
	ConfigSeen Offset               // offset of the last configuration change

	Replaced     map[Incarnation]Offset // incarnations that lost or released their seat, with the offset
	Plans        []AppliedPlan          // latest confirmed plans, oldest first
	Removed      map[string]Offset      // versions of removed configuration, by name, such as "Team/t1"
	RemovedFloor Offset                 // highest version dropped from Removed; used as the version of unknown names
}

// New returns empty tables.
func New() *Tables {
	return &Tables{
		Hosts:     map[SeatID]*EntryHost{},
		Writers:   map[Incarnation]*WriterState{},
		Workers:   map[WorkerID]*Worker{},
		Instances: map[InstanceID]*Instance{},
		Kinds:     map[KindID]*Kind{},
		Teams:     map[TeamID]*Team{},
		Limits:    map[LimitID]*Limit{},
		Drains:    map[string]*Drain{},
		Jobs:      map[JobID]*Job{},
		Tasks:     map[TaskID]*Task{},
		Claims:    map[ClaimKey]*Claim{},
		TeamUsed:  map[TeamID]Resources{},
		TeamJobs:  map[TeamID]int{},
		Replaced:  map[Incarnation]Offset{},
		Removed:   map[string]Offset{},
	}
}

// Name returns the key of d, such as "rack/r1" or "worker/w1".
func (d Drain) Name() string {
	if d.Rack != "" {
		return "rack/" + string(d.Rack)
	}
	return "worker/" + string(d.Worker)
}

// Drained reports whether an operator has drained w or its rack.
func (t *Tables) Drained(w *Worker) bool {
	if t.Drains["worker/"+string(w.ID)] != nil {
		return true
	}
	return w.Rack != "" && t.Drains["rack/"+string(w.Rack)] != nil
}

// Schedulable reports whether w may be given new work.
func (t *Tables) Schedulable(w *Worker) bool {
	return !w.Gone && !w.Leaving && !w.Quarantined && !t.Drained(w)
}

// Free returns the resources of w that are available for new leases.
func (w *Worker) Free() Resources {
	return w.Capacity.Minus(w.Used)
}

// Unfinished returns all tasks that are not final. Without the index Active it returns final tasks as well.
func (t *Tables) Unfinished() map[TaskID]*Task {
	if t.Active != nil {
		return t.Active
	}
	return t.Tasks
}

// IndexUnfinished builds the index of unfinished tasks if there is none.
func (t *Tables) IndexUnfinished() {
	if t.Active != nil {
		return
	}
	t.Active = map[TaskID]*Task{}
	for id, task := range t.Tasks {
		if !task.State.Final() {
			t.Active[id] = task
		}
	}
}
