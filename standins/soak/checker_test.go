package main

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// Guards against taking a job for lost whose cancellation took effect without a response.
func TestJobOfAnUnansweredCancellationMayBeCancelled(t *testing.T) {
	is := is.New(t)
	c := newChecker()
	for _, id := range []string{"unanswered", "unasked", "running"} {
		c.submitted(id, 1, http.StatusOK)
	}
	c.cancelUnanswered("unanswered")
	c.cancelUnanswered("running")
	c.observed("unanswered", http.StatusOK, "cancelled")
	c.observed("unasked", http.StatusOK, "cancelled")
	c.observed("running", http.StatusOK, "running")
	c.finish()
	is.Equal(len(c.violations), 2) // nobody asked to cancel one, and the other did not end
}
