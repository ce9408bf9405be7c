package commands

import (
	"encoding/json"

	"github.com/urfave/cli/v2"

	"persimmonpick/fault"
)

func (p *program) submit() *cli.Command {
	return &cli.Command{
		Name:        "submit",
		Usage:       "submit a job from a JSON file, as a caller does",
		ArgsUsage:   "FILE, or - for standard input",
		Description: "Example: persimmonpick submit -callers http://192.0.2.1:8080 -token-file depot.token job.json",
		Flags:       callerFlags(),
		Action: func(c *cli.Context) error {
			if err := requireArgs(c, 1); err != nil {
				return err
			}
			body, err := p.readInput(c.Args().First())
			if err != nil {
				return err
			}
			if !json.Valid(body) {
				return fault.New(fault.Invalid, "the job is not valid JSON")
			}
			return p.callAsCaller(c, "/v1/jobs", "application/json", body)
		},
	}
}
