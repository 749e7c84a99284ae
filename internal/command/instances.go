package command

import (
	"context"
	"io"

	"github.com/urfave/cli/v3"

	"cactusspar/internal/operator"
	"cactusspar/internal/state"
)

func instancesCommand() *cli.Command {
	return &cli.Command{
		Name: "instances", Usage: "show instances", ArgsUsage: "[ID]",
		Description: "Examples:\n  cactusspar instances --pool quotes --condition draining\n  cactusspar instances quotes-3",
		Flags: []cli.Flag{
			poolFlag(),
			&cli.StringFlag{Name: "condition", Usage: "only this `CONDITION`: active, draining, drained, rebooting or lost"},
		},
		Action: showInstances,
	}
}

func showInstances(ctx context.Context, c *cli.Command) error {
	client, err := connect(c)
	if err != nil {
		return err
	}
	if c.Args().Present() {
		return showInstance(ctx, c, client)
	}
	instances, err := client.Instances(ctx, c.String("pool"), state.Condition(c.String("condition")))
	if err != nil {
		return err
	}
	header := []string{"ID", "POOL", "CONDITION", "SINCE", "DATA CENTRE", "RACK", "MAINTAINED", "WAVE"}
	return showTable(c, instances, header, func(t *table, i state.Instance) {
		t.add(i.ID, i.Pool, i.Condition, i.ConditionSince, i.DataCentre, i.Rack, i.LastMaintained, i.Wave)
	})
}

func showInstance(ctx context.Context, c *cli.Command, client *operator.Client) error {
	args, err := arguments(c, "ID")
	if err != nil {
		return err
	}
	i, err := client.Instance(ctx, args[0])
	if err != nil {
		return err
	}
	return show(c, i, func(w io.Writer) error {
		t := &table{}
		t.add("instance", i.ID)
		t.add("pool", i.Pool)
		t.add("pool epoch", i.PoolEpoch)
		t.add("home pool", i.HomePool)
		t.add("condition", i.Condition)
		t.add("since", i.ConditionSince)
		t.add("last maintained", i.LastMaintained)
		t.add("wave", i.Wave)
		t.add("region", i.Region)
		t.add("data centre", i.DataCentre)
		t.add("rack", i.Rack)
		t.add("processors", float64(i.Resources.MilliCPU)/1000)
		t.add("memory MB", i.Resources.MemoryMB)
		t.add("accelerators", i.Resources.Accelerators)
		t.add("slots", i.Slots)
		return t.write(w)
	})
}
