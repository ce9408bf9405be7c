package oncall

import (
	"maps"
	"slices"
	"time"
)

// outcomeRow describes the jobs of one queue and outcome; all but Jobs are means of one job.
type outcomeRow struct {
	Queue, Outcome           string
	Jobs                     int
	After, Objective, Waited time.Duration
	Failures, Moves, Reruns  float64
}

// outcomeRows returns the rows of a queue.
func outcomeRows(queue string, q *Queue) []outcomeRow {
	var rows []outcomeRow
	for _, o := range []struct {
		name string
		Outcome
	}{{"on time", q.OnTime}, {"late", q.Late}, {"too late", q.TooLate}} {
		n := max(1, o.Jobs)
		mean := func(d time.Duration) time.Duration { return (d / time.Duration(n)).Round(10 * time.Millisecond) }
		rows = append(rows, outcomeRow{
			Queue: queue, Outcome: o.name, Jobs: o.Jobs, After: mean(o.After), Objective: mean(o.Objective), Waited: mean(o.Waited),
			Failures: float64(o.Failures) / float64(n), Moves: float64(o.Moves) / float64(n), Reruns: float64(o.Reruns) / float64(n),
		})
	}
	return rows
}

// countRow is one reason or message with its number.
type countRow struct {
	Name  string
	Times int
}

// countRows returns the stopped runs by reason, then the counted messages.
func (r Review) countRows() []countRow {
	var rows []countRow
	for _, counts := range []map[string]int{r.Stops, r.Messages} {
		for _, name := range slices.Sorted(maps.Keys(counts)) {
			rows = append(rows, countRow{name, counts[name]})
		}
	}
	return rows
}
