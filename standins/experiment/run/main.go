// Command run simulates all variants of the experiment and writes the results as CSV, Markdown and plots.
package main

import (
	"log/slog"
	"os"

	"github.com/urfave/cli/v2"

	"persimmonpick/standins/experiment"
)

func main() {
	app := &cli.App{
		Name:  "experiment",
		Usage: "compare the placement policy with baselines",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "out", Value: "out", Usage: "directory for the results"},
			&cli.IntFlag{Name: "seeds", Value: 10, Usage: "number of seeds"},
			&cli.BoolFlag{Name: "ablations", Value: true, Usage: "also run the policy with each feature disabled in turn"},
			&cli.IntFlag{Name: "parallel", Value: 4, Usage: "number of simulations to run at once"},
		},
		Action: run,
	}
	if err := app.Run(os.Args); err != nil {
		slog.Error("experiment failed", "error", err)
		os.Exit(1)
	}
}

func run(c *cli.Context) error {
	dir := c.String("out")
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	sizes := []experiment.Size{experiment.Vakaoti(), experiment.SwanCoastal()}
	rows := experiment.RunAll(sizes, experiment.Variants(c.Bool("ablations")), c.Int("seeds"), c.Int("parallel"))
	for _, write := range []func(string, []experiment.Row) error{
		experiment.WriteCSV, experiment.WriteMarkdown, experiment.WritePlots,
	} {
		if err := write(dir, rows); err != nil {
			return err
		}
	}
	return nil
}
