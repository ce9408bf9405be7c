package commands

import (
	"io"
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
		Flags:       []cli.Flag{htmlFlag},
		Action: func(c *cli.Context) error {
			if err := requireArgs(c, 0); err != nil {
				return err
			}
			var r burn.Report
			if err := fetch(c, "/v1/report", &r); err != nil {
				return err
			}
			if err := writePage(c, r.WriteHTML); err != nil {
				return err
			}
			return p.show(c, r, r.WriteText)
		},
	}
}

// htmlFlag names the file of writePage.
var htmlFlag = &cli.StringFlag{Name: "html", Usage: "also write an HTML page with plots to this file"}

// writePage writes a page to the file that htmlFlag names, if any.
func writePage(c *cli.Context, write func(io.Writer) error) error {
	name := c.String(htmlFlag.Name)
	if name == "" {
		return nil
	}
	file, err := os.Create(name)
	if err != nil {
		return fault.Wrap(err, fault.Internal, "write the page")
	}
	err = write(file)
	if closeErr := file.Close(); err == nil && closeErr != nil {
		err = fault.Wrap(closeErr, fault.Internal, "write the page")
	}
	return err
}
