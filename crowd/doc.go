// Package crowd tests the daemon as a process against clients that keep to no limit.
package crowd
