package table

// WriterState is what the fold keeps of one writer to detect repeated batches.
type WriterState struct {
	Seq     uint64 // highest sequence number folded
	Changed Offset
}

// AppliedPlan remembers a confirmed plan, so that a repeat has no effect.
type AppliedPlan struct {
	ID     PlanID
	Digest uint64 // hash of its intent and base
	Offset Offset
}

// Tables holds every entity that the fold of the log yields; one goroutine owns it.
type Tables struct {
	Applied    Offset // last offset folded
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
	Active     map[TaskID]*Task // tasks that are not final, kept by the fold; nil if nobody keeps it
	Claims     map[ClaimKey]*Claim
	TeamUsed   map[TeamID]Resources // sum of leases held by the tasks of each team
	TeamJobs   map[TeamID]int       // unfinished jobs of each team
	ConfigSeen Offset               // offset of the last configuration change

	Replaced     map[Incarnation]Offset // incarnations that lost or gave back their seat, and when
	Plans        []AppliedPlan          // newest confirmed plans, oldest first
	Removed      map[string]Offset      // versions of removed configuration, by a name such as "Team/t1"
	RemovedFloor Offset                 // highest version dropped from Removed; the version of what was never seen
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

// Drained says whether an operator has drained w or its rack.
func (t *Tables) Drained(w *Worker) bool {
	if t.Drains["worker/"+string(w.ID)] != nil {
		return true
	}
	return w.Rack != "" && t.Drains["rack/"+string(w.Rack)] != nil
}

// Schedulable says whether w may be given new work.
func (t *Tables) Schedulable(w *Worker) bool {
	return !w.Gone && !w.Leaving && !w.Quarantined && !t.Drained(w)
}

// Free returns what w has left for new leases.
func (w *Worker) Free() Resources {
	return w.Capacity.Minus(w.Used)
}

// Unfinished returns the tasks that are not final, from the index where the fold keeps one, and perhaps others.
func (t *Tables) Unfinished() map[TaskID]*Task {
	if t.Active != nil {
		return t.Active
	}
	return t.Tasks
}

// IndexUnfinished makes the index of unfinished tasks if there is none.
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
