// Package ledger keeps the jobs of all entry hosts in one keyed topic of the platform's log: it reads and folds the topic, groups the appends of a host, and elects the leader that may write the progress of jobs.
package ledger
