// Package dispatch runs the tasks of all jobs on the workers: a board decides what starts, stops and slows down where, and a dispatcher carries its orders out while this host leads.
package dispatch
