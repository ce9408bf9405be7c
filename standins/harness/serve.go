package harness

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v2"
)

const (
	stopTimeout = 2 * time.Second
	idleTimeout = 2 * time.Minute
)

// ReadHeaderTimeout ends connections of clients that do not send their header.
const ReadHeaderTimeout = 10 * time.Second

// Flags are the flags of every stand-in.
func Flags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "`ADDRESS` to listen on; port 0 lets the kernel choose"},
		&cli.DurationFlag{Name: "max-life", Value: 10 * time.Minute, Usage: "longest `TIME` until the process ends by itself"},
	}
}

// Run runs the main of a stand-in and ends the process with a status.
func Run(app *cli.App) {
	app.Flags = append(Flags(), app.Flags...)
	if err := app.Run(os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// ProcessContext returns a context that ends with SIGTERM, with an interrupt or after max-life.
func ProcessContext(c *cli.Context) (context.Context, context.CancelFunc) {
	// The process ends even if its graceful stop hangs.
	time.AfterFunc(c.Duration("max-life")+2*stopTimeout, func() { os.Exit(1) })
	ctx, stop := signal.NotifyContext(c.Context, syscall.SIGTERM, os.Interrupt)
	ctx, cancel := context.WithTimeout(ctx, c.Duration("max-life"))
	return ctx, func() { cancel(); stop() }
}

// Serve listens, prints the line Listening=<address>, and serves srv until SIGTERM or max-life; wrap may be nil.
func Serve(c *cli.Context, srv *http.Server, wrap func(net.Listener) net.Listener) error {
	ctx, cancel := ProcessContext(c)
	defer cancel()
	l, err := net.Listen("tcp", c.String("listen"))
	if err != nil {
		return err
	}
	address := l.Addr()
	if wrap != nil {
		l = wrap(l)
	}
	srv.ReadHeaderTimeout = ReadHeaderTimeout
	srv.IdleTimeout = idleTimeout
	ended := make(chan error, 1)
	go func() { ended <- srv.Serve(l) }()
	fmt.Printf("Listening=%s\n", address)
	select {
	case err = <-ended:
		return err
	case <-ctx.Done():
	}
	ctx, cancelStop := context.WithTimeout(context.Background(), stopTimeout)
	defer cancelStop()
	if srv.Shutdown(ctx) != nil {
		return srv.Close()
	}
	return nil
}
