package journal

import (
	"persimmonpick/fault"
	"persimmonpick/table"
)

func (a *applier) hostJoined(r *HostJoined) fault.Kind {
	if r.Seat == "" || r.Incarnation == "" {
		return fault.Invalid
	}
	if a.t.Replaced[r.Incarnation] != 0 {
		return fault.Stale
	}
	if a.holdsOtherSeat(r.Incarnation, r.Seat) {
		return fault.Conflict
	}
	h := a.t.Hosts[r.Seat]
	if h != nil && h.Incarnation == r.Incarnation {
		h.Address = r.Address
		h.Zone = r.Zone
		return fault.None
	}
	displaced := false
	if h != nil {
		a.retire(h)
		displaced = !h.Left || h.Displaced
	}
	a.t.Hosts[r.Seat] = &table.EntryHost{
		Seat: r.Seat, Incarnation: r.Incarnation, Address: r.Address, Zone: r.Zone, Displaced: displaced, Joined: a.off,
	}
	return fault.None
}

func (a *applier) hostLeft(r *HostLeft) fault.Kind {
	h := a.t.Hosts[r.Seat]
	if h == nil || h.Incarnation != r.Incarnation {
		return fault.Stale
	}
	if h.Left {
		return fault.None
	}
	a.retire(h)
	h.Left = true
	if r.Settled {
		h.Displaced = false
	}
	return fault.None
}

// holdsOtherSeat reports whether inc holds or last held a seat other than seat.
func (a *applier) holdsOtherSeat(inc table.Incarnation, seat table.SeatID) bool {
	for id, h := range a.t.Hosts {
		if id != seat && h.Incarnation == inc {
			return true
		}
	}
	return false
}

// retire records that the incarnation of h has lost its seat. It cannot join again, and the outcome of its running
// requests is unknown.
func (a *applier) retire(h *table.EntryHost) {
	if a.t.Replaced[h.Incarnation] == 0 {
		a.t.Replaced[h.Incarnation] = a.off
	}
	for _, c := range a.t.Claims {
		if c.Incarnation == h.Incarnation && c.State == table.ClaimRunning {
			c.State = table.ClaimUnknown
		}
	}
}

// holdsSeat reports whether inc is the process that holds seat.
func (a *applier) holdsSeat(seat table.SeatID, inc table.Incarnation) bool {
	h := a.t.Hosts[seat]
	return h != nil && h.Incarnation == inc && !h.Left
}
