package interference

import "persimmonpick/table"

// Neighbour is the batch work of one kind that shares a worker with an instance.
type Neighbour struct {
	Kind   table.KindID
	Weight float64 // share of the worker's processors that the tasks of the kind may use, 0 to 1
}
