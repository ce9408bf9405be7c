package journal

import (
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"persimmonpick/fault"
	"persimmonpick/table"
)

// Guards against a record that changes what a view copies and is not known to do so: hosts would serve by an old view.
func TestTouchesView(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := &model{t: table.New(), second: table.New(), seqs: map[table.Incarnation]uint64{}}
		for _, r := range opening() {
			m.send(rt, &Batch{Writer: "setup", Seq: m.next("setup"), Records: []Record{r}})
		}
		rt.Repeat(map[string]func(*rapid.T){
			"propose":  m.propose,
			"propose2": m.propose,
			"instance": m.instance,
			"":         m.checkView,
		})
	})
}

// instance adds, moves or removes an instance.
func (m *model) instance(rt *rapid.T) {
	id := table.InstanceID(pick(rt, "i", 3))
	r := Record{InstanceGone: &InstanceGone{ID: id}}
	if rapid.Bool().Draw(rt, "seen") {
		in := table.Instance{ID: id, Service: "quote", Worker: table.WorkerID(pick(rt, "w", 2)), Need: cpu(1)}
		in.Leaving = rapid.Bool().Draw(rt, "leaving")
		r = Record{InstanceSeen: &InstanceSeen{Instance: in}}
	}
	m.send(rt, &Batch{Writer: "setup", Seq: m.next("setup"), Records: []Record{r}})
}

func (m *model) checkView(rt *rapid.T) {
	last := m.log[len(m.log)-1]
	before := CloneTables(m.before)
	old := table.NewView(before)
	before.Applied--
	for i, k := range Apply(before, last.Offset, last.Batch) {
		if k == fault.None && last.Batch.Records[i].AffectsView() {
			return
		}
	}
	if v := table.NewView(m.t); !reflect.DeepEqual(old, v) {
		rt.Fatalf("batch %+v changed the view from %+v to %+v", last.Batch, old, v)
	}
}
