package journal

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"persimmonpick/table"
)

// checkActive compares the index of unfinished tasks with a walk over all tasks.
func checkActive(t *rapid.T, tables *table.Tables) {
	if tables.Active == nil {
		return
	}
	n := 0
	for id, task := range tables.Tasks {
		if task.State.Final() {
			continue
		}
		n++
		if tables.Active[id] != task {
			t.Fatalf("task %s in state %s is not in the index", id, task.State)
		}
	}
	if n != len(tables.Active) {
		t.Fatalf("the index holds %d tasks, %d are not final", len(tables.Active), n)
	}
}

// Guards against an index that is made late and lacks tasks, or keeps final ones.
func TestIndexHoldsUnfinishedTasks(t *testing.T) {
	is := is.New(t)
	tables := table.New()
	tables.Tasks["a"] = &table.Task{ID: "a", State: table.TaskUnknown}
	tables.Tasks["b"] = &table.Task{ID: "b", State: table.TaskFinished}
	is.Equal(len(tables.Unfinished()), 2) // all tasks while nobody keeps the index
	tables.IndexUnfinished()
	is.Equal(len(tables.Unfinished()), 1)
	is.True(tables.Unfinished()["a"] != nil)
}
