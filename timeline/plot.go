package timeline

import (
	"bytes"
	"html/template"
	"time"

	"github.com/wcharczuk/go-chart/v2"
	"github.com/wcharczuk/go-chart/v2/drawing"

	"persimmonpick/fault"
)

const (
	plotWidth  = 640 // pixels
	plotHeight = 220 // pixels
	axisMargin = 1.1 // by which the value axis exceeds the highest value
)

// Color is the colour of a line, as six hexadecimal digits.
type Color string

// The colours of the pages.
const (
	Bad     Color = "c0392b"
	Good    Color = "2d7d46"
	Neutral Color = "888888"
	First   Color = "2c5f9e"
	Second  Color = "c78a1b"
)

// Line is a figure at several times, in order.
type Line struct {
	Color  Color
	Dashed bool
	At     []time.Time
	Values []float64
}

// Plot shows lines over the time from From to To.
//
// It draws no names, because the chart library does not escape text.
type Plot struct {
	From, To   time.Time
	LeastTop   float64 // the value axis reaches at least this value
	TimeFormat string  // of the labels of the time axis, which are in UTC
	Lines      []Line
}

// SVG renders the plot as an SVG element.
func (p Plot) SVG() (template.HTML, error) {
	top := p.LeastTop
	var list []chart.Series
	for _, l := range p.Lines {
		for _, v := range l.Values {
			top = max(top, v)
		}
		list = append(list, l.series())
	}
	c := chart.Chart{
		Width:  plotWidth,
		Height: plotHeight,
		XAxis: chart.XAxis{
			ValueFormatter: p.formatTime,
			Range:          &chart.ContinuousRange{Min: chart.TimeToFloat64(p.From), Max: chart.TimeToFloat64(p.To)},
		},
		YAxis:  chart.YAxis{Range: &chart.ContinuousRange{Min: 0, Max: top * axisMargin}},
		Series: list,
	}
	var svg bytes.Buffer
	if err := c.Render(chart.SVG, &svg); err != nil {
		return "", fault.Wrap(err, fault.Internal, "cannot render the plot")
	}
	return template.HTML(svg.String()), nil
}

func (l Line) series() chart.Series {
	color := drawing.ColorFromHex(string(l.Color))
	style := chart.Style{StrokeColor: color, StrokeWidth: 2, DotColor: color, DotWidth: 1.5}
	if l.Dashed {
		style = chart.Style{StrokeColor: color, StrokeWidth: 1, StrokeDashArray: []float64{4, 4}}
	}
	at, values := l.At, l.Values
	if len(at) == 1 {
		// The chart library needs two points to draw a line.
		at = append(at[:1:1], at[0].Add(time.Second))
		values = append(values[:1:1], values[0])
	}
	return chart.TimeSeries{Style: style, XValues: at, YValues: values}
}

// formatTime formats axis labels in UTC, as the rest of the pages does; the chart library defaults to local time.
func (p Plot) formatTime(v any) string {
	value, ok := v.(float64)
	if !ok {
		return ""
	}
	return chart.TimeFromFloat64(value).UTC().Format(p.TimeFormat)
}
