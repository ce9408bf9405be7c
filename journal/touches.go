package journal

// AffectsView says whether r may change something that table.View copies, when it takes effect.
//
// Leases never do: a worker is deleted only when it holds no instance, and a view looks at workers of instances only.
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
