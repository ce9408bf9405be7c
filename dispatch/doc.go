// Package dispatch assigns the tasks of all jobs to workers. The Scheduler decides which tasks to start, stop and
// throttle; the Dispatcher sends its orders while this host is the leader.
package dispatch
