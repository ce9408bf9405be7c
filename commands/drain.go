package commands

import (
	"github.com/urfave/cli/v2"

	"persimmonpick/journal"
)

func (p *program) drain() *cli.Command {
	return &cli.Command{
		Name:        "drain",
		Usage:       "take a rack, or a worker with -worker, out of use: make a plan, show it and confirm it",
		ArgsUsage:   "ID",
		Description: "Example: persimmonpick drain r3",
		Flags:       append(drainFlags(), yesFlag()),
		Action: func(c *cli.Context) error {
			in, err := drainIntent(journal.SetDrain)(c)
			if err != nil {
				return err
			}
			return p.planAndConfirm(c, in)
		},
	}
}
