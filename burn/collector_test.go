package burn

import (
	"os"
	"regexp"
	"testing"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"persimmonpick/table"
)

// Guards against alert rules in the operations manual that use a metric which is not exported.
func TestAlertRulesNameExportedMetrics(t *testing.T) {
	is := is.New(t)
	r := newTestRecorder("a")
	r.Observe("quote", "i1", "w1", 0, false, testStart)
	registry := prometheus.NewRegistry()
	registry.MustRegister(NewCollector(func() Report {
		return Build(Input{
			Now: testStart, Windows: testWindows, Snapshots: []Snapshot{r.Snapshot(testStart)},
			Objectives: map[table.KindID]table.Objective{"quote": testTarget},
		})
	}))
	families, err := registry.Gather()
	is.NoErr(err)
	exported := map[string]bool{}
	for _, f := range families {
		exported[f.GetName()] = true
	}
	is.Equal(len(exported), 4)
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	is.NoErr(err)
	named := regexp.MustCompile(`persimmonpick_\w+`).FindAllString(string(page), -1)
	is.True(len(named) >= 4)
	for _, name := range named {
		is.True(exported[name]) // name
	}
}
