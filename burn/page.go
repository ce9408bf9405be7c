package burn

import (
	_ "embed" // for the page template
	"html/template"
	"io"
	"time"

	"persimmonpick/fault"
)

// maxPlots limits the size of the page; further kinds appear in the table only.
const maxPlots = 30

//go:embed page.html
var pageSource string

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"percent": func(share float64) float64 { return 100 * share },
}).Parse(pageSource))

type plotted struct {
	KindReport
	Burn     template.HTML
	Requests template.HTML
}

type page struct {
	Report
	Plots []plotted
	Lists []spenderList
}

type spenderList struct {
	Title    string
	Spenders []Spender
}

// WriteHTML writes r as a self-contained HTML page without scripts.
func (r Report) WriteHTML(w io.Writer) error {
	p := page{Report: r, Lists: []spenderList{
		{"kind", r.TopKinds},
		{"instance", r.TopInstances},
		{"worker", r.TopWorkers},
	}}
	for _, k := range r.Kinds {
		if len(k.Points) == 0 || len(p.Plots) == maxPlots {
			continue
		}
		plots, err := r.plot(k)
		if err != nil {
			return fault.Wrap(err, fault.Internal, "plot of kind %s", k.Kind)
		}
		p.Plots = append(p.Plots, plots)
	}
	return pageTemplate.Execute(w, p)
}

func (r Report) plot(k KindReport) (plotted, error) {
	long, err := time.ParseDuration(r.Long)
	if err != nil {
		return plotted{}, err
	}
	from := r.Taken.Add(-long)
	burn, err := plotBurn(k, from, r.Taken)
	if err != nil {
		return plotted{}, err
	}
	requests, err := plotRequests(k, from, r.Taken)
	if err != nil {
		return plotted{}, err
	}
	return plotted{k, burn, requests}, nil
}
