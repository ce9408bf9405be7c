package dispatch

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// tailAt returns the tail latency at the given load, as a share of the target.
func tailAt(load float64) float64 {
	const unloaded = 1 / 4.5 // of the target
	return unloaded / max(0.01, 1-load)
}

// Guards against attributing interference to the wrong image: four tasks of one step, whose user load swings, run
// beside two images of which only one interferes.
func TestFilterSeparatesImages(t *testing.T) {
	for _, swing := range []float64{0, 0.5, 0.9} {
		is := is.New(t)
		rnd := rand.New(rand.NewPCG(1, 2))
		i := newInterferenceModel()
		var l load
		began := time.Unix(0, 0)
		for n := range 80 { // ten seconds at two polls a second for each task
			now := began.Add(time.Duration(n) * 125 * time.Millisecond)
			users := 0.42 * (1 + swing*math.Sin(2*math.Pi*now.Sub(began).Seconds()/10))
			x := map[string]float64{}
			if rnd.IntN(2) == 0 {
				x["heavy"] = 0.1 * rnd.Float64()
			}
			if rnd.IntN(2) == 0 {
				x["light"] = 0.4 * rnd.Float64()
			}
			noise := 0.9 + 0.2*rnd.Float64()
			i.update(&l, x, "serve", noise*tailAt(users+3*x["heavy"]), now)
		}
		heavy, light := i.coefficient("heavy", "serve"), i.coefficient("light", "serve")
		t.Logf("swing %v: heavy %.2f (true value 3), light %.2f (true value 0)", swing, heavy, light)
		is.True(heavy > 2)
		is.True(light < 0.5)
	}
}

func TestCoefficientsAreRestored(t *testing.T) {
	is := is.New(t)
	before := newInterferenceModel()
	now := time.Unix(0, 0)
	var l load
	for range 200 {
		now = now.Add(50 * time.Millisecond)
		before.update(&l, map[string]float64{"heavy": 0.1}, "serve", tailAt(0.75), now)
	}
	data, err := before.encode()
	is.NoErr(err)
	after := newInterferenceModel()
	is.NoErr(after.restore(data))
	is.Equal(after.coefficient("heavy", "serve"), before.coefficient("heavy", "serve"))
	is.True(after.restore([]byte("no record")) != nil)
}
