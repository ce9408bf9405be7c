// Package journal holds the records of the log, the fold that turns them into tables, snapshots, and the writer and reader of the log.
package journal
