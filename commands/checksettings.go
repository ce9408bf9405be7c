package commands

import (
	"fmt"

	"github.com/urfave/cli/v2"

	"persimmonpick/settings"
)

func (p *program) checkSettings() *cli.Command {
	return &cli.Command{
		Name:        "check-settings",
		Usage:       "check a settings file of persimmonpickd and report every error",
		ArgsUsage:   "FILE",
		Description: "Example: persimmonpick check-settings examples/vakaoti.json",
		Action: func(c *cli.Context) error {
			if err := requireArgs(c, 1); err != nil {
				return err
			}
			s, err := settings.Load(c.Args().First())
			if err != nil {
				return err
			}
			for _, warning := range s.Warnings() {
				fmt.Fprintf(p.env.Stdout, "warning: %s\n", warning)
			}
			fmt.Fprintf(p.env.Stdout, "seat %s of %d: no fault\n", s.Seat, len(s.Seats))
			return nil
		},
	}
}
