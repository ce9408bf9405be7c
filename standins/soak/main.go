package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/urfave/cli/v2"
)

func main() {
	app := &cli.App{
		Name: "soak", Usage: "run entry hosts under random faults and check what callers and workers see",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "start with `SEED`"},
			&cli.IntFlag{Name: "runs", Value: 1, Usage: "run `N` consecutive seeds"},
			&cli.DurationFlag{Name: "length", Value: 20 * time.Second, Usage: "inject faults for `TIME`"},
			&cli.IntFlag{Name: "hosts", Value: 3, Usage: "run `N` entry hosts"},
			&cli.IntFlag{Name: "workers", Value: 6, Usage: "emulate `N` workers"},
			&cli.IntFlag{Name: "callers", Value: 4, Usage: "run `N` callers"},
			&cli.StringFlag{Name: "keep", Usage: "keep settings and logs in `DIR`"},
			&cli.BoolFlag{Name: "evacuate", Usage: "have availability zones evacuated"},
			&cli.BoolFlag{Name: "verbose", Usage: "print each fault"},
		},
		Action: soak,
	}
	if err := app.Run(os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
}

// build builds persimmonpickd in dir and returns the path of the binary.
func build(dir string) (string, error) {
	binary := filepath.Join(dir, "persimmonpickd")
	cmd := exec.Command("go", "build", "-o", binary, "persimmonpick/cmd/persimmonpickd")
	cmd.Stdout, cmd.Stderr = os.Stdout, os.Stderr
	return binary, cmd.Run()
}

func soak(c *cli.Context) error {
	dir := c.String("keep")
	if dir == "" {
		tmp, err := os.MkdirTemp("", "soak")
		if err != nil {
			return err
		}
		defer os.RemoveAll(tmp)
		dir = tmp
	}
	binary, err := build(dir)
	if err != nil {
		return err
	}
	logf := func(string, ...any) {}
	if c.Bool("verbose") {
		logf = printTo(os.Stdout)
	}
	violations := 0
	for i := range c.Int("runs") {
		seed := c.Uint64("seed") + uint64(i)
		runDir := filepath.Join(dir, fmt.Sprint(seed))
		if err := os.MkdirAll(runDir, 0o700); err != nil {
			return err
		}
		res, err := run(runConfig{
			Binary: binary, Dir: runDir, Seed: seed, Length: c.Duration("length"),
			Hosts: c.Int("hosts"), Workers: c.Int("workers"), Callers: c.Int("callers"),
			Evacuate: c.Bool("evacuate"), Logf: logf,
		})
		if err != nil {
			return err
		}
		fmt.Printf("seed %d: %d jobs, %d starts, %d sound jobs failed, %d violations\n", seed, res.Jobs, res.Starts, res.GivenUp, len(res.Violations))
		for _, v := range res.Violations {
			violations++
			fmt.Println("  " + v)
		}
	}
	if violations > 0 {
		return fmt.Errorf("%d violations", violations)
	}
	return nil
}
