package burn

import (
	"html/template"
	"time"

	"persimmonpick/timeline"
)

// minBurnTop keeps the line at burn rate 1 visible.
const minBurnTop = 1.2

// plotBurn plots the burn rate of each bucket, with a dashed line at 1.
func plotBurn(k KindReport, from, to time.Time) (template.HTML, error) {
	limit := timeline.Line{Color: timeline.Neutral, Dashed: true, At: []time.Time{from, to}, Values: []float64{1, 1}}
	burn := line(k, timeline.Bad, func(p Point) float64 { return p.Burn })
	return plotOf(from, to, minBurnTop, limit, burn).SVG()
}

// plotRequests plots the good and bad requests of each bucket.
func plotRequests(k KindReport, from, to time.Time) (template.HTML, error) {
	good := line(k, timeline.Good, func(p Point) float64 { return float64(p.Good) })
	bad := line(k, timeline.Bad, func(p Point) float64 { return float64(p.Bad) })
	return plotOf(from, to, 1, good, bad).SVG()
}

func plotOf(from, to time.Time, leastTop float64, lines ...timeline.Line) timeline.Plot {
	return timeline.Plot{From: from, To: to, LeastTop: leastTop, TimeFormat: "15:04", Lines: lines}
}

func line(k KindReport, color timeline.Color, value func(Point) float64) timeline.Line {
	l := timeline.Line{Color: color}
	for _, p := range k.Points {
		l.At = append(l.At, p.At)
		l.Values = append(l.Values, value(p))
	}
	return l
}
