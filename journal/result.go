package journal

import (
	"persimmonpick/fault"
	"persimmonpick/table"
)

// Result says what became of the records of one proposal once their batch was folded.
type Result struct {
	Offset table.Offset
	Kinds  []fault.Kind // one for each record
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
