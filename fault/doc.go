// Package fault defines the closed list of error kinds and the error response for each of them.
package fault
