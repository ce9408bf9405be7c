package share

import (
	"github.com/cespare/xxhash/v2"

	"persimmonpick/table"
)

// Owner returns the seat that owns the slots of an instance, by rendezvous hashing; the order of seats does not matter.
func Owner(seats []table.SeatID, id table.InstanceID) table.SeatID {
	var owner table.SeatID
	var best uint64
	for _, seat := range seats {
		weight := rendezvous(seat, id)
		if owner == "" || weight > best || (weight == best && seat < owner) {
			owner = seat
			best = weight
		}
	}
	return owner
}

func rendezvous(seat table.SeatID, id table.InstanceID) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(string(seat))
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(id))
	return d.Sum64()
}
