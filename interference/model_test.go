package interference

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"persimmonpick/table"
)

var start = time.Unix(1_800_000_000, 0)

const lag = 40 * time.Second

// size is the share of its worker that each task has.
const size = 0.25

// truth is the log slowdown per task of each kind.
var truth = map[table.KindID]float64{"loud": 0.4, "mild": 0.1, "quiet": 0}

// learn runs one worker whose neighbours change every 30 s and whose reports arrive late; at picks the time that a report is attributed to.
func learn(at func(taken, arrived time.Time) time.Time) *Model {
	rnd := rand.New(rand.NewPCG(1, 2))
	m, h := NewModel(Config{}), NewHistory(5*time.Minute)
	kinds := []table.KindID{"loud", "mild", "quiet"}
	p99 := map[int]time.Duration{}
	for sec := range 4 * 3600 {
		now := start.Add(time.Duration(sec) * time.Second)
		if sec%30 == 0 {
			var ns []Neighbour
			for _, k := range kinds {
				if n := rnd.IntN(3); n > 0 {
					ns = append(ns, Neighbour{k, size * float64(n)})
				}
			}
			h.Record(now, "w", ns)
		}
		ns, _ := h.At("w", now)
		y := math.Log(0.1) + 0.3*rnd.NormFloat64()
		for _, n := range ns {
			y += n.Weight / size * truth[n.Kind]
		}
		p99[sec] = time.Duration(math.Exp(y) * float64(time.Second))
		taken := now.Add(-lag)
		old, ok := h.At("w", at(taken, now))
		if sec%10 == 0 && ok && p99[sec-int(lag.Seconds())] > 0 {
			m.Observe(Sample{Taken: taken, Service: "s", Load: 0.6, P99: p99[sec-int(lag.Seconds())], Neighbours: old})
		}
	}
	return m
}

// Guards against reports being blamed on what runs when they arrive instead of when they were taken.
func TestLateReportsConverge(t *testing.T) {
	is := is.New(t)
	taken := learn(func(taken, _ time.Time) time.Time { return taken })
	arrived := learn(func(_, arrived time.Time) time.Time { return arrived })
	for k, want := range truth {
		slow, sure := taken.Estimate("s", []Neighbour{{k, size}}, 0.6)
		is.True(math.Abs(math.Log(slow)-want) < 0.06)
		is.True(sure > 0.9)
	}
	slow, _ := arrived.Estimate("s", []Neighbour{{"loud", size}}, 0.6)
	is.True(math.Log(slow) < truth["loud"]/2) // the wrong attribution misses most of it
}

// Guards against one wild report, estimates that never fade, and memory that grows with the number of kinds.
func TestShrinkageAndMemory(t *testing.T) {
	is := is.New(t)
	m := NewModel(Config{MaxKinds: 10})
	for range 50 {
		m.Observe(Sample{Taken: start, Service: "s", P99: 100 * time.Millisecond})
	}
	loud := []Neighbour{{"loud", size}}
	m.Observe(Sample{Taken: start, Service: "s", P99: 100 * time.Second, Neighbours: loud})
	slow, sure := m.Estimate("s", loud, 0)
	is.True(slow < 2)
	is.True(sure < 0.5)
	for i := range 100 {
		k := table.KindID(fmt.Sprintf("k%d", i))
		m.Observe(Sample{Taken: start.Add(time.Hour), Service: "s", P99: time.Second, Neighbours: []Neighbour{{k, size}}})
	}
	is.Equal(len(m.blocks[blockKey{"s", 0}].kinds), 10)
}

// Guards against a history that grows, or that answers for times it has forgotten.
func TestHistory(t *testing.T) {
	is := is.New(t)
	h := NewHistory(time.Minute)
	for i := range 1000 {
		h.Record(start.Add(time.Duration(i)*time.Second), "w", []Neighbour{{"k", float64(i)}})
	}
	now := start.Add(999 * time.Second)
	is.True(len(h.workers["w"]) <= 62)
	ns, ok := h.At("w", now.Add(-30*time.Second))
	is.True(ok)
	is.Equal(ns[0].Weight, 969.0)
	_, ok = h.At("w", start)
	is.True(!ok)
	is.True(!h.Unchanged("w", now.Add(-2*time.Second), now))
}
