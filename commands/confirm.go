package commands

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"

	"github.com/urfave/cli/v2"

	"persimmonpick/answer"
	"persimmonpick/fault"
	"persimmonpick/journal"
	"persimmonpick/operator"
)

// maxInputBytes limits what is read from a file or standard input.
const maxInputBytes = 16 << 20

func (p *program) confirm() *cli.Command {
	return &cli.Command{
		Name:        "confirm",
		Usage:       "confirm a plan, which puts it in force",
		ArgsUsage:   "FILE, or - for standard input, which needs -yes",
		Description: "Example: persimmonpick plan limit MaxInFlight 800 | persimmonpick confirm -yes -",
		Flags:       []cli.Flag{yesFlag()},
		Action: func(c *cli.Context) error {
			if err := requireArgs(c, 1); err != nil {
				return err
			}
			name := c.Args().First()
			if name == "-" && !c.Bool(flagYes) {
				return newUsageError("a plan from standard input needs -yes")
			}
			data, err := p.readInput(name)
			if err != nil {
				return err
			}
			var plan operator.Plan
			if err := answer.DecodeBytes(data, &plan); err != nil {
				return err
			}
			return p.confirmPlan(c, plan)
		},
	}
}

// readInput reads the named file, or standard input if name is "-".
func (p *program) readInput(name string) ([]byte, error) {
	source := p.env.Stdin
	if name != "-" {
		file, err := os.Open(name)
		if err != nil {
			return nil, fault.Wrap(err, fault.Invalid, "open the file")
		}
		defer file.Close()
		source = file
	}
	data, err := io.ReadAll(io.LimitReader(source, maxInputBytes+1))
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "read %s", name)
	}
	if len(data) > maxInputBytes {
		return nil, fault.New(fault.TooLarge, "%s is larger than %d bytes", name, maxInputBytes)
	}
	return data, nil
}

// planAndConfirm makes a plan for in, shows it and confirms it once the operator agrees.
func (p *program) planAndConfirm(c *cli.Context, in journal.Intent) error {
	plan, err := makePlan(c, in)
	if err != nil {
		return err
	}
	return p.confirmPlan(c, plan)
}

// confirmPlan shows a plan and, once the operator agrees, sends its confirmation.
func (p *program) confirmPlan(c *cli.Context, plan operator.Plan) error {
	if err := writePlanTable(p.env.Stderr, plan); err != nil {
		return err
	}
	if err := p.askConfirmation(c, "confirm this plan"); err != nil {
		return err
	}
	client, err := newOperatorClient(c)
	if err != nil {
		return err
	}
	var confirmed operator.Confirmed
	// The log identifies the plan by its id, so a retry at another entry host has no further effect.
	if err := client.doJSON(c.Context, http.MethodPost, "/v1/plans/confirm", idempotent, plan, &confirmed); err != nil {
		return err
	}
	return p.show(c, confirmed, func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "plan %s confirmed at offset %d of the log, in force on %d of %d entry hosts\n", confirmed.ID, confirmed.Offset, confirmed.InForce, confirmed.Hosts)
		return err
	})
}

// askConfirmation prompts the operator to confirm an action and returns an error unless the operator agrees or gave
// -yes.
func (p *program) askConfirmation(c *cli.Context, action string) error {
	if c.Bool(flagYes) {
		return nil
	}
	if !p.env.Terminal {
		return newUsageError("standard input is not a terminal; use -%s to %s", flagYes, action)
	}
	fmt.Fprintf(p.env.Stderr, "%s? [y/N] ", action)
	line, err := bufio.NewReader(p.env.Stdin).ReadString('\n')
	if err != nil && line == "" {
		return fault.New(fault.Internal, "no answer, nothing was changed")
	}
	if reply := strings.ToLower(strings.TrimSpace(line)); reply != "y" && reply != "yes" {
		return fault.New(fault.Internal, "not confirmed, nothing was changed")
	}
	return nil
}
