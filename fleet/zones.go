package fleet

import (
	"persimmonpick/dispatch"
	"persimmonpick/table"
)

// setZones stores the availability zones that the operator requests to evacuate.
func (h *Host) setZones(zs []table.ZoneID) { h.zones.Store(&zs) }

// zoneRequests returns the availability zones to evacuate, for the dispatcher.
func (h *Host) zoneRequests() dispatch.ZoneRequests {
	var r dispatch.ZoneRequests
	if age := h.configAge.Load(); age != nil {
		r.Age = (*age)() // before the zones, which are at least as new then
	}
	if zs := h.zones.Load(); zs != nil {
		r.Known, r.Zones = true, *zs
	}
	return r
}
