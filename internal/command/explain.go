package command

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"cactusspar/internal/operator"
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "tell who asked for a rule or an evacuation, why a job waits and what a worker does",
		ArgsUsage: "RULE | work ID | worker ID | datacentre NAME | workspace NAME",
		Description: `RULE is a name, a kind, or both.

Examples:
  cactusspar explain quotes
  cactusspar explain pool quotes
  cactusspar explain weight
  cactusspar explain work 5c0e7a21d94b36f8
  cactusspar explain worker i-7f3a91c2
  cactusspar explain datacentre dar-a
  cactusspar explain workspace aquaria`,
		Action: explain,
	}
}

func explain(ctx context.Context, c *cli.Command) error {
	client, args, err := connectWithArguments(c, "RULE...")
	if err != nil {
		return err
	}
	if len(args) == 2 {
		switch args[0] {
		case "work":
			return explainWork(ctx, c, client, args[1])
		case "worker":
			return explainWorker(ctx, c, client, args[1])
		case "workspace":
			return explainWorkspace(ctx, c, client, args[1])
		case "datacentre":
			return explainDataCentre(ctx, c, client, args[1])
		}
	}
	found, err := client.Explain(ctx, strings.Join(args, " "))
	if err != nil {
		return err
	}
	return show(c, found, func(w io.Writer) error {
		for _, e := range found {
			writeExplanation(w, e)
		}
		return nil
	})
}

func writeExplanation(w io.Writer, e operator.Explanation) {
	since := fmt.Sprintf("since version %d", e.Since.Version)
	if e.OlderThan {
		since = fmt.Sprintf("since version %d or earlier", e.Since.Version)
	}
	_, _ = fmt.Fprintf(w, "%s %s\n", e.Rule.ID(), e.Rule.Fields)
	_, _ = fmt.Fprintf(w, "  asked for by %s: %s\n", e.Rule.RequestedBy, e.Rule.Reason)
	_, _ = fmt.Fprintf(w, "  in force %s, applied by %s at %s\n", since, e.Since.Author, e.Since.At.UTC().Format(time.RFC3339))
	_, _ = fmt.Fprintf(w, "  line %d of version %d\n", e.Rule.Line, e.Version)
}
