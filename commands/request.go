package commands

import (
	"net/url"

	"github.com/urfave/cli/v2"
)

func (p *program) request() *cli.Command {
	return &cli.Command{
		Name:        "request",
		Usage:       "send a request of a kind, as a caller does, and write its response",
		ArgsUsage:   "KIND FILE, or - for standard input",
		Description: "Example: persimmonpick request -callers http://192.0.2.1:8080 quote quote.json",
		Flags: append(
			callerFlags(),
			&cli.StringFlag{Name: "type", Usage: "content type of the body", Value: "application/json"},
		),
		Action: func(c *cli.Context) error {
			if err := requireArgs(c, 2); err != nil {
				return err
			}
			body, err := p.readInput(c.Args().Get(1))
			if err != nil {
				return err
			}
			path := "/v1/requests/" + url.PathEscape(c.Args().First())
			return p.callAsCaller(c, path, c.String("type"), body)
		},
	}
}
