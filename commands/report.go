package commands

import (
	"os"

	"github.com/urfave/cli/v2"

	"persimmonpick/burn"
	"persimmonpick/fault"
)

func (p *program) report() *cli.Command {
	return &cli.Command{
		Name:        "report",
		Usage:       "show burn rates of the error budgets and what spent them",
		Description: "Example: persimmonpick report -html report.html",
		Flags:       []cli.Flag{&cli.StringFlag{Name: "html", Usage: "also write an HTML page with plots to this file"}},
		Action: func(c *cli.Context) error {
			if err := requireArgs(c, 0); err != nil {
				return err
			}
			var r burn.Report
			if err := fetch(c, "/v1/report", &r); err != nil {
				return err
			}
			if name := c.String("html"); name != "" {
				if err := writeHTMLFile(name, r); err != nil {
					return err
				}
			}
			return p.show(c, r, r.WriteText)
		},
	}
}

func writeHTMLFile(name string, r burn.Report) error {
	file, err := os.Create(name)
	if err != nil {
		return fault.Wrap(err, fault.Internal, "write the page")
	}
	err = r.WriteHTML(file)
	if closeErr := file.Close(); err == nil && closeErr != nil {
		err = fault.Wrap(closeErr, fault.Internal, "write the page")
	}
	return err
}
