package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/ansel1/merry/v2"
	"github.com/urfave/cli/v2"

	"persimmonpick/fault"
	"persimmonpick/fleet"
	"persimmonpick/platform"
)

// fleetCommand returns the command that runs an entry host on the users' platform. The platform passes the path of the
// settings file in an environment variable.
func fleetCommand() *cli.Command {
	return &cli.Command{
		Name: "fleet", Usage: "run an entry host on the users' platform",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", EnvVars: []string{platform.SettingsVariable}, Usage: "read the platform's settings from `FILE`"},
			&cli.BoolFlag{Name: "defer-displaced", Usage: "let long-running tasks that lose their room wait behind urgent short jobs"},
			&cli.StringFlag{Name: "log-level", Value: "info", Usage: "log messages of `LEVEL` and above"},
		},
		Action: runFleet,
	}
}

func runFleet(c *cli.Context) error {
	path := c.String("settings")
	if path == "" {
		return fault.New(fault.Invalid, "no settings file given")
	}
	var level slog.Level
	if err := level.UnmarshalText([]byte(c.String("log-level"))); err != nil {
		return err
	}
	merry.SetStackCaptureEnabled(false)
	lines := fleet.NewLineWriter(os.Stdout)
	defer lines.Flush()
	log := slog.New(slog.NewTextHandler(lines, &slog.HandlerOptions{Level: level, ReplaceAttr: errorAsMessage}))
	s, err := platform.LoadSettings(path)
	if err != nil {
		log.Error("cannot start", "Error", err)
		return err
	}
	s.DeferDisplaced = c.Bool("defer-displaced")
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	host := platform.NewHost(s, log)
	go lines.Report(log, ctx.Done())
	go platform.WatchSettings(ctx, path, hup, func(reloaded fleet.Settings) {
		reloaded.DeferDisplaced = s.DeferDisplaced
		host.Reloaded(reloaded)
	}, log)
	return host.Run(ctx)
}
