package journal

import (
	"persimmonpick/fault"
	"persimmonpick/table"
)

// expired forgets nothing that this batch itself changed. An offset thus stays unique as a token or claim.
func (f *fold) expired(r *Expired) fault.Kind {
	f.expireClaims(min(r.Claims, f.off-1))
	f.expireJobs(min(r.Jobs, f.off-1))
	f.expireWriters(min(r.Writers, f.off-1))
	return fault.None
}

func (f *fold) expireClaims(upTo table.Offset) {
	for key, c := range f.t.Claims {
		if c.State != table.ClaimRunning && c.Made <= upTo {
			delete(f.t.Claims, key)
		}
	}
}

func (f *fold) expireJobs(upTo table.Offset) {
	for id, j := range f.t.Jobs {
		if !j.State.Final() || j.Changed > upTo {
			continue
		}
		for _, task := range j.Tasks {
			delete(f.t.Tasks, task)
		}
		delete(f.t.Jobs, id)
	}
}

// expireWriters forgets processes that hold no seat. A process that may still write is on a seat. The offset must be
// older than any append that is still under way, as a repeat of a forgotten writer would take effect again.
func (f *fold) expireWriters(upTo table.Offset) {
	seated := map[table.Incarnation]bool{}
	for _, h := range f.t.Hosts {
		seated[h.Incarnation] = !h.Left
	}
	for inc, w := range f.t.Writers {
		if !seated[inc] && w.Changed <= upTo {
			delete(f.t.Writers, inc)
		}
	}
	for inc, off := range f.t.Replaced {
		if off <= upTo && f.t.Writers[inc] == nil {
			delete(f.t.Replaced, inc)
		}
	}
}
