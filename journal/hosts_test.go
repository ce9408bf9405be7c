package journal

import (
	"testing"

	"github.com/matryer/is"

	"persimmonpick/table"
)

// Guards against a seat whose crashed process is forgotten when the next one leaves before the crashed one has certainly stopped.
func TestDisplacedUntilSettled(t *testing.T) {
	is := is.New(t)
	tables := table.New()
	off := table.Offset(0)
	fold := func(r Record) {
		off++
		Apply(tables, off, &Batch{Writer: "w", Seq: uint64(off), Records: []Record{r}})
	}
	join := func(inc table.Incarnation) { fold(Record{HostJoined: &HostJoined{Seat: "s", Incarnation: inc}}) }
	leave := func(inc table.Incarnation, settled bool) {
		fold(Record{HostLeft: &HostLeft{Seat: "s", Incarnation: inc, Settled: settled}})
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
