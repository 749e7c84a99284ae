package command

import (
	"context"
	"io"

	"github.com/urfave/cli/v3"

	"cactusspar/internal/operator"
	"cactusspar/internal/rules"
	"cactusspar/internal/state"
)

func poolsCommand() *cli.Command {
	return &cli.Command{
		Name: "pools", Usage: "show pools, their dispatchers and instances", ArgsUsage: "[POOL]",
		Description: "Examples:\n  cactusspar pools\n  cactusspar pools quotes",
		Action:      showPools,
	}
}

func showPools(ctx context.Context, c *cli.Command) error {
	client, err := connect(c)
	if err != nil {
		return err
	}
	if c.Args().Present() {
		return showPool(ctx, c, client)
	}
	pools, err := client.Pools(ctx)
	if err != nil {
		return err
	}
	header := []string{"POOL", "MIN", "MAX", "ACTIVE", "OUT", "BUDGET", "DISPATCHER", "BACKUP", "ASKED FOR BY"}
	return showTable(c, pools, header, func(t *table, p operator.Pool) {
		dispatcher, backup := dispatcherOf(p)
		t.add(p.Name, p.Min, p.Max, p.Conditions[state.Active], countInactive(p), p.Unavailable, dispatcher, backup, p.RequestedBy)
	})
}

func showPool(ctx context.Context, c *cli.Command, client *operator.Client) error {
	args, err := arguments(c, "POOL")
	if err != nil {
		return err
	}
	pool, err := client.Pool(ctx, args[0])
	if err != nil {
		return err
	}
	return show(c, pool, func(w io.Writer) error {
		dispatcher, backup := dispatcherOf(pool)
		t := &table{}
		t.add("pool", pool.Name)
		t.add("asked for by", pool.RequestedBy+": "+pool.Reason)
		t.add("instances", cell(pool.Min)+" to "+cell(pool.Max))
		t.add("unavailable", pool.Unavailable)
		if pool.Period != 0 {
			t.add("period", rules.FormatDuration(pool.Period))
		}
		t.add("slots", pool.Slots)
		t.add("connections", pool.Connections)
		t.add("spare", pool.Spare)
		t.add("dispatcher", dispatcher)
		t.add("backup", backup)
		for _, condition := range []state.Condition{state.Active, state.Draining, state.Drained, state.Rebooting, state.Lost} {
			t.add(string(condition), pool.Conditions[condition])
		}
		t.add("members", pool.Instances)
		return t.write(w)
	})
}

func dispatcherOf(p operator.Pool) (dispatcher, backup string) {
	if p.Assignment == nil {
		return "", ""
	}
	return p.Assignment.Dispatcher, p.Assignment.Backup
}

// countInactive returns the number of instances that are not active.
func countInactive(p operator.Pool) int {
	n := 0
	for condition, count := range p.Conditions {
		if condition != state.Active {
			n += count
		}
	}
	return n
}
