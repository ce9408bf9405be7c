// Package harness is what the stand-ins share: a list of faults to inject and the frame of their mains.
package harness
