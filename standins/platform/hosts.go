package platform

import (
	"context"
	"math"
	"time"

	api "persimmonpick/provider"
	"persimmonpick/standins/harness"
	"persimmonpick/table"
)

// hostVersion is an immutable version of the host list, valid from a point in time on.
type hostVersion struct {
	since time.Time
	list  api.HostList
}

// HostChange is a change of the host list; the tasks of removed workers fail.
type HostChange struct {
	Add             []api.WorkerInfo    `json:",omitempty"`
	Leaving         []table.WorkerID    `json:",omitempty"` // marked as leaving
	Staying         []table.WorkerID    `json:",omitempty"` // no longer marked as leaving
	Remove          []table.WorkerID    `json:",omitempty"`
	AddInstances    []table.Instance    `json:",omitempty"` // an instance with a known ID is replaced
	RemoveInstances []table.InstanceID  `json:",omitempty"`
	Usage           []api.InstanceUsage `json:",omitempty"` // usage that worker reports show for instances
}

// ChangeHosts applies a change at once; the host list shows it after ListLag.
func (s *Server) ChangeHosts(c HostChange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, in := range c.Add {
		w := s.workers[in.ID]
		if w == nil {
			w = newWorker()
			s.workers[in.ID] = w
		}
		w.info = in
		w.removed = false
		w.listedLeavingAt = time.Time{}
	}
	s.setLeaving(c.Leaving, true)
	s.setLeaving(c.Staying, false)
	for _, id := range c.Remove {
		if w := s.workers[id]; w != nil {
			s.failRuns(w, now, "WorkerRemoved")
			w.removed = true
		}
	}
	for _, u := range c.Usage {
		s.instanceUsage[u.Instance] = u
	}
	s.hostVersions = append(s.hostVersions, hostVersion{now, s.nextList(c)})
}

func (s *Server) setLeaving(ids []table.WorkerID, leaving bool) {
	for _, id := range ids {
		if w := s.workers[id]; w != nil {
			w.info.Leaving = leaving
			w.listedLeavingAt = time.Time{}
		}
	}
}

// nextList returns the newest host list with a change applied; existing entries keep their order, new ones follow.
func (s *Server) nextList(c HostChange) api.HostList {
	var prev, next api.HostList
	if len(s.hostVersions) > 0 {
		prev = s.hostVersions[len(s.hostVersions)-1].list
	}
	seen := map[table.WorkerID]bool{}
	for _, in := range append(append([]api.WorkerInfo(nil), prev.Workers...), c.Add...) {
		if w := s.workers[in.ID]; !w.removed && !seen[in.ID] {
			seen[in.ID] = true
			next.Workers = append(next.Workers, w.info)
		}
	}
	replaced := map[table.InstanceID]bool{}
	for _, id := range c.RemoveInstances {
		replaced[id] = true
	}
	for _, in := range c.AddInstances {
		replaced[in.ID] = true
	}
	for _, in := range prev.Instances {
		if !replaced[in.ID] && seen[in.Worker] {
			next.Instances = append(next.Instances, in)
		}
	}
	next.Instances = append(next.Instances, c.AddInstances...)
	return next
}

func (s *Server) list(ctx context.Context) (api.HostList, error) {
	var l api.HostList
	err := s.call(ctx, "Hosts.List", "", func(now time.Time) error {
		l = s.visibleList(now)
		s.recordLeaving(l, now)
		return nil
	})
	if err != nil {
		return api.HostList{}, err
	}
	return l, nil
}

// visibleList returns the host list as of ListLag ago, with the faults Stale, Empty and Short applied.
func (s *Server) visibleList(now time.Time) api.HostList {
	f, ok := s.Faults.Find(func(f harness.Fault) bool {
		return f.Action == Stale || f.Action == Empty || f.Action == Short
	})
	if ok && f.Action == Stale && s.staleList != nil {
		return *s.staleList
	}
	asOf := now.Add(-millis(s.cfg.ListLag))
	for len(s.hostVersions) > 1 && !s.hostVersions[1].since.After(asOf) {
		s.hostVersions = s.hostVersions[1:]
	}
	l := s.hostVersions[0].list
	l.AsOf = asOf
	if ok && f.Action == Empty {
		return api.HostList{AsOf: asOf}
	}
	if ok && f.Action == Short {
		l.Workers = l.Workers[:shareOf(len(l.Workers), f.Share)]
		l.Instances = l.Instances[:shareOf(len(l.Instances), f.Share)]
	}
	return l
}

func shareOf(n int, share float64) int {
	return int(math.Ceil(float64(n) * min(1, max(0, share))))
}

// recordLeaving records when a returned list first showed each worker as leaving. The rule StartLeaving counts from
// that time.
func (s *Server) recordLeaving(l api.HostList, now time.Time) {
	for _, in := range l.Workers {
		w := s.workers[in.ID]
		if in.Leaving && w.listedLeavingAt.IsZero() {
			w.listedLeavingAt = now
		}
	}
}
