package share

import "persimmonpick/table"

// Owner returns the seat that owns the slots of an instance; the order of seats does not matter.
func Owner(seats []table.SeatID, id table.InstanceID) table.SeatID {
	return table.Owner(seats, string(id))
}
