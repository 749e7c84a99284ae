package command

import (
	"context"

	"github.com/urfave/cli/v3"

	"cactusspar/internal/operator"
	"cactusspar/internal/state"
)

func drainCommand() *cli.Command {
	return &cli.Command{
		Name: "drain", Usage: "take instances out of use within the budgets", ArgsUsage: "ID...",
		Description: `Work in progress ends first. A drain beyond the budget of the pool or the
failure domain is rejected.

Example:
  cactusspar drain quotes-3`,
		Action: forEachInstance("Draining instance %s.", (*operator.Client).Drain),
	}
}

func undrainCommand() *cli.Command {
	return &cli.Command{
		Name: "undrain", Usage: "bring drained instances back into use", ArgsUsage: "ID...",
		Description: "Example:\n  cactusspar undrain quotes-3",
		Action:      forEachInstance("Instance %s is active.", (*operator.Client).Undrain),
	}
}

// forEachInstance returns an action that runs a command for each instance and stops
// at the first error.
func forEachInstance(format string, run func(*operator.Client, context.Context, string) (state.Result, error)) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		client, ids, err := connectWithArguments(c, "ID...")
		if err != nil {
			return err
		}
		for _, id := range ids {
			result, err := run(client, ctx, id)
			if err != nil {
				return err
			}
			if err := showResult(c, result, format, id); err != nil {
				return err
			}
		}
		return nil
	}
}
