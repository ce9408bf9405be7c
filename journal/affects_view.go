package journal

// AffectsView reports whether r, if it takes effect, may change anything that table.View copies.
//
// Lease records never do: a view contains only workers that hold an instance, and a worker is not deleted while it
// does.
func (r *Record) AffectsView() bool {
	switch {
	case r.HostJoined != nil, r.HostLeft != nil:
		return true
	case r.WorkerSeen != nil, r.WorkerGone != nil:
		return true
	case r.InstanceSeen != nil, r.InstanceGone != nil:
		return true
	case r.PlanConfirmed != nil:
		return r.PlanConfirmed.Intent.Type != ResolveTask
	}
	return false
}
