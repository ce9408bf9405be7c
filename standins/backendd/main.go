// Command backendd runs the stand-in for a backend server; see package standins/backend.
package main

import (
	"github.com/urfave/cli/v2"

	"persimmonpick/standins/backend"
	"persimmonpick/standins/harness"
	"persimmonpick/table"
)

func main() {
	harness.Run(&cli.App{
		Name:  "backendd",
		Usage: "stand-in for a backend server, for tests",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "name", Usage: "instance `NAME` in responses"},
			&cli.IntFlag{Name: "slots", Value: 8, Usage: "`NUMBER` of requests that may run at once"},
			&cli.IntFlag{Name: "connections", Value: 64, Usage: "`NUMBER` of connections above which each new one is a violation"},
			&cli.Uint64Flag{Name: "seed", Usage: "`SEED` for random service times"},
			&cli.Int64Flag{Name: "median", Value: 5, Usage: "median of random service times in `MILLISECONDS`"},
		},
		Action: serve,
	})
}

func serve(c *cli.Context) error {
	s := backend.New(backend.Config{
		Name:        c.String("name"),
		Slots:       c.Int("slots"),
		Connections: c.Int("connections"),
		Seed:        c.Uint64("seed"),
		Median:      table.Millis(c.Int64("median")),
	})
	return harness.Serve(c, s.HTTPServer(), s.Listener)
}
