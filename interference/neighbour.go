package interference

import "persimmonpick/table"

// Neighbour is batch work of one kind on the worker of an instance.
type Neighbour struct {
	Kind   table.KindID
	Weight float64 // number of tasks, each times the share of its processors that it may use
}
