// Package backend is a stand-in for a backend server in tests: it counts slots, connections and runs, and gives wrong answers on demand.
package backend
