package command

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"
)

func replicasCommand() *cli.Command {
	return &cli.Command{
		Name:  "replicas",
		Usage: "add and remove control replicas",
		Commands: []*cli.Command{
			{
				Name: "add", Usage: "add a replica that already runs", ArgsUsage: "NAME PEER-ADDRESS",
				Description: `The replica becomes a learner and gets a vote once it has caught up. The call
waits for that.

Example:
  cactusspar replicas add control-4 127.0.0.1:7114`,
				Action: addReplica,
			},
			{
				Name: "remove", Usage: "remove a replica", ArgsUsage: "NAME",
				Description: `The call is not repeated after a lost answer; see "status" for its outcome.

Example:
  cactusspar replicas remove control-2`,
				Action: removeReplica,
			},
		},
	}
}

func addReplica(ctx context.Context, c *cli.Command) error {
	client, args, err := connectWithArguments(c, "NAME", "PEER-ADDRESS")
	if err != nil {
		return err
	}
	if err := client.AddReplica(ctx, args[0], args[1]); err != nil {
		return err
	}
	return showConfirmation(c, "Added replica %s.", args[0])
}

func removeReplica(ctx context.Context, c *cli.Command) error {
	client, args, err := connectWithArguments(c, "NAME")
	if err != nil {
		return err
	}
	if err := client.RemoveReplica(ctx, args[0]); err != nil {
		return err
	}
	return showConfirmation(c, "Removed replica %s.", args[0])
}

// showConfirmation writes the confirmation of a call that returns no result.
func showConfirmation(c *cli.Command, format string, args ...any) error {
	text := fmt.Sprintf(format, args...)
	return show(c, map[string]string{"done": text}, func(w io.Writer) error {
		_, err := fmt.Fprintln(w, text)
		return err
	})
}
