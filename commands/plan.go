package commands

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"

	"github.com/urfave/cli/v2"

	"persimmonpick/fault"
	"persimmonpick/journal"
	"persimmonpick/operator"
	"persimmonpick/table"
)

func (p *program) plan() *cli.Command {
	return &cli.Command{
		Name:        "plan",
		Usage:       "show the effects of a change as a plan; nothing changes before the plan is confirmed",
		Description: "Example: persimmonpick plan limit -out limit.json MaxInFlight 800 && persimmonpick confirm limit.json",
		Subcommands: []*cli.Command{
			p.planCommand("kind", "admit, change or remove a kind of request or job", "KIND", "plan kind -class LatencyCritical -service quote -path /quote -target 0.999 -latency 200ms quote", kindFlags(), kindIntent),
			p.planCommand("team", "set or remove a team and its quota", "TEAM", "plan team -cpu 400 -memory 1500 -weight 2 depot", teamFlags(), teamIntent),
			p.planCommand("limit", "set a limit", "LIMIT VALUE", "plan limit MaxInFlight 800", nil, limitIntent),
			p.planCommand("drain", "take a rack, or a worker with -worker, out of use", "ID", "plan drain r3", drainFlags(), drainIntent(journal.SetDrain)),
			p.planCommand("undrain", "end a drain", "ID", "plan undrain r3", drainFlags(), drainIntent(journal.RemoveDrain)),
			p.planCommand("resolve", "set the outcome of a task in state Unknown", "TASK Rerun|Finished|Failed|Cancelled", "plan resolve cut-1207/0 Finished", nil, resolveIntent),
		},
	}
}

// intentReader builds an intent from flags and arguments.
type intentReader func(c *cli.Context) (journal.Intent, error)

func (p *program) planCommand(name, use, args, example string, flags []cli.Flag, read intentReader) *cli.Command {
	return &cli.Command{
		Name:        name,
		Usage:       use,
		ArgsUsage:   args,
		Description: "Example: persimmonpick " + example,
		Flags:       append(flags, &cli.StringFlag{Name: "out", Usage: "write the plan to this file and show it; by default the plan is written to standard output as JSON"}),
		Action: func(c *cli.Context) error {
			in, err := read(c)
			if err != nil {
				return err
			}
			plan, err := makePlan(c, in)
			if err != nil {
				return err
			}
			return p.writePlan(c, plan)
		},
	}
}

func makePlan(c *cli.Context, in journal.Intent) (operator.Plan, error) {
	var plan operator.Plan
	client, err := newOperatorClient(c)
	if err != nil {
		return plan, err
	}
	return plan, client.doJSON(c.Context, http.MethodPost, "/v1/plans", readOnly, in, &plan)
}

func (p *program) writePlan(c *cli.Context, plan operator.Plan) error {
	name := c.String("out")
	if name == "" {
		return writeJSON(p.env.Stdout, plan)
	}
	file, err := os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return fault.Wrap(err, fault.Internal, "write the plan")
	}
	err = writeJSON(file, plan)
	if closeErr := file.Close(); err == nil && closeErr != nil {
		err = fault.Wrap(closeErr, fault.Internal, "write the plan")
	}
	if err != nil {
		return err
	}
	return p.show(c, plan, func(w io.Writer) error { return writePlanTable(w, plan) })
}

func writePlanTable(w io.Writer, plan operator.Plan) error {
	fmt.Fprintf(w, "plan %s: %s, based on offset %d\n", plan.ID, plan.Intent.Type, plan.Base)
	if len(plan.Changes) > 0 {
		g := newGrid(w, "FIELD", "BEFORE", "AFTER")
		for _, change := range plan.Changes {
			g.row(change.Field, change.Before, change.After)
		}
		if err := g.w.Flush(); err != nil {
			return err
		}
	}
	for _, effect := range plan.Effects {
		fmt.Fprintf(w, "* %s\n", effect)
	}
	return nil
}

func limitIntent(c *cli.Context) (journal.Intent, error) {
	if err := requireArgs(c, 2); err != nil {
		return journal.Intent{}, err
	}
	value, err := strconv.ParseInt(c.Args().Get(1), 10, 64)
	if err != nil {
		return journal.Intent{}, newUsageError("the value must be a number, not %q", c.Args().Get(1))
	}
	l := &table.Limit{ID: table.LimitID(c.Args().First()), Value: value}
	return journal.Intent{Type: journal.SetLimit, Limit: l}, nil
}

func drainFlags() []cli.Flag {
	return []cli.Flag{&cli.BoolFlag{Name: "worker", Usage: "ID is that of a worker instead of a rack"}}
}

func drainIntent(change journal.IntentType) intentReader {
	return func(c *cli.Context) (journal.Intent, error) {
		if err := requireArgs(c, 1); err != nil {
			return journal.Intent{}, err
		}
		d := &table.Drain{Rack: table.RackID(c.Args().First())}
		if c.Bool("worker") {
			d = &table.Drain{Worker: table.WorkerID(c.Args().First())}
		}
		return journal.Intent{Type: change, Drain: d}, nil
	}
}
