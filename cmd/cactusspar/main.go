// Command cactusspar is the command-line client for operators.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"cactusspar/internal/command"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(command.Run(ctx, os.Args, os.Stdin, os.Stdout, os.Stderr))
}
