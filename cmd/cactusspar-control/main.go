// Command cactusspar-control runs a replica of the control state.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"cactusspar/internal/control"
	"cactusspar/internal/settings"
	"cactusspar/internal/telemetry"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		stop()
		os.Exit(1)
	}
}

func command() *cli.Command {
	settingsFlag := &cli.StringFlag{Name: "settings", Usage: "settings `FILE`: JSON with comments", Required: true}
	return &cli.Command{
		Name:   "cactusspar-control",
		Usage:  "run a replica of the control state",
		Flags:  []cli.Flag{settingsFlag},
		Action: run,
		Commands: []*cli.Command{{
			Name:  "recover",
			Usage: "make the stopped replica in the data folder the only voter, after the majority was lost for good",
			Flags: []cli.Flag{
				&cli.BoolFlag{Name: "lose-what-only-lost-replicas-held", Usage: "confirm that commands may be lost"},
			},
			Action: recoverGroup,
		}},
	}
}

func loadSettings(c *cli.Command) (control.Settings, error) {
	s := control.DefaultSettings()
	err := settings.Load(c.String("settings"), &s)
	return s, err
}

func run(ctx context.Context, c *cli.Command) error {
	s, err := loadSettings(c)
	if err != nil {
		return err
	}
	log, err := telemetry.NewLogger(os.Stderr, s.LogFormat, s.LogVerbosity)
	if err != nil {
		return err
	}
	return control.RunProcess(ctx, s, log)
}

// recoverGroup makes the stopped replica the only voter of its group. It requires a
// flag that confirms the loss of commands that only the lost replicas held.
func recoverGroup(_ context.Context, c *cli.Command) error {
	s, err := loadSettings(c)
	if err != nil {
		return err
	}
	if !c.Bool("lose-what-only-lost-replicas-held") {
		return errors.New("recover: commands that only the lost replicas held will be lost; confirm with --lose-what-only-lost-replicas-held")
	}
	m, err := control.Recover(string(s.DataFolder), s.Cluster, s.Self())
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.Root().Writer, "replica %s is the only voter of membership epoch %d; empty the data folders of the others and add them\n", s.Name, m.Epoch)
	return err
}
