package command

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/urfave/cli/v3"

	"cactusspar/internal/maintenance"
	"cactusspar/internal/operator"
)

func planCommand() *cli.Command {
	return &cli.Command{
		Name:      "plan",
		Usage:     "tell what a wave would do, why and what it costs, without starting it",
		ArgsUsage: "[POOL...]",
		Description: `Without POOL, the wave is over all pools. The plan assumes that each instance
is away for the same time and that nothing fails.

Examples:
  cactusspar plan
  cactusspar plan --away 5m quotes bookings`,
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "away", Value: 2 * time.Minute, Usage: "`TIME` that an instance is out of service"},
		},
		Action: plan,
	}
}

func plan(ctx context.Context, c *cli.Command) error {
	client, err := connect(c)
	if err != nil {
		return err
	}
	p, err := client.Plan(ctx, c.Args().Slice(), c.Duration("away"))
	if err != nil {
		return err
	}
	return show(c, p, func(w io.Writer) error { return writePlan(w, p) })
}

func writePlan(w io.Writer, p operator.Plan) error {
	_, _ = fmt.Fprintf(w, "A wave over %d instances would take %v in %d rounds; the budgets allow no less than %v.\n",
		p.Instances, p.Wave.Total, len(p.Wave.Rounds), p.Wave.Bound)
	if p.Buffer.Buffer > 0 {
		_, _ = fmt.Fprintf(w, "The spare pool has to keep %d instances for the loss of %s %s.\n", p.Buffer.Buffer, p.Buffer.Kind, p.Buffer.Name)
	}
	t := table{header: []string{"AFTER", "DRAINED"}}
	for _, r := range p.Wave.Rounds {
		names := make([]string, len(r.Drain))
		for i, s := range r.Drain {
			names[i] = s.Instance
		}
		t.add(r.After, names)
	}
	if err := t.write(w); err != nil {
		return err
	}
	writeWaits(w, "Instances that the wave would never reach:", p.Wave.Blocked)
	writeWaits(w, "Instances of running waves that wait:", p.Running)
	return nil
}

func writeWaits(w io.Writer, title string, waits []maintenance.Wait) {
	if len(waits) == 0 {
		return
	}
	_, _ = fmt.Fprintln(w, title)
	for _, wait := range waits {
		_, _ = fmt.Fprintf(w, "  %s: %s\n", wait.Instance, wait.Reason)
	}
}
