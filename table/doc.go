// Package table defines the entities of the scheduler, their ids and units, and the in-memory state (Tables) that an
// entry host builds from the log.
package table
