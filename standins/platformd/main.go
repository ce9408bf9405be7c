// Command platformd runs the stand-in for the platform; see package standins/platform.
package main

import (
	"encoding/json"
	"net/http"
	"os"

	"github.com/urfave/cli/v2"

	"persimmonpick/standins/harness"
	"persimmonpick/standins/platform"
)

func main() {
	harness.Run(&cli.App{
		Name:  "platformd",
		Usage: "stand-in for the platform, for tests",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Usage: "JSON `FILE` with the fields of platform.Config"},
		},
		Action: serve,
	})
}

func serve(c *cli.Context) error {
	var cfg platform.Config
	if path := c.String("config"); path != "" {
		data, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		if err := json.Unmarshal(data, &cfg); err != nil {
			return err
		}
	}
	return harness.Serve(c, &http.Server{Handler: platform.New(cfg).Handler()}, nil)
}
