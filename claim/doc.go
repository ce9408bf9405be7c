// Package claim runs requests with an idempotency key at most once across all entry hosts. The key is claimed
// in the log before the first byte of the request is sent; a repeat gets the recorded response.
package claim
