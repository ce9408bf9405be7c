// Package oncall summarizes the logs of entry hosts: which deferred jobs were late and what they waited for, how long
// nobody led, and why runs were stopped. On-call uses it to find what a busy hour cost, and where to look next.
package oncall
