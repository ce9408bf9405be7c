// Command persimmonpickd runs an entry host.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/ansel1/merry/v2"
	"github.com/urfave/cli/v2"

	"persimmonpick/entry"
	"persimmonpick/fault"
	"persimmonpick/provider"
	"persimmonpick/settings"
)

func main() {
	app := &cli.App{
		Name:      "persimmonpickd",
		Usage:     "run an entry host between callers and backend servers",
		UsageText: "persimmonpickd -settings FILE",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Aliases: []string{"s"}, Usage: "read the JSON settings from `FILE`"},
		},
		Action:   run,
		Commands: []*cli.Command{fleetCommand()},
	}
	if err := app.Run(os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "persimmonpickd:", err)
		os.Exit(1)
	}
}

func run(c *cli.Context) error {
	if c.String("settings") == "" {
		return fault.New(fault.Invalid, "no settings file given; use -settings FILE")
	}
	cfg, err := settings.Load(c.String("settings"))
	if err != nil {
		return err
	}
	log, err := newLogger(cfg.LogLevel)
	if err != nil {
		return err
	}
	for _, w := range cfg.Warnings() {
		log.Warn(w)
	}
	host, err := entry.New(entry.Config{
		Settings: cfg, Platform: provider.Dial(provider.Config{URL: cfg.PlatformURL}), Logger: log,
	})
	if err != nil {
		return err
	}
	if err := host.Listen(); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return host.Run(ctx)
}

func newLogger(level string) (*slog.Logger, error) {
	var l slog.Level
	if err := l.UnmarshalText([]byte(level)); err != nil {
		return nil, err
	}
	// Capturing a stack costs more than the rest of rejecting a request early, and its paths are those of the build
	// machine.
	merry.SetStackCaptureEnabled(false)
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: l, ReplaceAttr: errorAsMessage}))
	slog.SetDefault(log)
	return log, nil
}

// errorAsMessage replaces an error attribute by its message, without the details that merry adds.
func errorAsMessage(_ []string, a slog.Attr) slog.Attr {
	if err, ok := a.Value.Any().(error); ok {
		return slog.String(a.Key, err.Error())
	}
	return a
}
