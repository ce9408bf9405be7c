package burn

import (
	"bytes"
	"time"

	"github.com/wcharczuk/go-chart/v2"
	"github.com/wcharczuk/go-chart/v2/drawing"
)

const (
	plotWidth  = 640
	plotHeight = 220
	minAxisMax = 1.2 // keeps the line at burn rate 1 visible
	axisMargin = 1.1
)

var (
	burnColor  = drawing.ColorFromHex("c0392b")
	goodColor  = drawing.ColorFromHex("2d7d46")
	limitColor = drawing.ColorFromHex("888888")
)

// plotBurn renders the burn rate of each bucket as SVG, with a dashed line at 1.
func plotBurn(k KindReport, from, to time.Time) ([]byte, error) {
	at, burn, top := series(k, func(p Point) float64 { return p.Burn })
	limit := chart.TimeSeries{
		Style:   chart.Style{StrokeColor: limitColor, StrokeWidth: 1, StrokeDashArray: []float64{4, 4}},
		XValues: []time.Time{from, to},
		YValues: []float64{1, 1},
	}
	return render(from, to, max(top, minAxisMax), []chart.Series{limit, line(burnColor, at, burn)})
}

// plotRequests renders the good and bad requests of each bucket as SVG.
func plotRequests(k KindReport, from, to time.Time) ([]byte, error) {
	at, good, topGood := series(k, func(p Point) float64 { return float64(p.Good) })
	_, bad, topBad := series(k, func(p Point) float64 { return float64(p.Bad) })
	return render(from, to, max(topGood, topBad, 1), []chart.Series{line(goodColor, at, good), line(burnColor, at, bad)})
}

func series(k KindReport, value func(Point) float64) (at []time.Time, values []float64, top float64) {
	for _, p := range k.Points {
		v := value(p)
		at = append(at, p.At)
		values = append(values, v)
		top = max(top, v)
	}
	if len(at) == 1 {
		// The chart library needs two points to draw a line.
		at = append(at, at[0].Add(time.Second))
		values = append(values, values[0])
	}
	return at, values, top
}

func line(color drawing.Color, at []time.Time, values []float64) chart.Series {
	return chart.TimeSeries{
		Style:   chart.Style{StrokeColor: color, StrokeWidth: 2, DotColor: color, DotWidth: 1.5},
		XValues: at,
		YValues: values,
	}
}

// render renders series as SVG. It must not draw entity names, because the chart library does not escape text.
func render(from, to time.Time, top float64, list []chart.Series) ([]byte, error) {
	c := chart.Chart{
		Width:  plotWidth,
		Height: plotHeight,
		XAxis: chart.XAxis{
			ValueFormatter: formatUTC,
			Range:          &chart.ContinuousRange{Min: chart.TimeToFloat64(from), Max: chart.TimeToFloat64(to)},
		},
		YAxis:  chart.YAxis{Range: &chart.ContinuousRange{Min: 0, Max: top * axisMargin}},
		Series: list,
	}
	var svg bytes.Buffer
	err := c.Render(chart.SVG, &svg)
	return svg.Bytes(), err
}

// formatUTC formats axis labels in UTC, as the rest of the page does; the chart library defaults to local time.
func formatUTC(v any) string {
	value, ok := v.(float64)
	if !ok {
		return ""
	}
	return chart.TimeFromFloat64(value).UTC().Format("15:04")
}
