// Package journal defines the records of the replicated log and applies them to the tables that every entry host holds.
//
// A Writer batches proposed records and appends them to the log. A Reader loads a snapshot and then follows the log.
// Apply is deterministic, so that all hosts reach the same tables from the same entries.
package journal
