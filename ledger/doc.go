// Package ledger stores the jobs of all entry hosts in one keyed topic of the platform's log. It reads the
// topic into a view, batches the appends of a host, and elects the leader, which alone may write the progress
// of jobs.
package ledger
