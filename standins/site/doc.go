// Package site starts the daemons and stand-ins as processes on loopback, for the demo and the scenarios.
package site
