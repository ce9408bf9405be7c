// Package backend is a test stand-in for a backend server. It counts slots, connections and runs, reports violations of
// its limits, and injects faults such as truncated or wrong responses on request.
package backend
