// Command cactusspar-standin runs stand-ins for the systems around cactusspar.
package main

import (
	"cactusspar/internal/standin/command"
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := command.New(os.Stdout).Run(ctx, os.Args); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "cactusspar-standin:", err)
		os.Exit(1)
	}
}
