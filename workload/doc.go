// Package workload describes jobs made of steps, the progress of their tasks, and how both are encoded in the log.
package workload
