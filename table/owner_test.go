package table

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
)

// Guards against an owner that depends on the order of the seats, an entity that moves between two remaining seats when
// another one leaves, and an uneven distribution of entities over the seats.
func TestOwner(t *testing.T) {
	is := is.New(t)
	is.Equal(Owner(nil, "w"), SeatID(""))
	seats := []SeatID{"a", "b", "c", "d", "e", "f", "g", "h", "i"}
	reversed := slices.Clone(seats)
	slices.Reverse(reversed)
	owned := map[SeatID]int{}
	for i := range 2600 {
		id := fmt.Sprintf("worker-%05d", i)
		owner := Owner(seats, id)
		owned[owner]++
		is.Equal(Owner(reversed, id), owner)
		if owner != "i" {
			is.Equal(Owner(seats[:8], id), owner)
		}
	}
	for _, seat := range seats {
		is.True(owned[seat] > 2600/9*3/4)
		is.True(owned[seat] < 2600/9*5/4)
	}
}
