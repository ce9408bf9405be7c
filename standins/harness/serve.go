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
	stopTimeout = 2 * time.Second // for a graceful shutdown
	idleTimeout = 2 * time.Minute // for keep-alive connections
)

// ReadHeaderTimeout bounds how long a server waits for the header of a request.
const ReadHeaderTimeout = 10 * time.Second

// Flags returns the command line flags that all stand-ins have.
func Flags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "`ADDRESS` to listen on; port 0 lets the kernel choose"},
		&cli.DurationFlag{Name: "max-life", Value: 10 * time.Minute, Usage: "exit after `TIME` at the latest"},
	}
}

// Run runs the command line app of a stand-in and exits with status 1 if it fails.
func Run(app *cli.App) {
	app.Flags = append(Flags(), app.Flags...)
	if err := app.Run(os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// ProcessContext returns a context that is cancelled by SIGTERM, by an interrupt, or after max-life.
func ProcessContext(c *cli.Context) (context.Context, context.CancelFunc) {
	// Exit even if the graceful shutdown hangs.
	time.AfterFunc(c.Duration("max-life")+2*stopTimeout, func() { os.Exit(1) })
	ctx, stop := signal.NotifyContext(c.Context, syscall.SIGTERM, os.Interrupt)
	ctx, cancel := context.WithTimeout(ctx, c.Duration("max-life"))
	return ctx, func() { cancel(); stop() }
}

// Serve listens, prints the line Listening=<address>, and serves srv until the process context ends. wrap, if not nil,
// wraps the listener.
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
	serveErr := make(chan error, 1)
	go func() { serveErr <- srv.Serve(l) }()
	fmt.Printf("Listening=%s\n", address)
	select {
	case err = <-serveErr:
		return err
	case <-ctx.Done():
	}
	ctx, cancelShutdown := context.WithTimeout(context.Background(), stopTimeout)
	defer cancelShutdown()
	if srv.Shutdown(ctx) != nil {
		return srv.Close()
	}
	return nil
}
