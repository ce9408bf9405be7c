// Package fleet assembles an entry host, which appends submitted jobs to the platform's log and, while it leads,
// dispatches their tasks to the workers.
package fleet
