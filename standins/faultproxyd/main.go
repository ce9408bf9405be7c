// Command faultproxyd runs the fault-injecting TCP proxy of package faultproxy.
package main

import (
	"fmt"
	"net"
	"net/http"

	"github.com/urfave/cli/v2"

	"persimmonpick/standins/faultproxy"
	"persimmonpick/standins/harness"
)

func main() {
	harness.Run(&cli.App{
		Name:  "faultproxyd",
		Usage: "TCP proxy that injects faults, for tests",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "target", Required: true, Usage: "`ADDRESS` to forward to"},
			&cli.StringFlag{Name: "admin", Value: "127.0.0.1:0", Usage: "`ADDRESS` to serve the admin path /mode on"},
		},
		Action: serve,
	})
}

func serve(c *cli.Context) error {
	ctx, cancel := harness.ProcessContext(c)
	defer cancel()
	p, err := faultproxy.Listen(c.String("listen"), c.String("target"))
	if err != nil {
		return err
	}
	defer p.Close()
	l, err := net.Listen("tcp", c.String("admin"))
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: p.Admin(), ReadHeaderTimeout: harness.ReadHeaderTimeout}
	defer func() { _ = srv.Close() }()
	go func() { _ = srv.Serve(l) }()
	fmt.Printf("Listening=%s Admin=%s\n", p.Address(), l.Addr())
	<-ctx.Done()
	return nil
}
