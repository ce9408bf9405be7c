// Package entry implements an entry host: the control loop that owns the scheduler's state, the agent that manages
// leases on workers, and the listeners for callers, operators and peers.
package entry
