package interference

import "persimmonpick/table"

// Neighbour is the batch work of one kind on the worker of an instance.
type Neighbour struct {
	Kind   table.KindID
	Weight float64 // share of the worker's processors that its tasks may use, 0 to 1
}
