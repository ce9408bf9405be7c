package oncall

import (
	_ "embed" // for the page template
	"html/template"
	"io"
	"maps"
	"slices"
	"time"

	"persimmonpick/timeline"
)

//go:embed page.html
var pageSource string

var pageTemplate = template.Must(template.New("page").Parse(pageSource))

type page struct {
	Review
	Rows     []outcomeRow
	Counts   []countRow
	JobPlot  template.HTML
	UsePlot  template.HTML
	WaitPlot template.HTML
}

// WriteHTML writes the review as a self-contained HTML page without scripts.
func (r Review) WriteHTML(w io.Writer) error {
	p := page{Review: r, Counts: r.countRows()}
	for _, name := range slices.Sorted(maps.Keys(r.Queues)) {
		p.Rows = append(p.Rows, outcomeRows(name, r.Queues[name])...)
	}
	for _, plot := range []struct {
		to   *template.HTML
		plot timeline.Plot
	}{{&p.JobPlot, r.jobPlot()}, {&p.UsePlot, r.usePlot()}, {&p.WaitPlot, r.waitPlot()}} {
		if len(plot.plot.Lines) == 0 {
			continue
		}
		svg, err := plot.plot.SVG()
		if err != nil {
			return err
		}
		*plot.to = svg
	}
	return pageTemplate.Execute(w, p)
}

// jobPlot plots the jobs that became final, by outcome.
func (r Review) jobPlot() timeline.Plot {
	line := func(color timeline.Color, value func(Ends) int) timeline.Line {
		l := timeline.Line{Color: color}
		for _, e := range r.Ends {
			l.At = append(l.At, e.At)
			l.Values = append(l.Values, float64(value(e)))
		}
		return l
	}
	return plotOf(
		line(timeline.Good, func(e Ends) int { return e.OnTime }),
		line(timeline.Second, func(e Ends) int { return e.Late }),
		line(timeline.Bad, func(e Ends) int { return e.TooLate + e.Failed }))
}

// usePlot plots the processors in use.
func (r Review) usePlot() timeline.Plot {
	capacity := r.useLine(timeline.Neutral, func(u Use) float64 { return u.Capacity })
	capacity.Dashed = true
	return plotOf(capacity,
		r.useLine(timeline.First, func(u Use) float64 { return u.Reserved }),
		r.useLine(timeline.Good, func(u Use) float64 { return u.BestEffort }))
}

// waitPlot plots the processors that waiting tasks need.
func (r Review) waitPlot() timeline.Plot {
	return plotOf(
		r.useLine(timeline.Good, func(u Use) float64 { return u.WaitingBestEffort }),
		r.useLine(timeline.First, func(u Use) float64 { return u.WaitingOthers }))
}

// useLine returns a line over all uses.
func (r Review) useLine(color timeline.Color, value func(Use) float64) timeline.Line {
	l := timeline.Line{Color: color}
	for _, u := range r.Uses {
		l.At = append(l.At, u.At)
		l.Values = append(l.Values, value(u))
	}
	return l
}

// plotOf returns a plot of lines that share their times; it has no lines if there are no times.
func plotOf(lines ...timeline.Line) timeline.Plot {
	at := lines[0].At
	if len(at) == 0 {
		return timeline.Plot{}
	}
	to := at[len(at)-1].Add(time.Second)
	return timeline.Plot{From: at[0], To: to, LeastTop: 1, TimeFormat: time.TimeOnly, Lines: lines}
}
