package commands

import (
	"io"
	"os"

	"github.com/urfave/cli/v2"

	"persimmonpick/fault"
	"persimmonpick/oncall"
)

func (p *program) review() *cli.Command {
	return &cli.Command{
		Name:        "review",
		Usage:       "summarize the logs of entry hosts: late jobs, changes of the leader, stopped runs",
		ArgsUsage:   "LOG...",
		Description: "Example: persimmonpick review -html review.html host-1.log host-2.log; - reads the standard input",
		Flags:       []cli.Flag{htmlFlag},
		Action: func(c *cli.Context) error {
			if c.NArg() == 0 {
				return newUsageError("name the log files to review")
			}
			var sources []io.Reader
			for _, name := range c.Args().Slice() {
				if name == "-" {
					sources = append(sources, p.env.Stdin)
					continue
				}
				file, err := os.Open(name)
				if err != nil {
					return fault.Wrap(err, fault.Invalid, "cannot open the log")
				}
				defer file.Close()
				sources = append(sources, file)
			}
			r, err := oncall.Read(sources...)
			if err != nil {
				return err
			}
			if err := writePage(c, r.WriteHTML); err != nil {
				return err
			}
			return p.show(c, r, r.WriteText)
		},
	}
}
