// Package scenario holds scripted scenarios that run the daemons as processes and inject failures.
package scenario
