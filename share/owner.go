package share

import "persimmonpick/table"

// Owner returns the seat that owns the slots of an instance, whatever the order of seats.
func Owner(seats []table.SeatID, id table.InstanceID) table.SeatID {
	return table.Owner(seats, string(id))
}
