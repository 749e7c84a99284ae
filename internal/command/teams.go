package command

import (
	"context"
	"io"

	"github.com/urfave/cli/v3"

	"cactusspar/internal/operator"
	"cactusspar/internal/state"
)

func teamsCommand() *cli.Command {
	return &cli.Command{
		Name: "teams", Usage: "show teams, their shares, limits, keys and grants", ArgsUsage: "[TEAM]",
		Description: "Examples:\n  cactusspar teams\n  cactusspar teams shops",
		Action:      showTeams,
	}
}

func showTeams(ctx context.Context, c *cli.Command) error {
	client, err := connect(c)
	if err != nil {
		return err
	}
	if c.Args().Present() {
		return showTeam(ctx, c, client)
	}
	teams, err := client.Teams(ctx)
	if err != nil {
		return err
	}
	return showTable(c, teams, []string{"TEAM", "SHARE", "LIMIT", "GRANTED", "KEYS", "ASKED FOR BY"}, func(t *table, team operator.Team) {
		t.add(team.Name, team.Share, team.Limit, team.Granted, activeKeys(team.Keys), team.RequestedBy)
	})
}

func showTeam(ctx context.Context, c *cli.Command, client *operator.Client) error {
	args, err := arguments(c, "TEAM")
	if err != nil {
		return err
	}
	team, err := client.Team(ctx, args[0])
	if err != nil {
		return err
	}
	return show(c, team, func(w io.Writer) error {
		t := &table{}
		t.add("team", team.Name)
		t.add("asked for by", team.RequestedBy+": "+team.Reason)
		t.add("share", team.Share)
		t.add("limit", team.Limit)
		t.add("granted", team.Granted)
		for _, g := range team.Grants {
			t.add("grant", g.Pool, g.Amount, "held", g.Held)
		}
		for _, k := range team.Keys {
			t.add("key", k.ID, "withdrawn", k.WithdrawnAt)
		}
		return t.write(w)
	})
}

func activeKeys(keys []state.Key) int {
	n := 0
	for _, k := range keys {
		if !k.Withdrawn() {
			n++
		}
	}
	return n
}
