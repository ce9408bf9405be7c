// Package interference estimates how much each kind of batch work slows a latency-critical service on the same
// worker.
//
// Model holds the interference coefficients and updates them from the latency reports of instances. History
// keeps what ran on each worker, so that a report that arrives late is matched with the neighbours at the time
// it was taken.
package interference
