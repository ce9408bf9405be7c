package table

import (
	"maps"
	"slices"
)

// Map order is random in Go, so every system that decides something walks the tables in the order of ids.

// SortedWorkers returns the ids of all workers in order.
func SortedWorkers(t *Tables) []WorkerID {
	return slices.Sorted(maps.Keys(t.Workers))
}

// SortedInstances returns the ids of all instances in order.
func SortedInstances(t *Tables) []InstanceID {
	return slices.Sorted(maps.Keys(t.Instances))
}

// SortedJobs returns the ids of all jobs in order.
func SortedJobs(t *Tables) []JobID {
	return slices.Sorted(maps.Keys(t.Jobs))
}

// SortedTasks returns the ids of all tasks in order.
func SortedTasks(t *Tables) []TaskID {
	return slices.Sorted(maps.Keys(t.Tasks))
}
