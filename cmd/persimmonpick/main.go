// Command persimmonpick is the command line for operators of persimmonpick entry hosts.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"persimmonpick/commands"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	env := commands.Env{Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr, Terminal: isTerminal(os.Stdin)}
	code := commands.Run(ctx, env, os.Args)
	stop()
	os.Exit(code)
}

func isTerminal(file *os.File) bool {
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
