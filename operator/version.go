package operator

import (
	"persimmonpick/journal"
	"persimmonpick/table"
)

// Version returns the offset of the last change of the entity that in names, its removal included, or 0 if it never existed.
func Version(t *table.Tables, in journal.Intent) table.Offset {
	return journal.EntityVersion(t, &in)
}
