package command

import (
	"context"
	"io"

	"github.com/urfave/cli/v3"

	"cactusspar/internal/operator"
)

func dataCentreCommand() *cli.Command {
	return &cli.Command{
		Name: "datacentre", Usage: "evacuate data centres and take them back into use",
		Commands: []*cli.Command{
			{
				Name: "evacuate", Usage: "start no more tasks in data centres", ArgsUsage: "NAME...",
				Description: `Tasks that run there end where they are; long-running ones are relocated within
the disruption budgets of their steps.

Example:
  cactusspar datacentre evacuate dar-a`,
				Action: forEachInstance("Evacuating data centre %s.", (*operator.Client).Evacuate),
			},
			{
				Name: "restore", Usage: "take the evacuation of data centres back", ArgsUsage: "NAME...",
				Description: "Example:\n  cactusspar datacentre restore dar-a",
				Action:      forEachInstance("Data centre %s is in use.", (*operator.Client).Restore),
			},
			{
				Name: "list", Usage: "list data centres with what runs there",
				Description: "Example:\n  cactusspar datacentre list",
				Action:      listDataCentres,
			},
		},
	}
}

func listDataCentres(ctx context.Context, c *cli.Command) error {
	call := func(client *operator.Client) ([]operator.DataCentre, error) { return client.DataCentres(ctx) }
	return showList(c, call, []string{"NAME", "EVACUATED", "BY", "SINCE", "RESTORED", "WORKERS", "RUNS", "LONG-RUNNING"}, func(t *table, d operator.DataCentre) {
		t.add(d.Name, d.Evacuated, d.RequestedBy, timeOrZero(d.Since), timeOrZero(d.RestoredAt), d.Workers, d.Runs, d.LongRunning)
	})
}

func explainDataCentre(ctx context.Context, c *cli.Command, client *operator.Client, name string) error {
	d, err := client.DataCentre(ctx, name)
	if err != nil {
		return err
	}
	return show(c, d, func(out io.Writer) error {
		t := &table{}
		t.add("data centre", d.Name)
		t.add("evacuated", d.Evacuated)
		t.add("asked for by", d.RequestedBy)
		t.add("since", timeOrZero(d.Since))
		t.add("restored", timeOrZero(d.RestoredAt))
		t.add("workers", d.Workers)
		t.add("runs", d.Runs)
		t.add("long-running", d.LongRunning)
		return t.write(out)
	})
}
