package command

import (
	"context"
	"io"

	"github.com/urfave/cli/v3"

	"cactusspar/internal/operator"
	"cactusspar/internal/state"
)

func wavesCommand() *cli.Command {
	controlCommand := func(action operator.WaveAction, usage, format string) *cli.Command {
		return &cli.Command{
			Name: string(action), Usage: usage, ArgsUsage: "ID",
			Description: "Example:\n  cactusspar waves " + string(action) + " --reason \"judging day\" wave-k3x8",
			Flags:       []cli.Flag{&cli.StringFlag{Name: "reason", Usage: "`REASON` to record"}},
			Action:      controlWave(action, format),
		}
	}
	return &cli.Command{
		Name:  "waves",
		Usage: "maintain the fleet in waves",
		Commands: []*cli.Command{
			{
				Name: "start", Usage: "start a wave over pools, by default all", ArgsUsage: "[POOL...]",
				Description: "Examples:\n  cactusspar waves start quotes bookings\n  cactusspar waves start --instance quotes-3 quotes",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "id", Usage: "`ID` of the wave; by default a random one"},
					&cli.StringSliceFlag{Name: "instance", Usage: "only this `ID` of the pools' instances"},
				},
				Action: startWave,
			},
			controlCommand(operator.PauseWave, "take no further instance", "Paused wave %s."),
			controlCommand(operator.ResumeWave, "continue a paused wave", "Resumed wave %s."),
			controlCommand(operator.StopWave, "end a wave before it is done", "Stopped wave %s."),
			{
				Name: "list", Usage: "list waves",
				Description: "Example:\n  cactusspar waves list --status running",
				Flags:       []cli.Flag{&cli.StringFlag{Name: "status", Usage: "only this `STATUS`: running, paused, stopped or done"}},
				Action:      listWaves,
			},
			{
				Name: "show", Usage: "show one wave with its instances", ArgsUsage: "ID",
				Description: "Example:\n  cactusspar waves show wave-k3x8",
				Action:      showWave,
			},
		},
	}
}

func startWave(ctx context.Context, c *cli.Command) error {
	client, err := connect(c)
	if err != nil {
		return err
	}
	id := c.String("id")
	if id == "" {
		id = newID("wave")
	}
	result, err := client.StartWave(ctx, id, c.Args().Slice(), c.StringSlice("instance"))
	if err != nil {
		return err
	}
	return showResult(c, result, "Started wave %s.", id)
}

func controlWave(action operator.WaveAction, format string) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		client, args, err := connectWithArguments(c, "ID")
		if err != nil {
			return err
		}
		result, err := client.ControlWave(ctx, args[0], action, c.String("reason"))
		if err != nil {
			return err
		}
		return showResult(c, result, format, args[0])
	}
}

func listWaves(ctx context.Context, c *cli.Command) error {
	client, _, err := connectWithArguments(c)
	if err != nil {
		return err
	}
	waves, err := client.Waves(ctx, state.WaveStatus(c.String("status")))
	if err != nil {
		return err
	}
	header := []string{"ID", "STATUS", "TODO", "DONE", "STARTED", "ENDED", "BY", "REASON"}
	return showTable(c, waves, header, func(t *table, w state.Wave) {
		t.add(w.ID, w.Status, len(w.Todo), len(w.Done), w.StartedAt, w.EndedAt, w.By, w.Reason)
	})
}

func showWave(ctx context.Context, c *cli.Command) error {
	client, args, err := connectWithArguments(c, "ID")
	if err != nil {
		return err
	}
	wave, err := client.Wave(ctx, args[0])
	if err != nil {
		return err
	}
	return show(c, wave, func(w io.Writer) error {
		t := &table{}
		t.add("wave", wave.ID)
		t.add("status", wave.Status)
		t.add("reason", wave.Reason)
		t.add("started", wave.StartedAt)
		t.add("ended", wave.EndedAt)
		t.add("by", wave.By)
		t.add("pools", wave.Pools)
		t.add("todo", wave.Todo)
		t.add("done", wave.Done)
		return t.write(w)
	})
}
