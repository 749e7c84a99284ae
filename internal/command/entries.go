package command

import (
	"context"

	"github.com/urfave/cli/v3"

	"cactusspar/internal/state"
)

func entriesCommand() *cli.Command {
	return &cli.Command{
		Name: "entries", Usage: "list entry instances",
		Description: "Example:\n  cactusspar entries",
		Action:      listEntries,
	}
}

func listEntries(ctx context.Context, c *cli.Command) error {
	client, _, err := connectWithArguments(c)
	if err != nil {
		return err
	}
	entries, err := client.Entries(ctx)
	if err != nil {
		return err
	}
	header := []string{"ID", "INCARNATION", "DATA CENTRE", "REGION", "CALLERS", "PEERS"}
	return showTable(c, entries, header, func(t *table, e state.Entry) {
		t.add(e.ID, e.Incarnation, e.DataCentre, e.Region, e.CallerAddr, e.PeerAddr)
	})
}
