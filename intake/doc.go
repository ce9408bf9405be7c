// Package intake decides what callers of the job queues are answered.
package intake
