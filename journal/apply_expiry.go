package journal

import (
	"persimmonpick/fault"
	"persimmonpick/table"
)

// expired deletes nothing that the same batch changed. Otherwise a batch could delete such a claim or job and create it
// again, and the new claim or lease would get the same offset as the old one, although the offset identifies it.
func (a *applier) expired(r *Expired) fault.Kind {
	a.expireClaims(min(r.Claims, a.off-1))
	a.expireJobs(min(r.Jobs, a.off-1))
	a.expireWriters(min(r.Writers, a.off-1))
	return fault.None
}

func (a *applier) expireClaims(upTo table.Offset) {
	for key, c := range a.t.Claims {
		if c.State != table.ClaimRunning && c.Made <= upTo {
			delete(a.t.Claims, key)
		}
	}
}

func (a *applier) expireJobs(upTo table.Offset) {
	for id, j := range a.t.Jobs {
		if !j.State.Final() || j.Changed > upTo {
			continue
		}
		for _, task := range j.Tasks {
			delete(a.t.Tasks, task)
		}
		delete(a.t.Jobs, id)
	}
}

// expireWriters deletes the state of processes that hold no seat; a process that may still write holds one. The offset
// must be older than any append that may still arrive, because a duplicate batch of a deleted writer would take effect
// again.
func (a *applier) expireWriters(upTo table.Offset) {
	seated := map[table.Incarnation]bool{}
	for _, h := range a.t.Hosts {
		seated[h.Incarnation] = !h.Left
	}
	for inc, w := range a.t.Writers {
		if !seated[inc] && w.Changed <= upTo {
			delete(a.t.Writers, inc)
		}
	}
	for inc, off := range a.t.Replaced {
		if off <= upTo && a.t.Writers[inc] == nil {
			delete(a.t.Replaced, inc)
		}
	}
}
