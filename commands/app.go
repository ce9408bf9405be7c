package commands

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/urfave/cli/v2"
)

// Env is what the command line reads from and writes to.
type Env struct {
	Stdin    io.Reader
	Stdout   io.Writer
	Stderr   io.Writer
	Terminal bool // Stdin is a terminal, so questions can be asked
}

// The global flags.
const (
	flagOperators = "operators"
	flagCert      = "cert"
	flagKey       = "key"
	flagCA        = "ca"
	flagJSON      = "json"
	flagTimeout   = "timeout"
)

// defaultTimeout is above the longest time that an entry host takes for a confirmation.
const defaultTimeout = 30 * time.Second

type program struct {
	env       Env
	rawStdout io.Writer // Stdout for bytes that must not be changed
}

// Run runs the command line args, the name of the program first, and returns its exit code.
func Run(ctx context.Context, env Env, args []string) int {
	raw := env.Stdout
	env.Stdout = sanitizer{env.Stdout}
	env.Stderr = sanitizer{env.Stderr}
	p := &program{env, raw}
	err := p.app().RunContext(ctx, args)
	if err != nil {
		fmt.Fprintf(env.Stderr, "persimmonpick: %v\n", err)
	}
	return ExitCode(err)
}

func (p *program) app() *cli.App {
	app := &cli.App{
		Name:        "persimmonpick",
		Usage:       "operate a persimmonpick deployment",
		Description: "Flags go before arguments. " + exitHelp,
		Flags:       globalFlags(),
		Commands: []*cli.Command{
			p.status(), p.jobs(), p.workers(), p.plan(), p.confirm(), p.drain(),
			p.report(), p.submit(), p.request(), p.checkSettings(), p.fleet(),
		},
		Reader:         p.env.Stdin,
		Writer:         p.env.Stdout,
		ErrWriter:      p.env.Stderr,
		ExitErrHandler: func(*cli.Context, error) {}, // Run maps errors to exit codes
		OnUsageError:   onUsageError,
		Action:         rootHelp,
		HideVersion:    true,
	}
	setDefaults(app.Commands)
	return app
}

func globalFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{Name: flagOperators, Usage: "URLs of operators' listeners; the next is tried when one does not answer", EnvVars: []string{"PERSIMMONPICK_OPERATORS"}},
		&cli.StringFlag{Name: flagCert, Usage: "file with the operator's certificate", EnvVars: []string{"PERSIMMONPICK_CERT"}},
		&cli.StringFlag{Name: flagKey, Usage: "file with the key of the certificate", EnvVars: []string{"PERSIMMONPICK_KEY"}},
		&cli.StringFlag{Name: flagCA, Usage: "file with the authority of the servers", EnvVars: []string{"PERSIMMONPICK_CA"}},
		&cli.BoolFlag{Name: flagJSON, Usage: "write JSON"},
		&cli.DurationFlag{Name: flagTimeout, Usage: "time for one call", Value: defaultTimeout},
	}
}

// setDefaults gives every command the same handling of usage errors.
func setDefaults(list []*cli.Command) {
	for _, c := range list {
		c.OnUsageError = onUsageError
		if len(c.Subcommands) > 0 {
			c.Action = subcommandHelp
		}
		setDefaults(c.Subcommands)
	}
}

func onUsageError(_ *cli.Context, err error, _ bool) error {
	return newUsageError("%v", err)
}

// subcommandHelp shows the help of a command that only has subcommands.
func subcommandHelp(c *cli.Context) error {
	if c.Args().Present() {
		return newUsageError("unknown command %q", c.Args().First())
	}
	return cli.ShowSubcommandHelp(c)
}

// rootHelp shows the help of the program.
func rootHelp(c *cli.Context) error {
	if c.Args().Present() {
		return newUsageError("unknown command %q", c.Args().First())
	}
	return cli.ShowAppHelp(c)
}

// requireArgs checks the number of arguments.
func requireArgs(c *cli.Context, n int) error {
	if c.NArg() != n {
		return newUsageError("%s takes %d arguments, not %d; flags go before arguments", c.Command.FullName(), n, c.NArg())
	}
	return nil
}
