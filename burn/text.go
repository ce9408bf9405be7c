package burn

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// WriteText writes r as aligned text tables.
func (r Report) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "Report of %s, windows %s and %s\n", r.Taken.UTC().Format("2006-01-02 15:04:05 MST"), r.Short, r.Long)
	fmt.Fprintln(t, r.Completeness())
	for _, f := range r.Faults {
		fmt.Fprintf(t, "not counted: %s\n", f)
	}
	fmt.Fprintln(t, "\nKIND\tTARGET\tLATENCY\tGOOD\tBAD\tBURN "+r.Short+"\tBURN "+r.Long+"\tBUDGET LEFT\tP50 MS\tP99 MS\tP99.9 MS")
	for _, k := range r.Kinds {
		fmt.Fprintf(t, "%s\t%s\t%d ms\t%d\t%d\t%.2f\t%.2f\t%.1f%%\t%.1f\t%.1f\t%.1f\n",
			k.Kind, k.target(), k.Objective.Latency, k.Long.Good, k.Long.Bad,
			k.Short.Burn, k.Long.Burn, 100*k.BudgetLeft, k.P50Millis, k.P99Millis, k.P999Millis)
	}
	writeSpenders(t, "KIND", r.TopKinds)
	writeSpenders(t, "INSTANCE", r.TopInstances)
	writeSpenders(t, "WORKER", r.TopWorkers)
	fmt.Fprintln(t, "\nENTRY HOST\tINCARNATION\tAGE")
	for _, h := range r.Hosts {
		fmt.Fprintf(t, "%s\t%s\t%d ms\n", h.Seat, h.Incarnation, h.AgeMillis)
	}
	return t.Flush()
}

// Completeness returns a sentence that says how many entry hosts the report covers and which are missing.
func (r Report) Completeness() string {
	text := fmt.Sprintf("counts of %d of %d entry hosts", r.Heard, r.Want)
	if len(r.Missing) == 0 {
		return text
	}
	names := make([]string, len(r.Missing))
	for i, seat := range r.Missing {
		names[i] = string(seat)
	}
	return text + ", missing: " + strings.Join(names, ", ")
}

func (k KindReport) target() string {
	if k.Objective.Target <= 0 {
		return "none"
	}
	return fmt.Sprintf("%g%%", 100*k.Objective.Target)
}

func writeSpenders(w io.Writer, title string, list []Spender) {
	if len(list) == 0 {
		return
	}
	fmt.Fprintf(w, "\nBUDGET SPENT BY %s\tBAD\tGOOD\tSHARE\n", title)
	for _, s := range list {
		fmt.Fprintf(w, "%s\t%d\t%d\t%.1f%%\n", s.Name, s.Bad, s.Good, 100*s.Share)
	}
}
