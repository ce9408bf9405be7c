package commands

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/urfave/cli/v2"

	"persimmonpick/journal"
	"persimmonpick/operator"
	"persimmonpick/table"
)

const flagYes = "yes"

func yesFlag() cli.Flag {
	return &cli.BoolFlag{Name: flagYes, Usage: "do not ask for confirmation"}
}

func (p *program) jobs() *cli.Command {
	return &cli.Command{
		Name:        "jobs",
		Usage:       "list, show and cancel jobs, and resolve tasks in state Unknown",
		Description: "Example: persimmonpick jobs list -team depot -state Pending",
		Subcommands: []*cli.Command{p.jobsList(), p.jobsShow(), p.jobsCancel(), p.jobsResolve()},
	}
}

func (p *program) jobsList() *cli.Command {
	return &cli.Command{
		Name:        "list",
		Usage:       "list jobs, ordered by id",
		Description: "Example: persimmonpick jobs list -team depot -state Unknown -limit 50",
		Flags: append(
			pageFlags(),
			&cli.StringFlag{Name: "team", Usage: "jobs of this team"},
			&cli.StringFlag{Name: "state", Usage: "jobs in this state, such as Pending"},
			&cli.StringFlag{Name: "kind", Usage: "jobs of this kind"},
		),
		Action: func(c *cli.Context) error {
			if err := requireArgs(c, 0); err != nil {
				return err
			}
			var page operator.JobPage
			path := "/v1/jobs?" + pageQuery(c, map[string]string{"team": "Team", "state": "State", "kind": "Kind"})
			if err := fetch(c, path, &page); err != nil {
				return err
			}
			return p.show(c, page, func(w io.Writer) error { return writeJobs(w, page) })
		},
	}
}

func pageFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "after", Usage: "start after this id"},
		&cli.IntFlag{Name: "limit", Usage: "maximum number of lines, up to 1000", Value: 100},
	}
}

// pageQuery builds the query of a list request; names maps flags to query parameters.
func pageQuery(c *cli.Context, names map[string]string) string {
	q := url.Values{"Limit": {strconv.Itoa(c.Int("limit"))}}
	if after := c.String("after"); after != "" {
		q.Set("After", after)
	}
	for flag, parameter := range names {
		if value := c.String(flag); value != "" {
			q.Set(parameter, value)
		}
	}
	return q.Encode()
}

func writeJobs(w io.Writer, page operator.JobPage) error {
	g := newGrid(w, "JOB", "TEAM", "KIND", "STATE", "URGENT", "NON-IDEMPOTENT", "OPEN TASKS", "SUBMITTED")
	for _, j := range page.Jobs {
		g.row(j.ID, j.Team, j.Kind, j.State, yesNo(j.Urgent), yesNo(j.NonIdempotent), fmt.Sprintf("%d of %d", j.Open, j.Tasks), formatTime(j.Submitted))
	}
	if page.Next != "" {
		fmt.Fprintf(g.w, "more follow; continue with -after %s\n", page.Next)
	}
	return g.w.Flush()
}

func (p *program) jobsShow() *cli.Command {
	return &cli.Command{
		Name:        "show",
		Usage:       "show one job and its tasks",
		ArgsUsage:   "JOB",
		Description: "Example: persimmonpick jobs show cut-1207",
		Action: func(c *cli.Context) error {
			if err := requireArgs(c, 1); err != nil {
				return err
			}
			var d operator.JobDetail
			if err := fetch(c, jobPath(c.Args().First()), &d); err != nil {
				return err
			}
			return p.show(c, d, func(w io.Writer) error { return writeJob(w, d) })
		},
	}
}

func jobPath(id string) string {
	return "/v1/jobs/" + url.PathEscape(id)
}

func writeJob(w io.Writer, d operator.JobDetail) error {
	if err := writeJobs(w, operator.JobPage{Jobs: []operator.JobRow{d.JobRow}}); err != nil {
		return err
	}
	fmt.Fprintf(w, "each task declares %s and %d ms\n", formatResources(d.Need), d.RunTime)
	if d.Waits != "" {
		fmt.Fprintf(w, "it can run nowhere: %s\n", d.Waits)
	}
	g := newGrid(w, "TASK", "STATE", "WORKER", "TOKEN", "FAILURES", "EVICTIONS", "REASON")
	for _, t := range d.TaskRows {
		g.row(t.ID, t.State, t.Worker, t.Token, t.Attempts, t.Evictions, t.Reason)
	}
	return g.w.Flush()
}

func (p *program) jobsCancel() *cli.Command {
	return &cli.Command{
		Name:        "cancel",
		Usage:       "cancel a job and stop its running tasks",
		ArgsUsage:   "JOB",
		Description: "Example: persimmonpick jobs cancel -yes cut-1207",
		Flags:       []cli.Flag{yesFlag()},
		Action: func(c *cli.Context) error {
			if err := requireArgs(c, 1); err != nil {
				return err
			}
			client, err := newOperatorClient(c)
			if err != nil {
				return err
			}
			id := c.Args().First()
			if err := p.askConfirmation(c, "cancel job "+id); err != nil {
				return err
			}
			var cancelled operator.Cancelled
			if err := client.doJSON(c.Context, http.MethodDelete, jobPath(id), nonIdempotent, nil, &cancelled); err != nil {
				return err
			}
			return p.show(c, cancelled, func(w io.Writer) error {
				_, err := fmt.Fprintf(w, "job %s cancelled at offset %d of the log\n", cancelled.Job, cancelled.Offset)
				return err
			})
		},
	}
}

func (p *program) jobsResolve() *cli.Command {
	return &cli.Command{
		Name:        "resolve",
		Usage:       "set the outcome of a task in state Unknown: make a plan, show it and confirm it",
		ArgsUsage:   "TASK Rerun|Finished|Failed|Cancelled",
		Description: "Example: persimmonpick jobs resolve cut-1207/0 Finished",
		Flags:       []cli.Flag{yesFlag()},
		Action: func(c *cli.Context) error {
			in, err := resolveIntent(c)
			if err != nil {
				return err
			}
			return p.planAndConfirm(c, in)
		},
	}
}

func resolveIntent(c *cli.Context) (journal.Intent, error) {
	if err := requireArgs(c, 2); err != nil {
		return journal.Intent{}, err
	}
	return journal.Intent{
		Type:    journal.ResolveTask,
		Task:    table.TaskID(c.Args().Get(0)),
		Outcome: c.Args().Get(1),
	}, nil
}
