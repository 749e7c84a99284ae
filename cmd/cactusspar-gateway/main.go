// Command cactusspar-gateway takes callers' jobs and forwards them to the leader.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"cactusspar/platform"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	node, err := platform.LoadNode()
	if err == nil {
		err = platform.RunGateway(ctx, node)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
