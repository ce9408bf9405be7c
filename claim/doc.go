// Package claim makes requests with an idempotency key run at most once over all entry hosts, by claiming the key in the log before the first byte is sent.
package claim
