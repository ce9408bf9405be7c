// Command standin plays the cases of an independent review. It stands in for the platform's store, the workers and the
// callers, and starts the entry hosts as separate processes on loopback.
package main
