// Package workload describes jobs and their steps, the progress of their tasks, and the log records of both.
package workload
