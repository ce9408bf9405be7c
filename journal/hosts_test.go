package journal

import (
	"testing"

	"github.com/matryer/is"

	"persimmonpick/table"
)

// Guards against a seat that loses its Displaced mark too early: a process that takes over from a crashed one may leave
// again before the crashed one is known to have stopped.
func TestDisplacedUntilSettled(t *testing.T) {
	is := is.New(t)
	tables := table.New()
	off := table.Offset(0)
	apply := func(r Record) {
		off++
		Apply(tables, off, &Batch{Writer: "w", Seq: uint64(off), Records: []Record{r}})
	}
	join := func(inc table.Incarnation) { apply(Record{HostJoined: &HostJoined{Seat: "s", Incarnation: inc}}) }
	leave := func(inc table.Incarnation, settled bool) {
		apply(Record{HostLeft: &HostLeft{Seat: "s", Incarnation: inc, Settled: settled}})
	}
	join("p1")
	is.True(!tables.Hosts["s"].Displaced)
	join("p2") // p1 never left
	is.True(tables.Hosts["s"].Displaced)
	leave("p2", false)
	join("p3")
	is.True(tables.Hosts["s"].Displaced)
	leave("p3", true)
	join("p4")
	is.True(!tables.Hosts["s"].Displaced)
}
