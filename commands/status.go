package commands

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/urfave/cli/v2"

	"persimmonpick/operator"
)

func (p *program) status() *cli.Command {
	return &cli.Command{
		Name:        "status",
		Usage:       "show entry hosts, work, workers and configuration",
		Description: "Example: persimmonpick -operators https://192.0.2.1:7443 status",
		Action: func(c *cli.Context) error {
			if err := requireArgs(c, 0); err != nil {
				return err
			}
			s, err := readStatus(c)
			if err != nil {
				return err
			}
			return p.show(c, s, func(w io.Writer) error { return writeStatus(w, s) })
		},
	}
}

func readStatus(c *cli.Context) (operator.Status, error) {
	var s operator.Status
	err := fetch(c, "/v1/status", &s)
	return s, err
}

func writeStatus(w io.Writer, s operator.Status) error {
	g := newGrid(w, "SEAT", "ZONE", "STATE", "PROPOSES", "APPLIED", "HEARD", "IN FLIGHT", "INCARNATION")
	for _, h := range s.Hosts {
		g.row(h.Seat, h.Zone, h.State, yesNo(h.Proposer), h.Applied, fmt.Sprintf("%d ms ago", h.HeardMillis), h.InFlight, h.Incarnation)
	}
	g.row()
	counts := s.Workers
	fmt.Fprintf(g.w, "log applied to %d, last configuration change at %d\n", s.Applied, s.ConfigSeen)
	fmt.Fprintf(g.w, "workers: %d listed, %d open, %d leaving, %d drained, %d quarantined; instances: %d\n",
		counts.Listed, counts.Open, counts.Leaving, counts.Drained, counts.Quarantined, s.Instances)
	fmt.Fprintf(g.w, "open workers: %s used of %s\n", formatResources(counts.Used), formatResources(counts.Capacity))
	fmt.Fprintf(g.w, "jobs: %s\n", stateCounts(s.Jobs))
	fmt.Fprintf(g.w, "tasks: %s\n", stateCounts(s.Tasks))
	for _, d := range s.Drains {
		fmt.Fprintf(g.w, "drained: %s\n", d)
	}
	for _, l := range s.Limits {
		fmt.Fprintf(g.w, "limit: %s = %d\n", l.ID, l.Value)
	}
	writeConfiguration(g, s)
	for _, u := range s.Unknown {
		fmt.Fprintf(g.w, "needs a decision: task %s of job %s, team %s: %s\n", u.Task, u.Job, u.Team, u.Reason)
	}
	if s.MoreUnknown {
		fmt.Fprintln(g.w, "more tasks need a decision; list them with: jobs list -state Unknown")
	}
	return g.w.Flush()
}

func writeConfiguration(g *grid, s operator.Status) {
	if len(s.Kinds) > 0 {
		g.row()
		g.row("KIND", "CLASS", "SERVICE", "NON-IDEMPOTENT", "TARGET", "LATENCY")
	}
	for _, k := range s.Kinds {
		g.row(k.ID, k.Class, k.Service, yesNo(k.NonIdempotent), k.Objective.Target, fmt.Sprintf("%d ms", k.Objective.Latency))
	}
	if len(s.Teams) > 0 {
		g.row()
		g.row("TEAM", "WEIGHT", "MAX JOBS", "QUOTA")
	}
	for _, team := range s.Teams {
		g.row(team.ID, team.Weight, team.MaxJobs, formatResources(team.Quota))
	}
}

func stateCounts(m map[string]int) string {
	if len(m) == 0 {
		return "none"
	}
	var parts []string
	for _, state := range slices.Sorted(maps.Keys(m)) {
		parts = append(parts, fmt.Sprintf("%d %s", m[state], state))
	}
	return strings.Join(parts, ", ")
}
