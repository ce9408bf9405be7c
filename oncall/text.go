package oncall

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"
)

// useInterval is the time between the rows on the use of the workers.
const useInterval = 5 * time.Second

// WriteText writes the review as tables.
func (r Review) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	p := func(format string, args ...any) { _, _ = fmt.Fprintf(t, format, args...) } // Flush returns the error
	p("QUEUE\tOUTCOME\tJOBS\tAFTER\tOBJECTIVE\tWAITED\tFAILURES\tMOVES\tRERUNS\n")
	for _, name := range slices.Sorted(maps.Keys(r.Queues)) {
		q := r.Queues[name]
		for _, row := range outcomeRows(name, q) {
			p("%s\t%s\t%d\t%v\t%v\t%v\t%.2f\t%.2f\t%.2f\n", row.Queue, row.Outcome, row.Jobs, row.After, row.Objective, row.Waited,
				row.Failures, row.Moves, row.Reruns)
		}
		p("%s\tfailed\t%d\n%s\tcancelled\t%d\n", name, q.Failed, name, q.Cancelled)
	}
	p("\nLEADER FROM\tEPOCH\tVACANT BEFORE\tPLANNED\n")
	for _, c := range r.Changes {
		p("%s\t%s\t%v\t%v\n", c.At.Format(time.TimeOnly+".000"), c.Epoch, c.Vacant.Round(10*time.Millisecond), c.Planned)
	}
	p("\nSTOPPED OR LOGGED\tTIMES\n")
	for _, row := range r.countRows() {
		p("%s\t%d\n", row.Name, row.Times)
	}
	p("\nPROCESSORS AT\tCAPACITY\tRESERVED\tBEST EFFORT\tWAITING BEST EFFORT\tWAITING OTHERS\n")
	var last time.Time
	for _, u := range r.Uses {
		if u.At.Sub(last) < useInterval {
			continue
		}
		last = u.At
		p("%s\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\n", u.At.Format(time.TimeOnly), u.Capacity, u.Reserved, u.BestEffort, u.WaitingBestEffort, u.WaitingOthers)
	}
	return t.Flush()
}
