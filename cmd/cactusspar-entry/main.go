// Command cactusspar-entry runs an entry instance, which accepts requests from callers
// and dispatches them to endpoints.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
	"github.com/zeebo/errs"

	"cactusspar/internal/entry"
	"cactusspar/internal/settings"
	"cactusspar/internal/telemetry"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	var settingsFile string
	return &cli.Command{
		Name:  "cactusspar-entry",
		Usage: "serve callers and endpoints, and dispatch the pools assigned to this instance",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "settings `FILE`, JSON with comments", Required: true, Destination: &settingsFile},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			s := entry.DefaultSettings()
			if err := settings.Load(settingsFile, &s); err != nil {
				return err
			}
			if c.Bool("check") {
				return nil
			}
			return run(ctx, s)
		},
	}
}

func run(ctx context.Context, s entry.Settings) error {
	s.LimitMemory()
	log, err := telemetry.NewLogger(os.Stderr, s.LogFormat, s.LogDetail)
	if err != nil {
		return errs.New("log_format: %w", err)
	}
	e, err := entry.New(s, log)
	if err != nil {
		return err
	}
	return e.Run(ctx)
}
