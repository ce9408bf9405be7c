// Package fleet assembles an entry host that takes jobs into the platform's log and, while it leads, dispatches their tasks to the workers.
package fleet
