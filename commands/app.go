package commands

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/urfave/cli/v2"
)

// Env holds the standard streams of the command line.
type Env struct {
	Stdin    io.Reader
	Stdout   io.Writer
	Stderr   io.Writer
	Terminal bool // Stdin is a terminal, so that confirmation prompts can be answered
}

// Names of the global flags.
const (
	flagOperators = "operators"
	flagCert      = "cert"
	flagKey       = "key"
	flagCA        = "ca"
	flagJSON      = "json"
	flagTimeout   = "timeout"
)

// defaultTimeout exceeds the longest time that an entry host takes to answer a confirmation.
const defaultTimeout = 30 * time.Second

type program struct {
	env       Env
	rawStdout io.Writer // Stdout without sanitizer, for responses that are written unchanged
}

// Run runs the command line in args, which begins with the program name, and returns its exit code.
func Run(ctx context.Context, env Env, args []string) int {
	rawStdout := env.Stdout
	env.Stdout = sanitizer{env.Stdout}
	env.Stderr = sanitizer{env.Stderr}
	p := &program{env, rawStdout}
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
			p.report(), p.review(), p.submit(), p.request(), p.checkSettings(), p.fleet(),
		},
		Reader:         p.env.Stdin,
		Writer:         p.env.Stdout,
		ErrWriter:      p.env.Stderr,
		ExitErrHandler: func(*cli.Context, error) {}, // Run maps errors to exit codes instead
		OnUsageError:   onUsageError,
		Action:         rootHelp,
		HideVersion:    true,
	}
	setDefaults(app.Commands)
	return app
}

func globalFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{Name: flagOperators, Usage: "URLs of operators' listeners; if one does not answer, the next is tried", EnvVars: []string{"PERSIMMONPICK_OPERATORS"}},
		&cli.StringFlag{Name: flagCert, Usage: "file with the operator's certificate", EnvVars: []string{"PERSIMMONPICK_CERT"}},
		&cli.StringFlag{Name: flagKey, Usage: "file with the private key of the certificate", EnvVars: []string{"PERSIMMONPICK_KEY"}},
		&cli.StringFlag{Name: flagCA, Usage: "file with the CA certificates that sign the servers' certificates", EnvVars: []string{"PERSIMMONPICK_CA"}},
		&cli.BoolFlag{Name: flagJSON, Usage: "write JSON"},
		&cli.DurationFlag{Name: flagTimeout, Usage: "timeout of one call", Value: defaultTimeout},
	}
}

// setDefaults sets the usage error handler of every command, and the action of commands that only have subcommands.
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

// subcommandHelp is the action of a command that only has subcommands; it shows their help.
func subcommandHelp(c *cli.Context) error {
	if c.Args().Present() {
		return newUsageError("unknown command %q", c.Args().First())
	}
	return cli.ShowSubcommandHelp(c)
}

// rootHelp is the action of the program without a command; it shows the help.
func rootHelp(c *cli.Context) error {
	if c.Args().Present() {
		return newUsageError("unknown command %q", c.Args().First())
	}
	return cli.ShowAppHelp(c)
}

// requireArgs returns a usage error unless there are exactly n arguments.
func requireArgs(c *cli.Context, n int) error {
	if c.NArg() != n {
		return newUsageError("%s takes %d arguments, not %d; flags go before arguments", c.Command.FullName(), n, c.NArg())
	}
	return nil
}
