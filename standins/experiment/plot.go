package experiment

import (
	"os"
	"path/filepath"

	"github.com/wcharczuk/go-chart/v2"
)

// WritePlots writes bar charts of p99 and batch work by variant, one SVG file for each size and metric.
func WritePlots(dir string, rows []Row) error {
	for _, size := range sizesOf(rows) {
		for name, of := range map[string]func(means) float64{
			"p99":  func(m means) float64 { return m.p99 },
			"work": func(m means) float64 { return m.work },
		} {
			if err := writeBars(filepath.Join(dir, size+"-"+name+".svg"), size+" "+name, bars(rows, size, of)); err != nil {
				return err
			}
		}
	}
	return nil
}

func bars(rows []Row, size string, of func(means) float64) []chart.Value {
	var values []chart.Value
	for _, v := range variantsOf(rows) {
		if y := of(meanOf(rows, size, v)); y > 0 {
			values = append(values, chart.Value{Label: v, Value: y})
		}
	}
	return values
}

func writeBars(path, title string, values []chart.Value) error {
	c := chart.BarChart{
		Title: title, Width: 1400, Height: 500, BarWidth: 60, Bars: values,
		Background: chart.Style{Padding: chart.Box{Top: 60, Bottom: 40}},
		YAxis:      chart.YAxis{Range: &chart.ContinuousRange{Min: 0, Max: highest(values) * 1.05}},
	}
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := c.Render(chart.SVG, f); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}

func highest(values []chart.Value) float64 {
	top := 0.0
	for _, v := range values {
		top = max(top, v.Value)
	}
	return top
}
