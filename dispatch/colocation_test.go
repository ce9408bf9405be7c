package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestUnbearableImageHoldsUpNoOther plays an image that no worker bears in front of one that all of them bear.
func TestUnbearableImageHoldsUpNoOther(t *testing.T) {
	is := is.New(t)
	r := newRig()
	r.list("a")
	serve := step(1)
	serve.Endless, serve.Image, serve.LatencyTarget = true, "serve", 18
	r.submit("s", serve)
	r.start()
	s := r.images.of("serve")
	s.add("heavy")
	s.add("light")
	s.mean[s.index["heavy"]], s.mean[s.index["light"]] = 20, 0
	fill := step(1)
	fill.Fills, fill.Image, fill.Estimate = true, "heavy", 100
	r.submit("h", fill)
	fill.Image, fill.Estimate = "light", 1000
	r.submit("l", fill)
	r.now = r.now.Add(time.Millisecond)
	orders := r.start()
	is.Equal(len(orders), 1)
	is.Equal(orders[0].Task.Job, key("l", 0, 0).Job)
}
