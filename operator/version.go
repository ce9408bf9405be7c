package operator

import (
	"persimmonpick/journal"
	"persimmonpick/table"
)

// Version returns the log offset of the last change, including removal, of the entity that in refers to, or 0 if it
// never existed.
func Version(t *table.Tables, in journal.Intent) table.Offset {
	return journal.EntityVersion(t, &in)
}
