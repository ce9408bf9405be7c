package journal

import (
	"persimmonpick/fault"
	"persimmonpick/table"
)

// Result holds the outcome of each record of a proposal after its batch was applied.
type Result struct {
	Offset table.Offset
	Kinds  []fault.Kind // one per record
}

// First returns the first kind of r that is not fault.None.
func (r Result) First() fault.Kind {
	for _, k := range r.Kinds {
		if k != fault.None {
			return k
		}
	}
	return fault.None
}
