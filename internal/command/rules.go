package command

import (
	"context"
	"io"
	"strconv"

	"github.com/urfave/cli/v3"

	"cactusspar/internal/operator"
	"cactusspar/internal/state"
)

func rulesCommand() *cli.Command {
	return &cli.Command{
		Name:  "rules",
		Usage: "show the rules in force and their history",
		Commands: []*cli.Command{
			{
				Name: "show", Usage: "print a version byte for byte", ArgsUsage: "[VERSION]",
				Description: "Example:\n  cactusspar rules show > fleet.rules",
				Action:      showRules,
			},
			{
				Name: "history", Usage: "list the kept versions, oldest first",
				Description: "Example:\n  cactusspar rules history",
				Action:      showHistory,
			},
			{
				Name: "diff", Usage: "compare two versions rule by rule", ArgsUsage: "FROM [TO]",
				Description: "TO is the version in force if it is not given.\n\nExample:\n  cactusspar rules diff 3 5",
				Action:      showDiff,
			},
		},
	}
}

func showRules(ctx context.Context, c *cli.Command) error {
	client, err := connect(c)
	if err != nil {
		return err
	}
	var config state.Config
	if c.Args().Present() {
		numbers, err := versionArguments(c, 1)
		if err != nil {
			return err
		}
		config, err = client.Version(ctx, numbers[0])
		if err != nil {
			return err
		}
	} else if config, err = client.Rules(ctx); err != nil {
		return err
	}
	return show(c, config, func(w io.Writer) error {
		_, err := io.WriteString(w, config.Text)
		return err
	})
}

func showHistory(ctx context.Context, c *cli.Command) error {
	client, _, err := connectWithArguments(c)
	if err != nil {
		return err
	}
	history, err := client.History(ctx)
	if err != nil {
		return err
	}
	return showTable(c, history, []string{"VERSION", "AUTHOR", "AT"}, func(t *table, v operator.VersionInfo) {
		t.add(v.Version, v.Author, v.At)
	})
}

func showDiff(ctx context.Context, c *cli.Command) error {
	numbers, err := versionArguments(c, 2)
	if err != nil {
		return err
	}
	client, err := connect(c)
	if err != nil {
		return err
	}
	to := uint64(0)
	if len(numbers) == 2 {
		to = numbers[1]
	}
	diff, err := client.Diff(ctx, numbers[0], to)
	if err != nil {
		return err
	}
	return show(c, diff, func(w io.Writer) error {
		writeChanges(w, diff.Changes)
		return nil
	})
}

// versionArguments parses one to maxCount arguments as version numbers.
func versionArguments(c *cli.Command, maxCount int) ([]uint64, error) {
	args := c.Args().Slice()
	if len(args) == 0 {
		return nil, newUsageError("missing argument VERSION; see %s --help", c.FullName())
	}
	if len(args) > maxCount {
		return nil, newUsageError("unexpected argument %q; see %s --help", args[maxCount], c.FullName())
	}
	var numbers []uint64
	for _, a := range args {
		n, err := strconv.ParseUint(a, 10, 64)
		if err != nil {
			return nil, newUsageError("%q is not the number of a version", a)
		}
		numbers = append(numbers, n)
	}
	return numbers, nil
}
