package fleet

import (
	"os"
	"regexp"
	"testing"
	"time"

	"github.com/matryer/is"

	"persimmonpick/dispatch"
	"persimmonpick/fault"
	"persimmonpick/ingress"
	"persimmonpick/table"
)

// Guards against metrics that are missing from docs/platform.md, and against documented metrics that do not exist.
func TestMetricsAreDocumented(t *testing.T) {
	is := is.New(t)
	m := newMetrics()
	m.observeAnswer("POST", fault.None, time.Millisecond)
	m.observeWorkerCall("Look", time.Millisecond)
	m.addCounts(dispatch.Counts{Starts: 2})
	m.setZoneTasks(map[table.ZoneID]int{"a": 2})
	m.refused.Count(ingress.Slow)
	families, err := m.registry.Gather()
	is.NoErr(err)
	page, err := os.ReadFile("../docs/platform.md")
	is.NoErr(err)
	named := map[string]bool{}
	for _, name := range regexp.MustCompile(`persimmonpick_\w+`).FindAllString(string(page), -1) {
		named[name] = true
	}
	is.Equal(len(families), len(named))
	for _, f := range families {
		is.True(named[f.GetName()])
	}
}
