package table

import (
	"maps"
	"slices"
)

// Go iterates over maps in random order, so code whose decisions depend on the order iterates by sorted ids.

// SortedWorkers returns the ids of all workers in ascending order.
func SortedWorkers(t *Tables) []WorkerID {
	return slices.Sorted(maps.Keys(t.Workers))
}

// SortedInstances returns the ids of all instances in ascending order.
func SortedInstances(t *Tables) []InstanceID {
	return slices.Sorted(maps.Keys(t.Instances))
}

// SortedJobs returns the ids of all jobs in ascending order.
func SortedJobs(t *Tables) []JobID {
	return slices.Sorted(maps.Keys(t.Jobs))
}

// SortedTasks returns the ids of all tasks in ascending order.
func SortedTasks(t *Tables) []TaskID {
	return slices.Sorted(maps.Keys(t.Tasks))
}
