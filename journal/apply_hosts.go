package journal

import (
	"persimmonpick/fault"
	"persimmonpick/table"
)

func (f *fold) hostJoined(r *HostJoined) fault.Kind {
	if r.Seat == "" || r.Incarnation == "" {
		return fault.Invalid
	}
	if f.t.Replaced[r.Incarnation] != 0 {
		return fault.Stale
	}
	if f.holdsOther(r.Incarnation, r.Seat) {
		return fault.Conflict
	}
	h := f.t.Hosts[r.Seat]
	if h != nil && h.Incarnation == r.Incarnation {
		h.Address = r.Address
		h.Zone = r.Zone
		return fault.None
	}
	displaced := false
	if h != nil {
		f.retire(h)
		displaced = !h.Left || h.Displaced
	}
	f.t.Hosts[r.Seat] = &table.EntryHost{
		Seat: r.Seat, Incarnation: r.Incarnation, Address: r.Address, Zone: r.Zone, Displaced: displaced, Joined: f.off,
	}
	return fault.None
}

func (f *fold) hostLeft(r *HostLeft) fault.Kind {
	h := f.t.Hosts[r.Seat]
	if h == nil || h.Incarnation != r.Incarnation {
		return fault.Stale
	}
	if h.Left {
		return fault.None
	}
	f.retire(h)
	h.Left = true
	if r.Settled {
		h.Displaced = false
	}
	return fault.None
}

// holdsOther says whether inc holds a seat other than seat.
func (f *fold) holdsOther(inc table.Incarnation, seat table.SeatID) bool {
	for id, h := range f.t.Hosts {
		if id != seat && h.Incarnation == inc {
			return true
		}
	}
	return false
}

// retire records that the incarnation of h has lost its seat: it cannot join again, and nobody knows how its
// running requests end.
func (f *fold) retire(h *table.EntryHost) {
	if f.t.Replaced[h.Incarnation] == 0 {
		f.t.Replaced[h.Incarnation] = f.off
	}
	for _, c := range f.t.Claims {
		if c.Incarnation == h.Incarnation && c.State == table.ClaimRunning {
			c.State = table.ClaimUnknown
		}
	}
}

// seated says whether inc is the process that holds seat.
func (f *fold) seated(seat table.SeatID, inc table.Incarnation) bool {
	h := f.t.Hosts[seat]
	return h != nil && h.Incarnation == inc && !h.Left
}
