// Command cactusspar-standin runs stand-ins for the systems around cactusspar.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"cactusspar/internal/standin/command"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := command.New(os.Stdout).Run(ctx, os.Args); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "cactusspar-standin:", err)
		os.Exit(1)
	}
}
