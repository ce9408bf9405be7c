// Package harness holds what the stand-ins share: a list of injectable faults with its HTTP interface, JSON helpers,
// and the command line and life cycle of their processes.
package harness
