// Package command implements the operators' command line. Each command has its own
// file and is a thin layer over the administration interface.
package command

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"
)

// Name is the name of the program.
const Name = "cactusspar"

// Version is the version of the program.
const Version = "0.1.0"

const rootDescription = `Connection settings come from flags, from the environment or from a settings
file (--settings), in this order. Secrets are read from files only.

Exit codes:
  0  done
  1  failed
  2  wrong use of the command line
  3  findings in a rules or settings file
  4  rejected: conflict, budget, invalid or based on an older state
  5  the named item does not exist
  6  the operator is not authenticated
  7  no control replica answered; nothing was changed
  8  the outcome of the command is unknown`

// Run executes the command line given by args and returns the exit code.
func Run(ctx context.Context, args []string, in io.Reader, out, errOut io.Writer) int {
	err := newRoot(in, out, errOut).Run(ctx, args)
	if err == nil {
		return exitOK
	}
	var reported *reportedError
	if !errors.As(err, &reported) {
		_, _ = fmt.Fprintln(errOut, describe(err))
	}
	return exitCode(err)
}

func newRoot(in io.Reader, out, errOut io.Writer) *cli.Command {
	root := &cli.Command{
		Name:                  Name,
		Usage:                 "operate a fleet of instances",
		Description:           rootDescription,
		Version:               Version,
		Reader:                in,
		Writer:                out,
		ErrWriter:             errOut,
		EnableShellCompletion: true,
		Suggest:               true,
		Flags:                 append(connectionFlags(), outputFlag()),
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		Commands: []*cli.Command{
			checkCommand(),
			applyCommand(),
			rulesCommand(),
			explainCommand(),
			keysCommand(),
			teamsCommand(),
			poolsCommand(),
			instancesCommand(),
			drainCommand(),
			undrainCommand(),
			moveCommand(),
			planCommand(),
			wavesCommand(),
			jobsCommand(),
			workCommand(),
			workersCommand(),
			dataCentreCommand(),
			entriesCommand(),
			statusCommand(),
			watchCommand(),
			replicasCommand(),
			tokenCommand(),
			certsCommand(),
		},
	}
	setUsageHandlers(root)
	return root
}

// setUsageHandlers makes c and its subcommands report invalid usage as a usageError.
// A command that only has subcommands shows its help.
func setUsageHandlers(c *cli.Command) {
	c.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return &usageError{err.Error()}
	}
	if c.Action == nil && len(c.Commands) > 0 {
		c.Action = func(_ context.Context, c *cli.Command) error {
			if c.Args().Present() {
				return newUsageError("unknown command %q; see %s --help", c.Args().First(), c.FullName())
			}
			return cli.ShowSubcommandHelp(c)
		}
	}
	for _, sub := range c.Commands {
		setUsageHandlers(sub)
	}
}

// arguments returns the positional arguments. There must be one for each name, or
// one or more for a last name that ends in "...".
func arguments(c *cli.Command, names ...string) ([]string, error) {
	args := c.Args().Slice()
	variadic := len(names) > 0 && len(names[len(names)-1]) > 3 && names[len(names)-1][len(names[len(names)-1])-3:] == "..."
	if len(args) < len(names) {
		return nil, newUsageError("missing argument %s; see %s --help", names[len(args)], c.FullName())
	}
	if len(args) > len(names) && !variadic {
		return nil, newUsageError("unexpected argument %q; see %s --help", args[len(names)], c.FullName())
	}
	return args, nil
}
