package main

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"persimmonpick/platform/emulator"
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

// newCrashedJob returns a checker that knows of an accepted job whose first task ended with so many workers.
func newCrashedJob(id string, crashes int) *checker {
	c := newChecker()
	c.submitted(id, 2, http.StatusOK)
	for run := range crashes {
		c.runStarted("w0", id+".0.0.0", run+1)
		c.runEnded("w0", id+".0.0.0", run+1, emulator.Crashed)
	}
	return c
}

// Guards against failing a job for crashes that did not happen under one of its tasks, or taking it for lost else.
func TestJobMayFailOnlyAfterTwoWorkersCrashedUnderOneOfItsTasks(t *testing.T) {
	for crashes, violations := range []int{1, 1, 0, 0} {
		is := is.New(t)
		c := newCrashedJob("a", crashes)
		c.runStarted("w1", "a.0.1.0", 1)
		c.runEnded("w1", "a.0.1.0", 1, emulator.Crashed) // of another task
		c.runStarted("w1", "a.0.1.0", 2)
		c.runEnded("w1", "a.0.1.0", 2, "lapsed")
		c.observed("a", http.StatusOK, "failed")
		c.observed("a", http.StatusOK, "failed")
		c.finish()
		is.Equal(len(c.violations), violations)
		is.Equal(c.givenUp(), 1)
	}
}

// Guards against taking back that a job has failed.
func TestFailedJobIsNotCompletedLater(t *testing.T) {
	is := is.New(t)
	c := newCrashedJob("a", 2)
	c.runStarted("w0", "a.0.0.0", 3)
	c.runEnded("w0", "a.0.0.0", 3, "done")
	c.runStarted("w0", "a.0.1.0", 1)
	c.runEnded("w0", "a.0.1.0", 1, "done")
	c.observed("a", http.StatusOK, "failed")
	is.Equal(len(c.violations), 0)
	c.observed("a", http.StatusOK, "running") // of a host with an outdated view
	is.Equal(len(c.violations), 0)
	c.observed("a", http.StatusOK, "completed")
	is.Equal(len(c.violations), 1)
}

// newDeadlyJob returns a checker of a deadly job whose first task ended with so many workers; of its starts the first
// ones were answered.
func newDeadlyJob(crashes, answered int, disturbed bool) *checker {
	c := newChecker()
	c.submitted("deadly", 1, http.StatusOK)
	ended := func() {}
	if disturbed {
		ended = c.faultBegan("")
	}
	for run := range crashes {
		c.runStarted("w0", "deadly.0.0.0", run+1)
		if run < answered {
			c.startAnswered("w0", "z0", "deadly.0.0.0", run+1)
		}
		time.Sleep(10 * time.Millisecond)
		c.runEnded("w0", "deadly.0.0.0", run+1, emulator.Crashed)
		ended()
		time.Sleep(2 * keepTime)
	}
	return c
}

// Guards against starting a deadly task on and on.
func TestDeadlyTaskIsStartedAtMostTwiceAfterThreeCrashes(t *testing.T) {
	for _, c := range []struct {
		crashes, answered int
		disturbed         bool
		violations        int
	}{
		{5, 5, false, 0},
		{6, 6, false, 1},
		{6, 2, false, 1},
		{6, 1, false, 0}, // one known crash is not enough to give it up
		{6, 2, true, 0},  // nor if a fault kept a leader from learning of the other
		{8, 0, false, 0},
		{9, 0, false, 1}, // nobody can know, but there is a bound
	} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			got := newDeadlyJob(c.crashes, c.answered, c.disturbed).violations
			is.Equal(len(got), c.violations)
			for _, v := range got {
				is.True(strings.HasPrefix(v, string(overStarted)))
			}
		})
	}
	is.New(t).Equal(len(newCrashedJob("sound", 9).violations), 0)
}

// Guards against a deadly job that is never given up.
func TestDeadlyJobMustEnd(t *testing.T) {
	is := is.New(t)
	c := newCrashedJob("deadly", 3)
	c.observed("deadly", http.StatusOK, "running")
	c.finish()
	is.Equal(len(c.violations), 1)
}

func TestCheckerFindsStartsInAnEvacuatedZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newChecker()
		c.zoneEvacuated("z1")
		time.Sleep(emulator.EvacuationDelay)
		c.startAnswered("w1", "z1", "a.0.0.0", 1)
		time.Sleep(time.Millisecond)
		c.startAnswered("w0", "z0", "a.0.0.1", 1)
		ended := c.faultBegan("w4")
		c.startAnswered("w4", "z1", "a.0.0.2", 1) // may have been held up
		ended()
		is.Equal(len(c.violations), 0)
		c.startAnswered("w1", "z1", "a.0.0.3", 1)
		is.Equal(len(c.violations), 1)
		c.zoneTakenBack("z1")
		c.startAnswered("w1", "z1", "a.0.0.4", 1)
		is.Equal(len(c.violations), 1)
	})
}
