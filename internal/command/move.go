package command

import (
	"context"

	"github.com/urfave/cli/v3"
)

func moveCommand() *cli.Command {
	return &cli.Command{
		Name: "move", Usage: "give an instance to another pool", ArgsUsage: "ID POOL",
		Description: "Example:\n  cactusspar move portal-2 quotes",
		Action:      move,
	}
}

func move(ctx context.Context, c *cli.Command) error {
	client, args, err := connectWithArguments(c, "ID", "POOL")
	if err != nil {
		return err
	}
	result, err := client.Move(ctx, args[0], args[1])
	if err != nil {
		return err
	}
	return showResult(c, result, "Instance %s belongs to pool %s.", args[0], args[1])
}
