package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"persimmonpick/triage"
	"persimmonpick/workload"
)

// endSteps submits and ends jobs whose single task of one declared second takes the given time.
func (r *rig) endSteps(n int, took time.Duration) {
	for i := range n {
		id := string(rune('a'+i%26)) + string(rune('a'+i/26))
		r.submit(id, step(1))
		r.placeAndStart()
		r.now = r.now.Add(took - 2*time.Millisecond - pollPause)
		r.answerPolls(map[string]PollReply{"w": {Ended: []TaskResult{{Number: ResultNumber(i + 1), Task: key(id, 0, 0), Run: 1}}}})
	}
}

// Jobs of a queue whose steps last longer than declared are still on time when their declared objective has passed.
func TestObjectiveFollowsObservedDurations(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.addWorkers("w")
	s := step(2)
	r.submit("j", s)
	g := r.jobs["j"].groups[0][0]
	at := r.now.Add(2500 * time.Millisecond) // of an objective of twice one second and one more
	is.Equal(r.outlook(g, at), triage.Late)
	r.placeAndStart()
	r.endSteps(60, 1500*time.Millisecond)
	ratio := r.durationRatios.of("q")
	is.True(ratio > 1.45 && ratio < 1.55)
	r.submit("k", s)
	g = r.jobs["k"].groups[0][0]
	is.Equal(r.outlook(g, r.now.Add(2500*time.Millisecond)), triage.OnTime) // 1.35 s needed, 1.5 s left
}

func TestDurationRatiosAreHandedOver(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.durationRatios["q"] = 1.4
	rec, err := r.durationRatios.record()
	is.NoErr(err)
	next := newRig()
	next.RestoreHandover(map[string][]byte{handoverDurations: rec.Value}, next.now)
	is.Equal(next.durationRatios.of("q"), 1.4)
	next.RestoreHandover(map[string][]byte{handoverDurations: []byte("damaged")}, next.now)
	is.Equal(next.durationRatios.of("q"), 1.4)
	is.Equal(next.durationRatios.of(workload.QueueID("other")), 1.0)
}
