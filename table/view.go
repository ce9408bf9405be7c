package table

// View is an immutable copy of the state that serving requests needs. The control goroutine replaces it as a whole.
type View struct {
	Applied   Offset // of the copied tables; later records that do not change the view do not advance it
	Kinds     map[KindID]Kind
	Teams     map[TeamID]Team
	Limits    map[LimitID]int64
	Instances map[ServiceID][]Instance // instances that may receive requests, sorted by ID
	Excluded  map[InstanceID]bool      // instances that are leaving, or whose worker is leaving, gone or drained
	ByID      map[InstanceID]Instance  // all instances, including the excluded ones
	Hosts     map[SeatID]EntryHost
}

// NewView returns a copy of the parts of t that serving requests needs.
func NewView(t *Tables) *View {
	v := &View{
		Applied:   t.Applied,
		Kinds:     make(map[KindID]Kind, len(t.Kinds)),
		Teams:     make(map[TeamID]Team, len(t.Teams)),
		Limits:    make(map[LimitID]int64, len(t.Limits)),
		Instances: map[ServiceID][]Instance{},
		Excluded:  map[InstanceID]bool{},
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

// Limit returns the value that operators have set for id, or fallback if they have set none.
func (v *View) Limit(id LimitID, fallback int) int {
	if n, ok := v.Limits[id]; ok {
		return int(n)
	}
	return fallback
}
