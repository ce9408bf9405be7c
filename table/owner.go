package table

import "github.com/cespare/xxhash/v2"

// Owner returns the seat that owns the entity with the given id, by rendezvous hashing, or "" without seats; the order of seats does not matter.
func Owner(seats []SeatID, id string) SeatID {
	var owner SeatID
	var best uint64
	for _, seat := range seats {
		weight := rendezvousWeight(seat, id)
		if owner == "" || weight > best || (weight == best && seat < owner) {
			owner = seat
			best = weight
		}
	}
	return owner
}

func rendezvousWeight(seat SeatID, id string) uint64 {
	d := xxhash.New()
	// Writes to a digest never fail.
	_, _ = d.WriteString(string(seat))
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(id)
	return d.Sum64()
}
