package route

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"persimmonpick/table"
)

// Guards against an instance that cannot be ejected because ejected ones that were replaced still count.
func TestReplacedInstancesDoNotCountAsEjected(t *testing.T) {
	is := is.New(t)
	view := func(ids ...table.InstanceID) []table.Instance {
		var list []table.Instance
		for _, id := range ids {
			list = append(list, table.Instance{ID: id, Service: svc})
		}
		return list
	}
	s := newService(&Config{EjectFloor: 0.5})
	s.update(view("i0", "i1", "i2", "i3"))
	for _, id := range []table.InstanceID{"i0", "i1", "i2"} {
		s.tryEject(s.state(id), time.Now())
	}
	is.Equal(s.ejectedCount, 2) // EjectFloor keeps i2
	s.update(view("i4", "i5", "i2", "i3"))
	is.Equal(s.ejectedCount, 0)
	s.tryEject(s.state("i2"), time.Now())
	is.True(s.state("i2").ejected)
}
