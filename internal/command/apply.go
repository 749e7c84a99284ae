package command

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"cactusspar/internal/operator"
	"cactusspar/internal/rules"
	"cactusspar/internal/state"
)

func applyCommand() *cli.Command {
	return &cli.Command{
		Name:      "apply",
		Usage:     "put a rules file in force",
		ArgsUsage: "FILE",
		Description: `Checks the file, shows the differences to the version in force and applies it.
Of two operators who start from the same version, one is accepted and the
other is told who was. --expected names the version that the change was
prepared against; without it, the version in force is taken.

Examples:
  cactusspar apply fleet.rules
  cactusspar apply --dry-run fleet.rules
  cactusspar apply --expected 12 fleet.rules`,
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "expected", Usage: "`VERSION` that the change was prepared against"},
			&cli.BoolFlag{Name: "dry-run", Usage: "only show the differences"},
		},
		Action: apply,
	}
}

// applyResult is the JSON output of apply.
type applyResult struct {
	From    uint64         `json:"from"`
	Changes []rules.Change `json:"changes"`
	DryRun  bool           `json:"dry_run,omitempty"`
	Result  *state.Result  `json:"result,omitempty"`
}

func apply(ctx context.Context, c *cli.Command) error {
	args, err := arguments(c, "FILE")
	if err != nil {
		return err
	}
	r, err := readRules(c, args[0])
	if err != nil {
		return err
	}
	client, err := connect(c)
	if err != nil {
		return err
	}
	applied, err := applyRules(ctx, c, client, r)
	if err != nil {
		return err
	}
	return show(c, applied, func(w io.Writer) error { return writeApplyResult(w, applied) })
}

func applyRules(ctx context.Context, c *cli.Command, client *operator.Client, r *rules.Rules) (applyResult, error) {
	inForce, err := client.Rules(ctx)
	if err != nil {
		return applyResult{}, err
	}
	before, err := rules.Parse(fmt.Sprintf("version-%d", inForce.Version), []byte(inForce.Text))
	if err != nil {
		return applyResult{}, err
	}
	applied := applyResult{From: inForce.Version, Changes: rules.Diff(before, r), DryRun: c.Bool("dry-run")}
	if applied.Changes == nil {
		applied.Changes = []rules.Change{}
	}
	expected := inForce.Version
	if c.IsSet("expected") {
		expected = c.Uint64("expected")
	}
	if applied.DryRun || (inForce.Text == r.Text && expected == inForce.Version) {
		return applied, nil
	}
	result, err := client.Apply(ctx, expected, r.Text)
	applied.Result = &result
	return applied, err
}

func writeApplyResult(w io.Writer, applied applyResult) error {
	writeChanges(w, applied.Changes)
	var err error
	switch {
	case applied.DryRun:
		_, err = fmt.Fprintf(w, "Version %d is in force. Nothing was applied.\n", applied.From)
	case applied.Result == nil:
		_, err = fmt.Fprintf(w, "Version %d is in force with the same text.\n", applied.From)
	default:
		_, err = fmt.Fprintf(w, "Version %d is in force.\n", applied.Result.Version)
	}
	return err
}

func writeChanges(w io.Writer, changes []rules.Change) {
	for _, change := range changes {
		_, _ = fmt.Fprintln(w, change.String())
	}
}
