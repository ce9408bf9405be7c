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

// maxInputBytes bounds what is read from a file or standard input.
const maxInputBytes = 16 << 20

func (p *program) confirm() *cli.Command {
	return &cli.Command{
		Name:        "confirm",
		Usage:       "put a plan in force",
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
			var made operator.Plan
			if err := answer.DecodeBytes(data, &made); err != nil {
				return err
			}
			return p.confirmPlan(c, made)
		},
	}
}

// readInput returns the content of a file, or of standard input for "-".
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

// planAndConfirm makes a plan, shows it and confirms it.
func (p *program) planAndConfirm(c *cli.Context, in journal.Intent) error {
	made, err := makePlan(c, in)
	if err != nil {
		return err
	}
	return p.confirmPlan(c, made)
}

// confirmPlan shows a plan and, once the operator agrees, sends it.
func (p *program) confirmPlan(c *cli.Context, made operator.Plan) error {
	if err := writePlanTable(p.env.Stderr, made); err != nil {
		return err
	}
	if err := p.askConfirmation(c, "confirm this plan"); err != nil {
		return err
	}
	client, err := newOperatorClient(c)
	if err != nil {
		return err
	}
	var done operator.Confirmed
	// The log knows the plan by its id, so a repeat at another entry host has no further effect.
	if err := client.doJSON(c.Context, http.MethodPost, "/v1/plans/confirm", idempotent, made, &done); err != nil {
		return err
	}
	return p.show(c, done, func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "plan %s confirmed at offset %d of the log, in force on %d of %d entry hosts\n", done.ID, done.Offset, done.InForce, done.Hosts)
		return err
	})
}

// askConfirmation returns an error unless the operator agrees or gave -yes.
func (p *program) askConfirmation(c *cli.Context, what string) error {
	if c.Bool(flagYes) {
		return nil
	}
	if !p.env.Terminal {
		return newUsageError("standard input is not a terminal; use -%s to %s", flagYes, what)
	}
	fmt.Fprintf(p.env.Stderr, "%s? [y/N] ", what)
	line, err := bufio.NewReader(p.env.Stdin).ReadString('\n')
	if err != nil && line == "" {
		return fault.New(fault.Internal, "no answer, nothing was changed")
	}
	if reply := strings.ToLower(strings.TrimSpace(line)); reply != "y" && reply != "yes" {
		return fault.New(fault.Internal, "not confirmed, nothing was changed")
	}
	return nil
}
