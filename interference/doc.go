// Package interference learns how much a kind of batch work slows a latency-critical service on the same worker.
package interference
