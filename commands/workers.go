package commands

import (
	"fmt"
	"io"
	"strings"

	"github.com/urfave/cli/v2"

	"persimmonpick/operator"
)

func (p *program) workers() *cli.Command {
	return &cli.Command{
		Name:        "workers",
		Usage:       "list workers, ordered by id",
		Description: "Example: persimmonpick workers -rack r3",
		Flags: append(
			pageFlags(),
			&cli.StringFlag{Name: "rack", Usage: "workers of this rack"},
			&cli.StringFlag{Name: "zone", Usage: "workers of this availability zone"},
		),
		Action: func(c *cli.Context) error {
			if err := requireArgs(c, 0); err != nil {
				return err
			}
			var page operator.WorkerPage
			path := "/v1/workers?" + pageQuery(c, map[string]string{"rack": "Rack", "zone": "Zone"})
			if err := fetch(c, path, &page); err != nil {
				return err
			}
			return p.show(c, page, func(w io.Writer) error { return writeWorkers(w, page) })
		},
	}
}

func writeWorkers(w io.Writer, page operator.WorkerPage) error {
	g := newGrid(w, "WORKER", "RACK", "ZONE", "STATE", "TASKS", "INSTANCES", "USED", "CAPACITY")
	for _, row := range page.Workers {
		g.row(row.ID, row.Rack, row.Zone, workerState(row), row.Tasks, row.Instances, formatResources(row.Used), formatResources(row.Capacity))
	}
	if page.Next != "" {
		fmt.Fprintf(g.w, "more follow; continue with -after %s\n", page.Next)
	}
	return g.w.Flush()
}

func workerState(row operator.WorkerRow) string {
	if row.Open {
		return "open"
	}
	flags := []struct {
		name string
		set  bool
	}{
		{"gone", row.Gone},
		{"leaving", row.Leaving},
		{"drained", row.Drained},
		{"quarantined", row.Quarantined},
	}
	var set []string
	for _, f := range flags {
		if f.set {
			set = append(set, f.name)
		}
	}
	return strings.Join(set, ", ")
}
