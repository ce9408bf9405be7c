package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"persimmonpick/provider"
	"persimmonpick/queue"
	"persimmonpick/settings"
	"persimmonpick/table"
)

// Guards against tasks that stay on a drained or leaving worker until it is shut down, and against revoking a
// lease twice.
func TestVacate(t *testing.T) {
	is := is.New(t)
	tables := table.New()
	for _, w := range []*table.Worker{{ID: "drained", Rack: "r1"}, {ID: "leaving", Leaving: true}, {ID: "open"}, {ID: "gone", Gone: true, Leaving: true}} {
		tables.Workers[w.ID] = w
		for _, state := range []table.TaskState{table.TaskStarted, table.TaskRevoking} {
			id := table.TaskID(string(w.ID) + "/" + string(state))
			tables.Jobs[table.JobID(id)] = &table.Job{ID: table.JobID(id)}
			tables.Tasks[id] = &table.Task{ID: id, Job: table.JobID(id), State: state, Lease: table.Lease{Worker: w.ID, Token: 7}}
		}
	}
	d := &table.Drain{Rack: "r1"}
	tables.Drains[d.Name()] = d
	reasons := map[table.TaskID]string{}
	for _, r := range Vacate(tables, queue.NewScan(tables)) {
		reasons[r.LeaseRevoked.Task] = r.LeaseRevoked.Reason
	}
	is.Equal(reasons, map[table.TaskID]string{"drained/Started": ReasonDrained, "leaving/Started": ReasonLeaving})
}

// Guards against state of workers and instances that is retained after they were replaced, so that memory grows
// without bound.
func TestControllerPrunesReplaced(t *testing.T) {
	is := is.New(t)
	tables := table.New()
	tables.Workers["w"] = &table.Worker{ID: "w"}
	tables.Instances["i"] = &table.Instance{ID: "i", Worker: "w"}
	s := NewController(settings.Policy{}, "a", func(table.ServiceID) time.Duration { return 0 })
	now := time.Now()
	s.RecordNeighbours(tables, queue.NewScan(tables), now)
	s.ObserveReport(tables, now, &provider.Report{Worker: "w", Taken: now, Instances: []provider.InstanceUsage{{Instance: "i", P99: time.Second}}})
	_, known := s.History.At("w", now)
	is.True(known)
	is.Equal(len(s.readings), 1)
	delete(tables.Workers, "w")
	delete(tables.Instances, "i")
	s.RecordNeighbours(tables, queue.NewScan(tables), now)
	_, known = s.History.At("w", now)
	is.True(!known)
	is.Equal(len(s.readings), 0)
}
