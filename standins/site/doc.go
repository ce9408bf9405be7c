// Package site runs the daemons and stand-ins as processes on loopback, for the demo and the scenario tests.
package site
