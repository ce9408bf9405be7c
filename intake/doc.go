// Package intake accepts jobs for the queues and answers queries about them, from the log or through another host.
package intake
