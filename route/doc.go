// Package route forwards requests whose callers wait for the response. It chooses an instance, sends the
// request within its deadline and verifies that the response is complete.
package route
