package table

// View is an immutable copy of what traffic needs; the control goroutine replaces it as a whole.
type View struct {
	Applied   Offset // of the tables that were copied; later records that change nothing here do not move it
	Kinds     map[KindID]Kind
	Teams     map[TeamID]Team
	Limits    map[LimitID]int64
	Instances map[ServiceID][]Instance // instances that may be sent requests, sorted by ID
	Excluded    map[InstanceID]bool      // instances that are leaving, drained or on such a worker
	ByID      map[InstanceID]Instance  // all instances
	Hosts     map[SeatID]EntryHost
}

// NewView copies from t what traffic needs.
func NewView(t *Tables) *View {
	v := &View{
		Applied:   t.Applied,
		Kinds:     make(map[KindID]Kind, len(t.Kinds)),
		Teams:     make(map[TeamID]Team, len(t.Teams)),
		Limits:    make(map[LimitID]int64, len(t.Limits)),
		Instances: map[ServiceID][]Instance{},
		Excluded:    map[InstanceID]bool{},
		ByID:      make(map[InstanceID]Instance, len(t.Instances)),
		Hosts:     make(map[SeatID]EntryHost, len(t.Hosts)),
	}
	for id, k := range t.Kinds {
		v.Kinds[id] = *k
	}
	for id, team := range t.Teams {
		v.Teams[id] = *team
	}
	for id, l := range t.Limits {
		v.Limits[id] = l.Value
	}
	for id, h := range t.Hosts {
		v.Hosts[id] = *h
	}
	for _, id := range SortedInstances(t) {
		v.addInstance(t, t.Instances[id])
	}
	return v
}

func (v *View) addInstance(t *Tables, in *Instance) {
	v.ByID[in.ID] = *in
	w := t.Workers[in.Worker]
	if in.Leaving || (w != nil && (w.Gone || w.Leaving || t.Drained(w))) {
		v.Excluded[in.ID] = true
		return
	}
	v.Instances[in.Service] = append(v.Instances[in.Service], *in)
}

// Limit returns the value that operators set for id, or otherwise where they set none.
func (v *View) Limit(id LimitID, otherwise int) int {
	if n, ok := v.Limits[id]; ok {
		return int(n)
	}
	return otherwise
}
