package timeline

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The chart library cannot draw a line of one point, and draws no axis for equal ends.
func TestPlotsOfFewPoints(t *testing.T) {
	at := time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)
	for _, n := range []int{1, 2} {
		is := is.New(t)
		l := Line{Color: Good}
		for i := range n {
			l.At = append(l.At, at.Add(time.Duration(i)*time.Second))
			l.Values = append(l.Values, 0)
		}
		svg, err := Plot{From: at, To: at.Add(time.Minute), LeastTop: 1, TimeFormat: time.TimeOnly, Lines: []Line{l}}.SVG()
		is.NoErr(err)
		is.True(strings.Contains(string(svg), "10:00:00"))
		is.True(!strings.Contains(string(svg), "NaN"))
		is.Equal(len(l.At), n)
	}
}

// The value axis reaches the highest value, and LeastTop if that is higher.
func TestTopOfTheValueAxis(t *testing.T) {
	at := time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)
	for _, least := range []float64{1, 400} {
		is := is.New(t)
		l := Line{Color: Bad, At: []time.Time{at, at.Add(time.Second)}, Values: []float64{3, 200}}
		svg, err := Plot{From: at, To: at.Add(time.Minute), LeastTop: least, TimeFormat: "15:04", Lines: []Line{l}}.SVG()
		is.NoErr(err)
		is.True(strings.Contains(string(svg), map[float64]string{1: "220.00", 400: "440.00"}[least]))
	}
}
