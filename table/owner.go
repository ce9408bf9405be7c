package table

import "github.com/cespare/xxhash/v2"

// Owner returns the seat that owns the entity with the given id by rendezvous hashing, or "" if seats is empty. The
// result does not depend on the order of seats.
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
	// xxhash.Digest writes never return an error.
	_, _ = d.WriteString(string(seat))
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(id)
	return d.Sum64()
}
